package instance

import "fmt"

// NotSentError reports a call of which the instance has received nothing.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to the instance: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RejectedError reports that the instance said that it did not run the call.
type RejectedError struct {
	Status int
	// Other names the instance that answered, where it is not the one expected.
	Other string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the instance did not run the call (status %d, instance %q)", e.Status, e.Other)
}

// BrokenError reports a call that was sent and got no whole answer.
type BrokenError struct {
	// Heard tells that part of an answer arrived.
	Heard bool
	Cause error
}

// Error implements error.
func (e *BrokenError) Error() string { return "no whole answer from the instance: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// OtherAnswerError reports an answer that bears the id of another request.
type OtherAnswerError struct {
	Got string
}

// Error implements error.
func (e *OtherAnswerError) Error() string {
	return fmt.Sprintf("the answer belongs to request %q", e.Got)
}

// TooLargeError reports an answer beyond the bound.
type TooLargeError struct {
	Bound int64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the answer is larger than %d bytes", e.Bound)
}

// InterimError reports an instance that never sends a final answer.
type InterimError struct{}

// Error implements error.
func (e *InterimError) Error() string { return "too many interim answers" }
