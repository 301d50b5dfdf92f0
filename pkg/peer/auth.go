// Package peer carries messages between nodes: Twirp over HTTP with a message
// authentication code on every request, and calls that survive connections
// which go silent.
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
	// headerMAC carries the authentication code of a peer request. Headers make up
	// most of a control message, so its name is short.
	headerMAC = "Pr-Mac"
	// macBytes is the length of the code in bytes.
	macBytes = 16
	// maxMessageBytes bounds a peer message in bytes.
	maxMessageBytes = 32 << 20
)

// unusedHeaders headers are set by the generated client and used by nobody.
var unusedHeaders = []string{"Accept", "Twirp-Version"}

// Secret is shared by all nodes of a fleet.
type Secret []byte

func (s Secret) mac(path string, body []byte) string {
	mac := hmac.New(sha256.New, s)
	_, _ = mac.Write([]byte(path))
	_, _ = mac.Write([]byte{0})
	_, _ = mac.Write(body)
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil)[:macBytes])
}

// signer adds the code to each request.
type signer struct {
	secret Secret
	next   http.RoundTripper
}

// Do implements the HTTP client that Twirp asks for.
func (s *signer) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, eris.Wrap(err, "read peer request")
	}
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.GetBody = nil
	for _, name := range unusedHeaders {
		req.Header.Del(name)
	}
	req.Header.Set("User-Agent", "") // keeps the client from sending its own
	req.Header.Set(headerMAC, s.secret.mac(req.URL.Path, body))
	return s.next.RoundTrip(req)
}

// Verify lets only requests with a right code through to next.
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
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
