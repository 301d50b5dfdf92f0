// Command 6 shows that a node which stops cuts the answer to a request behind which its
// client has sent a further one.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/plantainramp/plantainramp/review/harness"
)

const (
	// answerBytes is the size of an answer: the largest one of seat-avail and of group-book.
	answerBytes = 30000
	// workTime is how long a server works on a request.
	workTime = 300 * time.Millisecond
	// timeLimit is what clients send as their time limit.
	timeLimit = 5 * time.Second
	// furtherAfter is when a client sends its second request, after the first one.
	furtherAfter = 100 * time.Millisecond
	// windowBytes is the receive buffer of a client: links have small windows.
	windowBytes = 8 << 10
	clients     = 10
	startTime   = 15 * time.Second
	settleTime  = 3 * time.Second

	exitHeld        = 0
	exitBroken      = 1
	exitNotRun      = 2
	host            = "rail.example"
	readPath        = "/seats/1"
	bookPath        = "/groups/1"
	recordFile      = "record.txt"
	program         = "target/plantainmesh"
	troubleVariable = "TROUBLE"
)

// cutError reports an answer that ended before its end.
type cutError struct {
	id   string
	got  int
	want int64
}

func (e *cutError) Error() string {
	return fmt.Sprintf("the answer to %s ended after %d of %d bytes", e.id, e.got, e.want)
}

func main() { os.Exit(run()) }

func run() int {
	record, err := harness.NewRecord(os.Args[1] + "/" + recordFile)
	if err != nil {
		return exitNotRun
	}
	fleet, err := harness.NewFleet(program, record)
	if err != nil {
		record.Printf("cannot run: %v", err)
		return exitNotRun
	}
	defer fleet.Stop()
	entrance, err := start(fleet)
	if err != nil {
		record.Printf("cannot run: %v", err)
		return exitNotRun
	}
	cut := play(fleet, entrance)
	record.Printf("%d of %d first requests were run and their answers cut", cut, clients)
	if cut > 0 {
		return exitBroken
	}
	return exitHeld
}

// start starts two nodes and a server and returns the node that takes the requests.
func start(fleet *harness.Fleet) (*harness.Node, error) {
	fleet.Configure(map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "seat-avail", "host": host, "path_prefix": "/seats/", "kind": "idempotent", "timeout": "4000ms",
				"target_latency": "1200ms", "priority": 2, "service": "diathesimotita", "max_attempts": 2, "allow_anonymous": true,
			},
			map[string]any{
				"name": "group-book", "host": host, "path_prefix": "/groups/", "kind": "non_idempotent", "timeout": "4000ms",
				"target_latency": "1500ms", "priority": 0, "service": "diathesimotita", "max_attempts": 2, "allow_anonymous": true,
			},
		},
		"services": []any{map[string]any{"name": "diathesimotita", "health_path": harness.HealthPath}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 1048576, "header_timeout": "5s", "idle_timeout": "10s"},
	})
	entrance, other := fleet.AddNode("attica-a-1", "kratiseis", "medina"), fleet.AddNode("attica-b-1", "diathesimotita", "mbour")
	for _, n := range fleet.Nodes {
		if err := n.Start(); err != nil {
			return nil, err
		}
	}
	server := fleet.AddServer(other, "i-1")
	server.Answer = func(s *harness.Server, r *http.Request, _ []byte) []byte {
		time.Sleep(workTime)
		return s.Success(r.Header.Get(harness.HeaderRequestID), bytes.Repeat([]byte("x"), answerBytes))
	}
	if err := server.Start(); err != nil {
		return nil, err
	}
	if !harness.Await(startTime, func() bool { return entrance.IsReady() && other.IsReady() }) {
		return nil, errors.New("the nodes are not ready")
	}
	time.Sleep(settleTime)
	return entrance, nil
}

// play lets all clients send two requests each, and returns the number of first requests whose
// answer was cut.
func play(fleet *harness.Fleet, entrance *harness.Node) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	sent := make(chan struct{}, clients)
	for i := range clients {
		group.Go(func() {
			// The first request of every other client is one that may not be repeated.
			first := request{method: http.MethodGet, path: readPath}
			if i%2 == 1 {
				first = request{method: http.MethodPost, path: bookPath}
			}
			err := pipeline(fleet.Record, entrance, fmt.Sprintf("c%d", i), first, sent)
			var cutShort *cutError
			if errors.As(err, &cutShort) {
				mu.Lock()
				defer mu.Unlock()
				cut++
			}
		})
	}
	for range clients {
		<-sent
	}
	if os.Getenv(troubleVariable) != "0" {
		entrance.Signal(syscall.SIGTERM)
	}
	group.Wait()
	return cut
}

// request is a kind of request.
type request struct {
	method, path string
}

// pipeline sends a request on a kept connection, and an idempotent one before that is answered.
func pipeline(record *harness.Record, entrance *harness.Node, client string, first request, sent chan<- struct{}) error {
	read := request{method: http.MethodGet, path: readPath}
	conn, err := dial(entrance.Callers)
	if err != nil {
		sent <- struct{}{}
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if err := send(record, conn, read, client+"-0"); err != nil {
		sent <- struct{}{}
		return err
	}
	if err := receive(record, reader, client+"-0"); err != nil {
		sent <- struct{}{}
		return err
	}
	err = send(record, conn, first, client+"-1")
	sent <- struct{}{}
	if err != nil {
		return err
	}
	time.Sleep(furtherAfter)
	if err := send(record, conn, read, client+"-2"); err != nil {
		return err
	}
	if err := receive(record, reader, client+"-1"); err != nil {
		return err
	}
	// The second request may be left unread behind an answer that closes the connection.
	_ = receive(record, reader, client+"-2")
	return nil
}

func dial(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	return d.Dial("tcp", address)
}

func send(record *harness.Record, conn net.Conn, r request, id string) error {
	record.Printf("client sends request %s %s %s", id, r.method, r.path)
	_, err := conn.Write(harness.Request(r.method, host, r.path, id, timeLimit))
	return err
}

func receive(record *harness.Record, reader *bufio.Reader, id string) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		record.Printf("client gets no answer to %s: %v", id, err)
		return err
	}
	body, err := io.ReadAll(response.Body)
	record.Printf("client gets %d to %s, signature %q, connection closes %t, %d of %d bytes, error: %v", response.StatusCode, id, response.Header.Get(harness.HeaderSignature), response.Close, len(body), response.ContentLength, err)
	if err != nil && response.Header.Get(harness.HeaderRequestID) == id {
		return &cutError{id: id, got: len(body), want: response.ContentLength}
	}
	return err
}
