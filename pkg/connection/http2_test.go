package connection

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Guards against an HTTP/2 connection that is limited as if all that arrives on it were one head,
// or is closed by the deadline of a head while its requests run.
func TestHTTP2ConnectionIsNoHead(t *testing.T) {
	is := is.New(t)
	limits := Limits{HeaderBytes: 1 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	tracker := &Tracker{Clock: clock.System{}, Limits: func() Limits { return limits }, MaxOpen: func() int { return 10 }}
	server := &http.Server{Protocols: &http.Protocols{}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.ProtoMajor, 2)
		time.Sleep(2 * limits.HeaderTimeout)
		_, _ = io.Copy(w, r.Body)
	})}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	tracker.Track(server)
	go func() { _ = server.Serve(tracker.Bound(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	client := http.Client{Transport: transport, Timeout: 5 * time.Second}
	body := make([]byte, 50_000)
	for range 3 {
		response, err := client.Post("http://"+listener.Addr().String()+"/a", "text/plain", bytes.NewReader(body))
		is.NoErr(err)
		got, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(got), len(body))
	}
	is.Equal(tracker.Counts().HeadsTooLarge, 0)
	is.Equal(tracker.Counts().Idle, 1)
}
