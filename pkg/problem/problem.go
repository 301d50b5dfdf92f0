// Package problem defines the errors that callers receive. They are sent as RFC 9457
// problem details with the extension member "run".
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Execution is the execution status of a refused call.
type Execution string

// Execution statuses of a refused call.
const (
	// NotExecuted means that the call was not executed and never will be.
	NotExecuted Execution = "no"
	// Executed means that the call was executed.
	Executed Execution = "yes"
	// ExecutionUnknown means that the call may have been executed, or may still be.
	ExecutionUnknown Execution = "unknown"
)

// ContentType is the media type of a problem response.
const ContentType = "application/problem+json"

// Kind is the last part of a problem's type URI. It is stable, so callers may match it.
type Kind string

// Kinds of problems.
const (
	KindMalformed         Kind = "malformed"
	KindInvalidKey        Kind = "key"
	KindForbidden         Kind = "forbidden"
	KindNotFound          Kind = "notFound"
	KindTooLarge          Kind = "tooLarge"
	KindBodyTimeout       Kind = "bodyTimeout"
	KindKeyReused         Kind = "keyReused"
	KindRateExceeded      Kind = "rate"
	KindShed              Kind = "shed"
	KindLeaving           Kind = "leaving"
	KindNotReady          Kind = "notReady"
	KindNoRateHolder      Kind = "noHolder"
	KindDeadline          Kind = "deadline"
	KindUnreachable       Kind = "unreachable"
	KindUncertain         Kind = "uncertain"
	KindActionNotRecorded Kind = "actionLog"
)

// kindInfo holds the HTTP status and the title of a kind.
type kindInfo struct {
	status int
	title  string
}

var kindInfos = map[Kind]kindInfo{
	KindMalformed:         {http.StatusBadRequest, "The request is malformed."},
	KindInvalidKey:        {http.StatusUnauthorized, "No key, an unknown key or a withdrawn key."},
	KindForbidden:         {http.StatusForbidden, "The key's organisation may not do this."},
	KindNotFound:          {http.StatusNotFound, "No such service or route."},
	KindTooLarge:          {http.StatusRequestEntityTooLarge, "The request is too large."},
	KindBodyTimeout:       {http.StatusRequestTimeout, "The body did not arrive in time."},
	KindKeyReused:         {http.StatusUnprocessableEntity, "The idempotency key was used for another request."},
	KindRateExceeded:      {http.StatusTooManyRequests, "The organisation is over its rate."},
	KindShed:              {http.StatusServiceUnavailable, "The call was shed under overload."},
	KindLeaving:           {http.StatusServiceUnavailable, "The instance is leaving."},
	KindNotReady:          {http.StatusServiceUnavailable, "The node holds no configuration yet."},
	KindNoRateHolder:      {http.StatusServiceUnavailable, "No node that lends from the organisation's rate answers."},
	KindDeadline:          {http.StatusGatewayTimeout, "The deadline passed."},
	KindUnreachable:       {http.StatusServiceUnavailable, "No instance of the service could be reached."},
	KindUncertain:         {http.StatusBadGateway, "The answer was lost; the call may have run."},
	KindActionNotRecorded: {http.StatusServiceUnavailable, "The action could not be recorded before running."},
}

// Error is a refusal of a call. It is the only type of error that reaches a caller.
type Error struct {
	Kind Kind
	// Detail describes this occurrence of the problem to a person.
	Detail string
	// Execution is the execution status of the call.
	Execution Execution
	// RetryAfter is the suggested delay before a retry; zero if none is known.
	RetryAfter time.Duration
	// Full reports whether every instance that may run the call refused it for
	// overload, so that a retry at another instance cannot succeed.
	Full bool
}

// New returns a refusal of a call that was certainly not executed.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, Execution: NotExecuted}
}

// NewUncertain returns a refusal of a call whose execution status is unknown.
func NewUncertain(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, Execution: ExecutionUnknown}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (run %s): %s", e.Kind, e.Execution, e.Detail)
}

// Status returns the HTTP status of the refusal's kind, or 500 if the kind is unknown.
func (e *Error) Status() int {
	if info, known := kindInfos[e.Kind]; known {
		return info.status
	}
	return http.StatusInternalServerError
}

// Document is the JSON body of a refusal.
type Document struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail"`
	Execution Execution `json:"run"`
}

// Write sends the refusal as an HTTP response. Retry-After is rounded up to whole
// seconds.
func (e *Error) Write(w http.ResponseWriter) {
	e.write(w, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
}

// WriteExact is like Write, but sends Retry-After with milliseconds, for callers that
// accept fractions of a second.
func (e *Error) WriteExact(w http.ResponseWriter) {
	e.write(w, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
}

func (e *Error) write(w http.ResponseWriter, retryAfter string) {
	w.Header().Set("Content-Type", ContentType)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(Document{
		Type:      "urn:plantainramp:problem:" + string(e.Kind),
		Title:     kindInfos[e.Kind].title,
		Status:    e.Status(),
		Detail:    e.Detail,
		Execution: e.Execution,
	})
}
