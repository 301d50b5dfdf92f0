// Package peer sends messages between nodes, as Twirp over HTTP. Every request has a
// message authentication code. If the connection of a call stalls or breaks, the reply
// is fetched over a new one.
package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

const (
	// headerMAC is the header with the authentication code of a request. Its name is
	// short because headers are the largest part of control messages.
	headerMAC = "Pr-Mac"
	// macBytes is the length of the authentication code before encoding.
	macBytes = 16
	// maxMessageBytes limits the size of a request body.
	maxMessageBytes = 32 << 20
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

// signer is an HTTP client that adds an authentication code to each request.
type signer struct {
	secret Secret
	next   http.RoundTripper
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
	return s.next.RoundTrip(req)
}

// Verify returns a handler that passes only requests with a valid authentication code
// to next. It rejects others with status 403, and incomplete or too large ones with
// status 400.
func Verify(secret Secret, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, "message too large or cut short", http.StatusBadRequest)
			return
		}
		want := secret.mac(r.URL.Path, body)
		if !hmac.Equal([]byte(want), []byte(r.Header.Get(headerMAC))) {
			http.Error(w, "not a node of this fleet", http.StatusForbidden)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.Header()["Date"] = nil // keeps the server from adding the header
		next.ServeHTTP(w, r)
	})
}
