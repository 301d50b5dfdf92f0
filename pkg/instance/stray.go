package instance

import "net/http"

// Stray describes a response that was read while a call awaited its own and that is not
// taken for it.
type Stray struct {
	// RequestID is the id of the call, and GotID the one in the response, empty if it has
	// none.
	RequestID, GotID string
	// Status is the HTTP status code of the response.
	Status int
	// Calls is the number of calls that the connection has carried, including this one.
	Calls int
	// Skipped reports whether the next response on the connection was awaited. Otherwise the
	// call has failed.
	Skipped bool
}

// noteStray passes a response that is not that of the call to OnStray.
func (c *Client) noteStray(k *conn, call *Call, response *http.Response, skipped bool) {
	if c.OnStray == nil {
		return
	}
	c.OnStray(Stray{
		RequestID: call.RequestID, GotID: c.requestID(response),
		Status: response.StatusCode, Calls: k.carried.count(), Skipped: skipped,
	})
}
