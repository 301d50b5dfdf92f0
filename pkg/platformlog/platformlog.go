// Package platformlog is the narrow client of the platform's append-only log.
// Everything that must be agreed or outlive a process goes through it.
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
	// StreamConfig carries tickets, membership and rate slot records.
	StreamConfig Stream = "config"
	// StreamSnapshots carries snapshots of the state that StreamConfig folds to.
	StreamSnapshots Stream = "snapshots"
)

// requestTimeout bounds one request beyond its long-poll wait.
const requestTimeout = 2 * time.Second

type (
	// Stream names a sequence of records with offsets of its own.
	Stream string
	// Offset is the position of a record in its stream, counted from 0.
	Offset int64
	// RecordID is chosen by the writer; readers ignore repeats of an id.
	RecordID string
	// Kind tells readers how to decode the body of a record.
	Kind string
)

// IntentStream returns the stream of one partition of action intents.
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

// Batch is the answer to a read.
type Batch struct {
	// FirstOffset is the oldest offset that the log still keeps.
	FirstOffset Offset `json:"first"`
	// NextOffset is the offset that the next append will take.
	NextOffset Offset `json:"next"`
	// From is the offset of Records[0].
	From    Offset   `json:"from"`
	Records []Record `json:"records"`
}

// UnavailableError reports that the log did not take or answer a request.
// Uncertain is true where an append may have taken effect, now or later.
type UnavailableError struct {
	Uncertain bool
	Cause     error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Uncertain {
		return "the log did not answer; the append may still take effect: " + e.Cause.Error()
	}
	return "the log is unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// GapError reports that records after the wanted offset have expired.
type GapError struct {
	RequestedOffset Offset
	FirstOffset     Offset
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("records from offset %d have expired, the oldest kept is %d", e.RequestedOffset, e.FirstOffset)
}

// StatusError reports an unexpected HTTP status of the log.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Text)
}

// Client reads and appends over HTTP. The zero value needs URL.
type Client struct {
	// URL is the base address of the log service.
	URL string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Append adds records to the stream in order and returns the offset of the
// first. It returns *UnavailableError; where that is Uncertain, retrying with
// the same record ids is safe.
func (c *Client) Append(ctx context.Context, stream Stream, records ...Record) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := json.Marshal(records)
	if err != nil {
		return 0, eris.Wrap(err, "encode records")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream, nil), bytes.NewReader(raw))
	if err != nil {
		return 0, eris.Wrap(err, "make append request")
	}
	var reply struct {
		Offset Offset `json:"offset"`
	}
	if err := c.do(req, &reply); err != nil {
		return 0, &UnavailableError{Uncertain: appendUncertain(err), Cause: err}
	}
	return reply.Offset, nil
}

// Read returns records of the stream starting at from, waiting up to wait for
// the first. It returns *GapError where from has expired, and
// *UnavailableError where the log does not answer.
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
		return nil, eris.Wrap(err, "make read request")
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

// Bounds returns the bounds of the stream without records.
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
		return eris.Wrap(err, "ask the log")
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read the answer of the log")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode, Text: string(raw)}
	}
	return eris.Wrap(json.Unmarshal(raw, reply), "decode the answer of the log")
}

// appendUncertain tells whether an append that failed with err may have taken
// effect: only a plain refusal by the log rules that out.
func appendUncertain(err error) bool {
	status, isStatus := eris.Cause(err).(*StatusError)
	return !isStatus || status.Status >= http.StatusInternalServerError && status.Status != http.StatusServiceUnavailable
}
