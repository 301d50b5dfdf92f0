package overlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// mixedCallers is the number of callers of each kind of a mixed crowd, and mixedTime how
	// long it stays.
	mixedCallers = 60
	mixedTime    = 8 * time.Second
	// smallBodyBytes is the size of a body that is just too small for the budget of large ones.
	smallBodyBytes = 31_000
	// smallBodyCallers send such bodies, for smallBodyTime.
	smallBodyCallers = 2000
	smallBodyTime    = 4 * time.Second
)

// post sends a whole request with a body.
func post(conn net.Conn, path string, body int) {
	head := strings.Replace(requestHead(path), "GET", "POST", 1)
	_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, body, strings.Repeat("b", body))
}

// Guards against memory held for bodies that are each too small for the budget of large ones,
// while the instance runs their requests.
func TestSmallBodiesOfWaitingRequests(t *testing.T) {
	for _, services := range [][]string{{"desk"}, {"showcase", "desk"}} {
		t.Run(services[0], func(t *testing.T) {
			nodes := newClusterWith(t, resources{memoryMB: memoryMB, descriptors: manyDescriptors}, services...)
			crowdFor(t, nodes.nodes[0].address(0), smallBodyCallers, smallBodyTime, func(conn net.Conn) {
				post(conn, "/slow/x", smallBodyBytes)
				_, _ = io.Copy(io.Discard, conn)
			})
			nodes.check()
		})
	}
}

// Guards against bounds that hold for each kind of crowd alone, and not for all at once.
func TestAllKindsAtOnce(t *testing.T) {
	nodes := newCluster(t, "showcase", "desk")
	address := nodes.nodes[0].address(0)
	for _, act := range []func(net.Conn){
		stayUntilClosed,
		readSlowly,
		func(conn net.Conn) {
			askForMany(conn)
			stayUntilClosed(conn)
		},
		func(conn net.Conn) {
			_, _ = io.WriteString(conn, strings.Repeat(requestHead("/medium/x")+"\r\n", pipelinedRequests))
			stayUntilClosed(conn)
		},
		func(conn net.Conn) { drip(conn, requestHead("/slow/x")+padding(8000), "X: x\r\n") },
		func(conn net.Conn) { drip(conn, requestHead("/slow/x")+padding(overLimitBytes), "X: x\r\n") },
		func(conn net.Conn) {
			drip(conn, strings.Replace(requestHead("/slow/x"), "GET", "POST", 1)+"Content-Length: 30000\r\n\r\n"+padding(20_000), "b")
		},
		func(conn net.Conn) {
			post(conn, "/slow/x", smallBodyBytes)
			_, _ = io.Copy(io.Discard, conn)
		},
		func(conn net.Conn) { drip(conn, "\r\n", "\r\n") },
	} {
		occupy(t, address, mixedCallers, act)
	}
	time.Sleep(mixedTime)
	if status := nodes.nodes[0].sendWithin("/small/x", ordinaryPatience); status != http.StatusOK {
		t.Errorf("an ordinary request beside the crowd got the status %d (0: none)", status)
	}
	nodes.check()
}
