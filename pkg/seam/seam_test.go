package seam_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/seam"
)

func TestHead(t *testing.T) {
	cases := []struct {
		head string
		// length is 0 if the end of the head is missing; noHead is asked only then.
		length            int
		noHead            bool
		joined, quotesOwn bool
	}{
		{head: "HTTP/1.1 200 OK\r\nName: value\r\n\r\nbody", length: 32, quotesOwn: true},
		{head: "HTTP/1.1 200 OK\n\nbody", length: 17, quotesOwn: true},
		{head: "HTTP/1.1 200 OK\r\nName: value\r\n", quotesOwn: true},
		{head: "HTTP/1.1 200 OK\r\nno field\r\n", noHead: true, quotesOwn: true},
		{head: "no status line\r\n", noHead: true, quotesOwn: true},
		{head: "HTTP/1.1 200 HTTP/1.1 500 No\r\n\r\n", length: 32, joined: true},
		{head: "HTTP/1.1 500 HTTP/1.1 500 No\r\n\r\n", length: 32, joined: true},
		{head: "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 500 No\r\n\r\n", length: 41, joined: true},
		{head: "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 200 OK\r\n\r\n", length: 41, joined: true, quotesOwn: true},
		{head: "HTTP/1.0 200 OK\r\nVia: HTTP/1.1 200 OK\r\n\r\n", length: 41, joined: true},
	}
	for _, c := range cases {
		t.Run(c.head, func(t *testing.T) {
			is := is.New(t)
			head := []byte(c.head)
			is.Equal(seam.EndOfHead(head), c.length)
			if c.length == 0 {
				is.Equal(seam.IsNoHead(head), c.noHead)
			}
			is.Equal(seam.IsJoined(head), c.joined)
			is.Equal(seam.QuotesOwnStatus(head), c.quotesOwn)
		})
	}
}

func TestBody(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	withLength, withoutLength := &http.Response{ContentLength: 9}, &http.Response{ContentLength: -1}
	cases := []struct {
		name     string
		body     seam.Body
		origin   seam.Origin
		hasMore  bool
		isJoined bool
	}{
		{name: "empty", body: seam.Body{Response: withLength}, hasMore: true},
		{name: "more behind it", body: seam.Body{Response: withLength, Text: []byte("text"), Next: []byte(whole)}, hasMore: true},
		{name: "status line", body: seam.Body{Response: withLength, Text: []byte("text HTTP/1.1 200")}},
		{name: "status line, more behind it", body: seam.Body{Response: withLength, Text: []byte("text HTTP/1.1 200")}, hasMore: true, isJoined: true},
		{name: "ends in a status line", body: seam.Body{Response: withLength, Text: []byte("text HT"), Next: []byte("TP/1.1 200 OK")}, hasMore: true, isJoined: true},
		{name: "unfinished head", body: seam.Body{Response: withLength, Text: []byte("HTTP/1.1 200 OK\r\nDate: Sun")}, isJoined: true},
		{name: "whole, elsewhere", body: seam.Body{Response: withoutLength, Text: []byte(whole)}},
		{name: "whole, same call", body: seam.Body{Response: withLength, Text: []byte(whole)}, origin: seam.SameCall},
		{name: "whole, same call, no length", body: seam.Body{Response: withoutLength, Text: []byte(whole)}, origin: seam.SameCall, isJoined: true},
		{name: "part, same call", body: seam.Body{Response: withLength, Text: []byte(whole[:len(whole)-1])}, origin: seam.SameCall, isJoined: true},
		{name: "whole, other call", body: seam.Body{Response: withLength, Text: []byte(whole)}, origin: seam.OtherCall, isJoined: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.body.HasMore = func() bool { return c.hasMore }
			c.body.Origin = func(http.Header) seam.Origin { return c.origin }
			is.New(t).Equal(c.body.IsJoined(), c.isJoined)
		})
	}
}
