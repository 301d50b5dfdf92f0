package node

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

// Callers send requests and close their connections while the node accepts none, and one
// caller waits. Guards against work for callers that have left.
func TestUnreadRequestOfCallerThatLeftIsDropped(t *testing.T) {
	const leavers = 30
	is := is.New(t)
	var handled atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
	i := &intake{tracker: connection.Tracker{Clock: clock.System{}}, stopping: func() bool { return false }, logger: logs.Discard()}
	i.watch(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	for range leavers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprint(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	time.Sleep(200 * time.Millisecond)
	is.Equal(handled.Load(), int64(0))
	response, err := http.Get("http://" + listener.Addr().String())
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(handled.Load(), int64(1))
}
