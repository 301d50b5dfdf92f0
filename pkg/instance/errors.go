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
	// RespondedBy names the instance that answered, where it is not the one expected.
	RespondedBy string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the instance did not run the call (status %d, instance %q)", e.Status, e.RespondedBy)
}

// ResponseError reports a call that was sent and got no whole answer.
type ResponseError struct {
	// HeaderReceived tells that part of an answer arrived.
	HeaderReceived bool
	Cause          error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return "no whole answer from the instance: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// RequestIDMismatchError reports an answer that bears the id of another request.
type RequestIDMismatchError struct {
	Got string
}

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("the answer belongs to request %q", e.Got)
}

// ResponseTooLargeError reports an answer beyond the bound.
type ResponseTooLargeError struct {
	LimitBytes int64
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the answer is larger than %d bytes", e.LimitBytes)
}

// TooManyInterimError reports an instance that never sends a final answer.
type TooManyInterimError struct{}

// Error implements error.
func (e *TooManyInterimError) Error() string { return "too many interim answers" }
