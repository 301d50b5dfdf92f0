package upstream

import "fmt"

// JoinedResponsesError reports a response with the start of another one in its head or its body.
type JoinedResponsesError struct {
	// Status is the status line of the response, without the protocol.
	Status string
}

// Error implements error.
func (e *JoinedResponsesError) Error() string {
	return fmt.Sprintf("response %q goes on with another response before its end", e.Status)
}

// HeadTooLargeError reports a response whose head exceeds the limit.
type HeadTooLargeError struct {
	LimitBytes int
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("response head is larger than %d bytes", e.LimitBytes)
}

// TooManyInterimError reports more interim (1xx) responses than may come before the final one.
type TooManyInterimError struct{}

// Error implements error.
func (e *TooManyInterimError) Error() string { return "too many interim (1xx) responses" }

// InvalidStatusError reports a response whose status is none of HTTP.
type InvalidStatusError struct {
	// Status is the status line of the response, without the protocol.
	Status string
}

// Error implements error.
func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("response has status %q, which is none of HTTP", e.Status)
}
