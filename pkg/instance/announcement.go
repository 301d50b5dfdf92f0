package instance

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Announcement is what an instance says of itself in a response.
type Announcement struct {
	// Instance is the id of the instance, and RequestID that of the request.
	Instance, RequestID string
	// Sent is when the request was sent, and Read when the header of the response was
	// read. The instance has written the response in between.
	Sent, Read time.Time
	// RateLimit is the number of calls per second that the instance takes. It is valid
	// if Limited is set; otherwise the instance names no limit.
	RateLimit float64
	Limited   bool
	// Leaving reports whether the instance leaves.
	Leaving bool
	// Err is an *InvalidRateLimitError if a limit is named that cannot be read.
	Err error
}

// InvalidRateLimitError reports a rate limit in a response that is not a number of calls
// per second.
type InvalidRateLimitError struct {
	Text string
}

// Error implements error.
func (e *InvalidRateLimitError) Error() string {
	return fmt.Sprintf("rate limit %q of the instance is not a number of calls per second", e.Text)
}

// announce passes on what the instance says of itself. A response to another request, or
// of another instance, says nothing about the one that the call is addressed to.
func (c *Client) announce(response *http.Response, call *Call) {
	if c.OnAnnouncement == nil || c.requestID(response) != call.RequestID || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	a := Announcement{Instance: call.ExpectedInstance, RequestID: call.RequestID, Sent: call.SentAt, Read: c.Clock.Now()}
	if text := response.Header.Get(c.Headers.RateLimit); text != "" {
		a.RateLimit, a.Err = parseRateLimit(text)
		a.Limited = a.Err == nil
	}
	if text := response.Header.Get(c.Headers.Leaving); text != "" {
		// Any other text than a true value says nothing.
		a.Leaving, _ = strconv.ParseBool(text)
	}
	c.OnAnnouncement(a)
}

func parseRateLimit(text string) (float64, error) {
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || rate < 0 {
		return 0, &InvalidRateLimitError{Text: text}
	}
	return rate, nil
}
