// Package caller serves the HTTP requests of callers: it validates requests,
// authenticates API keys, and writes responses. It also serves the outbound calls of
// upstreams, which are identified by a context token instead of an API key.
package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

const (
	// maxDeadline is the longest deadline that a caller may set.
	maxDeadline = 10 * time.Minute
	// maxIdempotencyKeyBytes is the maximum length of an idempotency key without its
	// quotation marks.
	maxIdempotencyKeyBytes = 255
	// bearerPrefix precedes the API key in the Authorization header.
	bearerPrefix = "Bearer "
)

// apiKeyPattern matches text that has the form of an API key.
var apiKeyPattern = regexp.MustCompile(`(?i)prk_[a-z0-9.-]+_[0-9a-f]{16,}`)

// target is the destination of a request, as given by its path or Host header.
type target struct {
	service fleet.ServiceName
	// path is the escaped path within the service, without the query.
	path string
}

func newMalformedError(detail string) error { return problem.New(problem.KindMalformed, detail) }

// readTarget returns the target of a request. hostService returns the service that is
// configured for a Host header; if there is none, the first path segment names the
// service.
func readTarget(r *http.Request, hostService func(string) (fleet.ServiceName, bool)) (target, error) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return target{}, newMalformedError("the request target must be a path")
	}
	escaped, _, _ := strings.Cut(r.RequestURI, "?")
	if err := checkPath(escaped); err != nil {
		return target{}, err
	}
	if service, known := hostService(r.Host); known {
		return target{service: service, path: escaped}, nil
	}
	first, rest, _ := strings.Cut(escaped[1:], "/")
	return target{service: fleet.ServiceName(first), path: "/" + rest}, nil
}

// checkPath rejects paths that node and upstream could interpret differently.
func checkPath(escaped string) error {
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return newMalformedError("the path is not escaped rightly")
	}
	if strings.ContainsAny(decoded, "\\\x00\r\n\t") || strings.Contains(strings.ToLower(escaped), "%2f") {
		return newMalformedError("the path holds a character that is not allowed")
	}
	for _, segment := range strings.Split(decoded, "/") {
		if segment == "." || segment == ".." {
			return newMalformedError("the path holds a dot segment")
		}
	}
	if strings.Contains(decoded, "//") {
		return newMalformedError("the path holds an empty segment")
	}
	return nil
}

// readAPIKey returns the API key in the Authorization header, or "" if there is none.
func readAPIKey(h http.Header) (string, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", newMalformedError("the Authorization header stands more than once")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, strings.TrimSpace(bearerPrefix)) || key == "" {
		return "", problem.New(problem.KindInvalidKey, "the Authorization header must be Bearer and a key")
	}
	return strings.TrimSpace(key), nil
}

// readDeadline returns the time that the caller allows for the call, or defaultDeadline
// if the request has no deadline header.
func readDeadline(h http.Header, defaultDeadline time.Duration) (time.Duration, error) {
	values := h.Values(call.HeaderDeadline)
	if len(values) == 0 {
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(values[0], 10, 64)
	if len(values) > 1 || err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, newMalformedError(call.HeaderDeadline + " must be one whole number of milliseconds from 1 to 600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readIdempotencyKey returns the idempotency key without its quotation marks, or "" if
// there is none.
func readIdempotencyKey(h http.Header) (string, error) {
	values := h.Values(call.HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || len(key) < 3 || len(key) > maxIdempotencyKeyBytes+2 || key[0] != '"' || key[len(key)-1] != '"' {
		return "", newMalformedError(call.HeaderIdempotencyKey + " must be one string of 1 to 255 characters in quotation marks")
	}
	key = key[1 : len(key)-1]
	for _, b := range []byte(key) {
		if b < 0x21 || b > 0x7e || b == '"' || b == '\\' {
			return "", newMalformedError(call.HeaderIdempotencyKey + " may hold visible ASCII only, without quotation marks and backslashes")
		}
	}
	return key, nil
}

// readBody reads the whole body. It fails if the body is larger than limit bytes, or there is
// no memory for it.
func readBody(r *http.Request, collector *memory.Collector, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, newTooLargeError(limit)
	}
	body, err := collector.ReadAll(io.LimitReader(r.Body, limit+1))
	var noMemory *memory.NoMemoryError
	switch {
	case errors.As(err, &noMemory):
		return nil, problem.New(problem.KindShed, "the node has no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newMalformedError("the body did not arrive before the deadline of the request")
	case err != nil:
		return nil, newMalformedError("the body was cut short")
	}
	if int64(len(body)) > limit {
		return nil, newTooLargeError(limit)
	}
	return body, nil
}

func newTooLargeError(limit int64) error {
	return problem.New(problem.KindTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

// cleanHeaders returns the headers to forward to the upstream. It omits hop-by-hop
// headers, those that only the node reads, and any whose name or value contains text in
// the form of an API key.
func cleanHeaders(h http.Header) http.Header {
	clean := h.Clone()
	upstream.StripHeaders(clean)
	clean.Del("Authorization")
	clean.Del(call.HeaderIdempotencyKey)
	for name, values := range clean {
		for _, value := range values {
			if apiKeyPattern.MatchString(value) || apiKeyPattern.MatchString(name) {
				clean.Del(name)
			}
		}
	}
	return clean
}

// containsAPIKey reports whether the request URI contains text in the form of an API key,
// or the body contains the API key of the request, so that the upstream would receive it.
func containsAPIKey(requestURI string, body []byte, key string) bool {
	unescaped, err := url.QueryUnescape(requestURI)
	if err != nil {
		unescaped = requestURI
	}
	if apiKeyPattern.MatchString(requestURI) || apiKeyPattern.MatchString(unescaped) {
		return true
	}
	return key != "" && bytes.Contains(body, []byte(key))
}
