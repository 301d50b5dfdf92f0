// Package adminclient reads the admin face of a node.
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

// Client reads one node. URL must be set.
type Client struct {
	URL  string
	HTTP *http.Client
}

// UnreachableError reports a node that does not answer.
type UnreachableError struct {
	URL   string
	Cause error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no node answers at %s: %s; name the admin face of a running node with --node", e.URL, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports an answer that is no success.
type StatusError struct {
	Path   string
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the node answered %d to %s: %s", e.Status, e.Path, e.Body)
}

// Status returns how the node stands.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return getJSON[admin.Status](ctx, c, "/status")
}

// Objects returns what is in force.
func (c *Client) Objects(ctx context.Context) (admin.Objects, error) {
	return getJSON[admin.Objects](ctx, c, "/objects")
}

// Members returns the members.
func (c *Client) Members(ctx context.Context) ([]state.Member, error) {
	return getJSON[[]state.Member](ctx, c, "/members")
}

// Tickets returns the verdicts on all tickets.
func (c *Client) Tickets(ctx context.Context) ([]state.Verdict, error) {
	return getJSON[[]state.Verdict](ctx, c, "/tickets")
}

// Ticket returns the verdict on a ticket, by number and, where not empty, by
// content.
func (c *Client) Ticket(ctx context.Context, number fleet.TicketNumber, digest ticket.Digest) (state.Verdict, error) {
	query := ""
	if digest != "" {
		query = "?digest=" + url.QueryEscape(string(digest))
	}
	return getJSON[state.Verdict](ctx, c, fmt.Sprintf("/tickets/%d%s", number, query))
}

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
	return value, eris.Wrap(json.Unmarshal(body, &value), "decode the node's answer")
}
