package instance

import "fmt"

// NotSentError reports a call of which nothing was sent to the instance, so that
// it did not run.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "call not sent to the instance: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// RejectedError reports that the instance responded that it did not run the call.
type RejectedError struct {
	// Status is the HTTP status code.
	Status int
	// RespondedBy is the instance id in the response, empty if it has none.
	RespondedBy string
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("instance rejected the call without running it (status %d, responding instance %q)", e.Status, e.RespondedBy)
}

// ResponseError reports a call that was sent, or may have been, and got no valid
// response. The call may have run.
type ResponseError struct {
	// HeaderReceived reports whether the header of a response arrived.
	HeaderReceived bool
	Cause          error
}

// Error implements error.
func (e *ResponseError) Error() string {
	return "no valid response from the instance: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// RequestIDMismatchError reports a response without the id of the request.
type RequestIDMismatchError struct {
	// Got is the request id in the response, empty if it has none.
	Got string
	// Skipped reports whether the response is a whole one to an earlier call on the
	// connection, so that the next one is that of the request.
	Skipped bool
}

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("response has request id %q, not that of the call", e.Got)
}

// JoinedResponsesError reports a response that goes on with another one in its head or its body.
type JoinedResponsesError struct {
	// Status is the status line of the response, without the protocol.
	Status string
}

// Error implements error.
func (e *JoinedResponsesError) Error() string {
	return fmt.Sprintf("response %q goes on with another response", e.Status)
}

// HeaderTooLargeError reports a response header that exceeds the limit.
type HeaderTooLargeError struct {
	LimitBytes int
}

// Error implements error.
func (e *HeaderTooLargeError) Error() string {
	return fmt.Sprintf("response header is larger than %d bytes", e.LimitBytes)
}

// ResponseTooLargeError reports a response body that exceeds the limit.
type ResponseTooLargeError struct {
	LimitBytes int64
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response body is larger than %d bytes", e.LimitBytes)
}

// TooManyInterimError reports more than maxInterimResponses interim (1xx)
// responses without a final one.
type TooManyInterimError struct{}

// Error implements error.
func (e *TooManyInterimError) Error() string { return "too many interim (1xx) responses" }

// InvalidStatusError reports a response whose status is none of HTTP. Nothing in it can be
// relied on.
type InvalidStatusError struct {
	// Status is the status line of the response, without the protocol.
	Status string
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has status %q, which is none of HTTP", e.Status)
}
