// Package peer sends messages between nodes, as Twirp over HTTP. Every request has a
// message authentication code. If the connection of a call stalls or breaks, the reply
// is fetched over a new one.
package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

const (
	// headerMAC is the header with the authentication code of a request. Its name is
	// short because headers are the largest part of control messages.
	headerMAC = "Pr-Mac"
	// headerMessageID is the header with the number of a message at its sender. The
	// reply repeats it.
	headerMessageID = "Pr-Id"
	// macBytes is the length of the authentication code before encoding.
	macBytes = 16
	// maxMessageBytes limits the size of a request body.
	maxMessageBytes = 32 << 20
	// messageTimeout bounds the time for reading a request body.
	messageTimeout = 2 * time.Second
	// maxBudgetWait bounds how long a request body waits for memory.
	maxBudgetWait = 250 * time.Millisecond
)

// unusedHeaders are set by the generated client but not used by the server. They are
// removed to keep requests small.
var unusedHeaders = []string{"Accept", "Twirp-Version"}

// Secret is the key of the authentication codes. All nodes of a fleet share it.
type Secret []byte

// mac returns the encoded authentication code of a request.
func (s Secret) mac(path string, body []byte) string {
	mac := hmac.New(sha256.New, s)
	_, _ = mac.Write([]byte(path))
	_, _ = mac.Write([]byte{0})
	_, _ = mac.Write(body)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// MessageMismatchError is the error of a message whose reply belongs to another one, as
// that of a late duplicate on a reused connection. The message may have been handled.
type MessageMismatchError struct {
	Message, ReplyMessage string
}

// Error implements error.
func (e *MessageMismatchError) Error() string {
	return fmt.Sprintf("reply to peer message %q belongs to message %q", e.Message, e.ReplyMessage)
}

// signer is an HTTP client that adds an authentication code and a message ID to each
// request, and returns only replies with that ID, or with none: those of older nodes.
type signer struct {
	secret Secret
	next   http.RoundTripper
	// lastMessage is the number of the last message. Numbers do not repeat on a
	// connection.
	lastMessage atomic.Uint64
}

// Do implements the HTTPClient interface of Twirp.
func (s *signer) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read body of peer request")
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	for _, name := range unusedHeaders {
		req.Header.Del(name)
	}
	req.Header.Set("User-Agent", "") // keeps the HTTP client from adding its own
	req.Header.Set(headerMAC, s.secret.mac(req.URL.Path, body))
	id := strconv.FormatUint(s.lastMessage.Add(1), 36)
	req.Header.Set(headerMessageID, id)
	resp, err := s.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if got := resp.Header.Get(headerMessageID); got != "" && got != id {
		_ = resp.Body.Close()
		return nil, &MessageMismatchError{Message: id, ReplyMessage: got}
	}
	return resp, nil
}

// Verifier checks the authentication codes of requests. Set Secret and Clock.
type Verifier struct {
	Secret Secret
	Clock  clock.Clock
	// Budgets bound the memory for the bodies of requests until these are handled. A body is
	// read before it is known to come from a node.
	Budgets memory.Tiers
}

// Handler returns a handler that passes only requests with a valid authentication code
// to next. It rejects others with status 403, incomplete or too large ones with status 400, and
// those for which there is no memory with status 503.
func (v *Verifier) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(headerMessageID); id != "" {
			w.Header().Set(headerMessageID, id)
		}
		// A message that does not arrive would keep its memory. The deadline ends that of a node
		// too, whose connection has then stalled.
		_ = http.NewResponseController(w).SetReadDeadline(v.Clock.Now().Add(messageTimeout))
		collector := memory.Collector{Clock: v.Clock, Tiers: v.Budgets, MaxWait: maxBudgetWait}
		defer collector.Release()
		body, err := collector.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		var noMemory *memory.NoMemoryError
		switch {
		case errors.As(err, &noMemory):
			w.Header().Set("Connection", "close")
			http.Error(w, "no memory for the message", http.StatusServiceUnavailable)
			return
		case err != nil:
			http.Error(w, "message too large or cut short", http.StatusBadRequest)
			return
		}
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		want := v.Secret.mac(r.URL.Path, body)
		if !hmac.Equal([]byte(want), []byte(r.Header.Get(headerMAC))) {
			http.Error(w, "not a node of this fleet", http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.Header()["Date"] = nil // keeps the server from adding the header
		next.ServeHTTP(w, r)
	})
}
