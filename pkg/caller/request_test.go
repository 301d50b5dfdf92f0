package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

func noHostService(string) (fleet.ServiceName, bool) { return "", false }

func TestReadTarget(t *testing.T) {
	tests := []struct {
		uri, service, path string
		wantErr            bool
	}{
		{uri: "/showcase/homes/1?x=/../", service: "showcase", path: "/homes/1"},
		{uri: "/showcase", service: "showcase", path: "/"},
		{uri: "/", service: "", path: "/"},
		{uri: "/a/b%20c", service: "a", path: "/b%20c"},
		{uri: "http://other/showcase/homes", wantErr: true},
		{uri: "*", wantErr: true},
		{uri: "/showcase/../ledger/x", wantErr: true},
		{uri: "/showcase/%2e%2E/x", wantErr: true},
		{uri: "/showcase/a%2fb", wantErr: true},
		{uri: "/showcase//x", wantErr: true},
		{uri: "/showcase/a%00b", wantErr: true},
		{uri: `/showcase/a\b`, wantErr: true},
		{uri: "/showcase/%zz", wantErr: true},
	}
	for _, tt := range tests {
		t.Run(tt.uri, func(t *testing.T) {
			is := is.New(t)
			dest, err := readTarget(&http.Request{RequestURI: tt.uri}, noHostService)
			is.Equal(err != nil, tt.wantErr)
			if !tt.wantErr {
				is.Equal(dest, target{service: fleet.ServiceName(tt.service), path: tt.path})
			}
		})
	}
}

func TestReadHeaders(t *testing.T) {
	tests := []struct {
		name, header, value string
		wantErr             bool
	}{
		{"deadline", call.HeaderDeadline, "250", false},
		{"deadline with a unit", call.HeaderDeadline, "250ms", true},
		{"zero deadline", call.HeaderDeadline, "0", true},
		{"negative deadline", call.HeaderDeadline, "-1", true},
		{"deadline too long", call.HeaderDeadline, "99999999999", true},
		{"key", call.HeaderIdempotencyKey, `"swap-17"`, false},
		{"key without quotation marks", call.HeaderIdempotencyKey, "swap-17", true},
		{"empty key", call.HeaderIdempotencyKey, `""`, true},
		{"key with a space", call.HeaderIdempotencyKey, `"a b"`, true},
		{"key too long", call.HeaderIdempotencyKey, `"` + strings.Repeat("x", 256) + `"`, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			h.Set(tt.header, tt.value)
			_, deadlineErr := readDeadline(h, time.Second)
			_, keyErr := readIdempotencyKey(h)
			is.Equal(deadlineErr != nil || keyErr != nil, tt.wantErr)
		})
	}
}

func TestCleanHeaders(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	h.Set("Authorization", "Bearer x")
	h.Set("X-Copy", "see prk_dakar-1_0123456789abcdef0123456789abcdef")
	h.Set("Plantainramp-Organisation", "thies")
	h.Set("Connection", "X-Hop")
	h.Set("X-Hop", "1")
	h.Set("Accept", "text/html")
	is.Equal(cleanHeaders(h), http.Header{"Accept": {"text/html"}})
}

func FuzzReadTarget(f *testing.F) {
	f.Add("/showcase/homes/1?x=1")
	f.Add("/a/%2e%2e/b")
	f.Fuzz(func(t *testing.T, uri string) {
		dest, err := readTarget(&http.Request{RequestURI: uri}, noHostService)
		if err != nil {
			return
		}
		for _, segment := range strings.Split(dest.path, "/") {
			if segment == ".." || segment == "." {
				t.Fatalf("%q forwards a dot segment: %q", uri, dest.path)
			}
		}
		if strings.ContainsAny(dest.path, "\r\n") {
			t.Fatalf("%q forwards a line break", uri)
		}
	})
}

func FuzzReadHeaders(f *testing.F) {
	f.Add("250", `"swap"`, "Bearer prk_a_0123456789abcdef")
	f.Fuzz(func(_ *testing.T, deadline, key, authorization string) {
		r := httptest.NewRequest(http.MethodGet, "/a/b", nil)
		r.Header[call.HeaderDeadline] = []string{deadline}
		r.Header[call.HeaderIdempotencyKey] = []string{key}
		r.Header["Authorization"] = []string{authorization}
		_, _ = readDeadline(r.Header, time.Second)
		_, _ = readIdempotencyKey(r.Header)
		_, _ = readAPIKey(r.Header)
		_ = cleanHeaders(r.Header)
	})
}
