// Package platformlog is a minimal client of the platform's append-only log. The
// log holds everything that nodes must agree on or that must survive a restart.
package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Streams of the log that the nodes use.
const (
	// StreamConfig holds tickets and the records of members and rate slots.
	StreamConfig Stream = "config"
	// StreamSnapshots holds snapshots of the state computed from StreamConfig.
	StreamSnapshots Stream = "snapshots"
)

// requestTimeout limits the duration of one request, in addition to its long-poll
// wait.
const requestTimeout = 2 * time.Second

type (
	// Stream is the name of a sequence of records. Each stream has its own offsets.
	Stream string
	// Offset is the position of a record in its stream, counted from 0.
	Offset int64
	// RecordID identifies a record and is chosen by its writer. A retried append
	// reuses the id; readers ignore the repeated record.
	RecordID string
	// Kind is the type of a record. It determines how its body is decoded.
	Kind string
)

// IntentStream returns the stream that holds one partition of action intents.
func IntentStream(partition int) Stream {
	return Stream("intents." + strconv.Itoa(partition))
}

// Record is one entry of a stream.
type Record struct {
	ID   RecordID        `json:"id"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// NewRecord encodes body as a record of the given kind.
func NewRecord(id RecordID, kind Kind, body any) (Record, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Record{}, eris.Wrapf(err, "encode %s record", kind)
	}
	return Record{ID: id, Kind: kind, Body: raw}, nil
}

// Batch is the result of a read.
type Batch struct {
	// FirstOffset is the oldest offset that has not expired.
	FirstOffset Offset `json:"first"`
	// NextOffset is the offset that the next appended record will get.
	NextOffset Offset `json:"next"`
	// From is the offset of Records[0].
	From    Offset   `json:"from"`
	Records []Record `json:"records"`
}

// UnavailableError reports that a request to the log failed.
type UnavailableError struct {
	// Uncertain is true if a failed append may have taken effect or may still do
	// so.
	Uncertain bool
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Uncertain {
		return "append to the platform log was not confirmed and may still take effect: " + e.Cause.Error()
	}
	return "platform log is unavailable: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// GapError reports that records from the requested offset on have expired.
type GapError struct {
	RequestedOffset Offset
	FirstOffset     Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("records from offset %d have expired; the oldest available offset is %d", e.RequestedOffset, e.FirstOffset)
}

// StatusError reports an HTTP status other than 200 and the response body.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("HTTP status %d: %s", e.Status, e.Text)
}

// Client reads and appends records over HTTP. URL must be set. Client is safe for
// concurrent use.
type Client struct {
	// URL is the base address of the log service.
	URL string
	// HTTP sends the requests; if nil, http.DefaultClient is used.
	HTTP *http.Client
}

// Append appends records to the stream in order and returns the offset of the
// first one. If the request fails, it returns *UnavailableError. If Uncertain is
// set there, it is safe to append the records again with the same ids.
func (c *Client) Append(ctx context.Context, stream Stream, records ...Record) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := json.Marshal(records)
	if err != nil {
		return 0, eris.Wrap(err, "encode records")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream, nil), bytes.NewReader(raw))
	if err != nil {
		return 0, eris.Wrap(err, "create append request")
	}
	var reply struct {
		Offset Offset `json:"offset"`
	}
	if err := c.do(req, &reply); err != nil {
		return 0, &UnavailableError{Uncertain: appendUncertain(err), Cause: err}
	}
	return reply.Offset, nil
}

// Read returns up to limit records of the stream, starting at offset from, and
// waits up to wait for the first one. If from has expired, it returns *GapError and
// a batch with the bounds of the stream. If the request fails, it returns
// *UnavailableError.
func (c *Client) Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (*Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+wait)
	defer cancel()
	query := url.Values{
		"from": {strconv.FormatInt(int64(from), 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {wait.String()},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.streamURL(stream, query), nil)
	if err != nil {
		return nil, eris.Wrap(err, "create read request")
	}
	batch := new(Batch)
	if err := c.do(req, batch); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	if from < batch.FirstOffset {
		return batch, &GapError{RequestedOffset: from, FirstOffset: batch.FirstOffset}
	}
	return batch, nil
}

// Bounds returns the first and the next offset of the stream, without records.
func (c *Client) Bounds(ctx context.Context, stream Stream) (*Batch, error) {
	batch, err := c.Read(ctx, stream, 0, 0, 0)
	if _, gap := eris.Cause(err).(*GapError); gap {
		return batch, nil
	}
	return batch, err
}

func (c *Client) streamURL(stream Stream, query url.Values) string {
	return c.URL + "/streams/" + url.PathEscape(string(stream)) + "?" + query.Encode()
}

func (c *Client) do(req *http.Request, reply any) error {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Text: string(raw)}
	}
	return eris.Wrap(json.Unmarshal(raw, reply), "decode response")
}

// appendUncertain reports whether an append that failed with err may have taken
// effect. Only a status below 500, or 503, proves that the log rejected it.
func appendUncertain(err error) bool {
	status, isStatus := eris.Cause(err).(*StatusError)
	return !isStatus || status.Status >= http.StatusInternalServerError && status.Status != http.StatusServiceUnavailable
}
