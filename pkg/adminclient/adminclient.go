// Package adminclient is a client of the admin API of a node.
package adminclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/admin"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const requestTimeout = 5 * time.Second

// Client calls the admin API of one node. URL must be set. If HTTP is nil, the client
// uses http.DefaultClient.
type Client struct {
	URL  string
	HTTP *http.Client
}

// UnreachableError reports that no response was received from a node.
type UnreachableError struct {
	URL   string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("cannot reach a node at %s: %s; set --node to the admin address of a running node", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Path   string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the node responded with status %d to %s: %s", e.Status, e.Path, e.Body)
}

// Status returns the status of the node.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return getJSON[admin.Status](ctx, c, "/status")
}

// Objects returns the configuration in effect.
func (c *Client) Objects(ctx context.Context) (admin.Objects, error) {
	return getJSON[admin.Objects](ctx, c, "/objects")
}

// Members returns the members of the fleet that the node knows.
func (c *Client) Members(ctx context.Context) ([]state.Member, error) {
	return getJSON[[]state.Member](ctx, c, "/members")
}

// Tickets returns the verdicts on all tickets.
func (c *Client) Tickets(ctx context.Context) ([]state.Verdict, error) {
	return getJSON[[]state.Verdict](ctx, c, "/tickets")
}

// Ticket returns the verdict on the ticket with the given number and digest. If digest is
// empty, it returns the verdict on the first ticket of that number.
func (c *Client) Ticket(ctx context.Context, number fleet.TicketNumber, digest ticket.Digest) (state.Verdict, error) {
	query := ""
	if digest != "" {
		query = "?digest=" + url.QueryEscape(string(digest))
	}
	return getJSON[state.Verdict](ctx, c, fmt.Sprintf("/tickets/%d%s", number, query))
}

// getJSON requests a path and decodes the JSON body of the response.
func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL+path, nil)
	if err != nil {
		return value, &UnreachableError{URL: c.URL, Cause: err}
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return value, &UnreachableError{URL: c.URL, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return value, &UnreachableError{URL: c.URL, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return value, &StatusError{Path: path, Status: resp.StatusCode, Body: string(body)}
	}
	return value, eris.Wrap(json.Unmarshal(body, &value), "decode the node's response")
}
