// Package problem holds the refusals that callers see, in the form of RFC 9457
// problem details with the extra member "run".
package problem

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Execution tells whether the refused call ran.
type Execution string

// Fates of a refused call.
const (
	// NotExecuted means the call did not run and never will.
	NotExecuted Execution = "no"
	// Executed means the call ran.
	Executed Execution = "yes"
	// ExecutionUnknown means the call may have run, or may still.
	ExecutionUnknown Execution = "unknown"
)

// ContentType is the media type of a problem answer.
const ContentType = "application/problem+json"

// Kind is the stable last part of a problem's type.
type Kind string

// Kinds of problems.
const (
	KindMalformed         Kind = "malformed"
	KindInvalidKey        Kind = "key"
	KindForbidden         Kind = "forbidden"
	KindNotFound          Kind = "notFound"
	KindTooLarge          Kind = "tooLarge"
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

// Error is a refusal. It is the only error that reaches a caller.
type Error struct {
	Kind      Kind
	Detail    string
	Execution Execution
	// RetryAfter is zero where a retry has no known time.
	RetryAfter time.Duration
	// Full is true where every instance that may run the call refused for
	// load, so that retrying elsewhere cannot help.
	Full bool
}

// New returns a refusal of a call that certainly did not run.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, Execution: NotExecuted}
}

// NewUncertain returns a refusal of a call whose fate is not known.
func NewUncertain(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail, Execution: ExecutionUnknown}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (run %s): %s", e.Kind, e.Execution, e.Detail)
}

// Status returns the HTTP status of the refusal.
func (e *Error) Status() int {
	if info, known := kindInfos[e.Kind]; known {
		return info.status
	}
	return http.StatusInternalServerError
}

// Document is the JSON form of a refusal.
type Document struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail"`
	Execution Execution `json:"run"`
}

// Write sends the refusal as an HTTP answer, with the hint in whole seconds.
func (e *Error) Write(w http.ResponseWriter) {
	e.write(w, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
}

// WriteExact sends the refusal to a caller that reads fractions of a second.
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
