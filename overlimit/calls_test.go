package overlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// brokenOffCallers is the size of the crowds that break their requests off, and
	// brokenOffTime how long they go on.
	brokenOffCallers = 300
	brokenOffTime    = 4 * time.Second
	// inventors send inventedRequests each, with names of inventedBytes that exist nowhere.
	inventors, inventedRequests = 50, 300
	inventedBytes               = 8000
	// maxLogBytes bounds what a node logs while these are there: 10 lines a second of each
	// kind of event, with the names.
	maxLogBytes = 32 << 20
)

// Guards against memory that a single response takes which is too large for a small node.
func TestHugeResponse(t *testing.T) {
	for _, services := range [][]string{{"desk"}, {"showcase", "desk"}} {
		t.Run(services[0], func(t *testing.T) {
			nodes := newCluster(t, services...)
			response, err := http.DefaultClient.Do(hugeRequest(t, nodes.nodes[0]))
			if err == nil {
				n, readErr := io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				t.Logf("status %d, %d bytes, %v", response.StatusCode, n, readErr)
				if response.StatusCode == http.StatusOK && readErr == nil && n != hugeBytes {
					t.Errorf("a response of %d bytes looks complete with %d", hugeBytes, n)
				}
			}
			nodes.check()
		})
	}
}

func hugeRequest(t *testing.T, n *node) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+n.address(0)+"/huge/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = testHost
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Plantainramp-Request-Id", fmt.Sprintf("over-%d", lastID.Add(1)))
	return request
}

// Guards against memory and descriptors that are kept for callers who break their requests off,
// and are back at once.
func TestRequestsThatBreakOff(t *testing.T) {
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	cases := []struct {
		name string
		act  func(net.Conn)
	}{
		{"reset in the head", func(conn net.Conn) {
			_, _ = io.WriteString(conn, requestHead("/slow/x")+padding(8000))
			reset(conn)
		}},
		{"reset in the body", func(conn net.Conn) {
			head := strings.Replace(requestHead("/slow/x"), "GET", "POST", 1)
			_, _ = io.WriteString(conn, head+"Content-Length: 30000\r\n\r\n"+padding(20_000))
			reset(conn)
		}},
		{"reset in the response", func(conn net.Conn) {
			askForLarge(conn, "/large/x")
			_, _ = io.CopyN(io.Discard, conn, 100)
			reset(conn)
		}},
		{"half closed", func(conn net.Conn) {
			askForLarge(conn, "/large/x")
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(sendInterval)
		}},
		{"expects to be told to go on", func(conn net.Conn) {
			head := strings.Replace(requestHead("/slow/x"), "GET", "POST", 1)
			_, _ = io.WriteString(conn, head+"Expect: 100-continue\r\nContent-Length: 30000\r\n\r\n")
			time.Sleep(sendInterval)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := newCluster(t, "showcase", "desk")
			ended := time.Now().Add(brokenOffTime)
			var callers sync.WaitGroup
			for range brokenOffCallers {
				callers.Go(func() {
					for time.Now().Before(ended) {
						occupyOnce(nil, nodes.nodes[0].address(0), c.act)
					}
				})
			}
			callers.Wait()
			nodes.check()
		})
	}
}

// Guards against tables and logs that grow with names which callers make up: hosts, paths, keys
// and ids of requests.
func TestInventedNames(t *testing.T) {
	nodes := newCluster(t, "showcase", "desk")
	n := nodes.nodes[0]
	var callers sync.WaitGroup
	for i := range inventors {
		callers.Go(func() {
			for j := range inventedRequests {
				_ = sendInvented(n, fmt.Sprintf("%d-%d-%s", i, j, strings.Repeat("n", inventedBytes)), j%4)
			}
		})
	}
	callers.Wait()
	nodes.check()
	for _, n := range nodes.nodes {
		info, err := os.Stat(n.logPath)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("node %s: %d bytes of log", n.name, info.Size())
		if info.Size() > maxLogBytes {
			t.Errorf("node %s: wrote %d bytes of log", n.name, info.Size())
		}
	}
	if !platformtest.Await(startTimeout, func() bool { return n.send("/small/x") == http.StatusOK }) {
		t.Error("an ordinary request is not answered")
	}
}

// sendInvented sends a request with a name in the host, the path, the key or the id of the
// request only.
func sendInvented(n *node, name string, where int) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+n.address(0)+"/small/x", nil)
	if err != nil {
		return err
	}
	request.Host, request.Close = testHost, true
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Plantainramp-Request-Id", fmt.Sprintf("over-%d", lastID.Add(1)))
	switch where {
	case 0:
		request.Host = name
	case 1:
		request.URL.Path = "/small/" + name
	case 2:
		request.Header.Set("Authorization", "Bearer "+name)
	default:
		request.Header.Set("Plantainramp-Request-Id", name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return err
}
