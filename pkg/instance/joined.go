package instance

import (
	"net/http"
	"slices"
	"strings"
)

// isJoined reports whether the head of a response contains the status line of another one: the
// first has broken off there, and the rest belongs to the second.
func isJoined(response *http.Response) bool {
	return hasStatusLine(response.Status) || headerHasStatusLine(response.Header)
}

func headerHasStatusLine(header http.Header) bool {
	for _, values := range header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether a text contains the beginning of a status line, as in
// "HTTP/1.1 200".
func hasStatusLine(text string) bool {
	const version, example = "HTTP/1.", "1 200"
	for {
		_, rest, found := strings.Cut(text, version)
		if !found {
			return false
		}
		if len(rest) >= len(example) && isDigits(rest[:1]) && rest[1] == ' ' && isDigits(rest[2:len(example)]) {
			return true
		}
		text = rest
	}
}

func isDigits(text string) bool { return strings.Trim(text, "0123456789") == "" }
