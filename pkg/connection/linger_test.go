package connection

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// windowBytes is the receive buffer of a caller with a narrow link.
	windowBytes = 8 << 10
	// largeResponseBytes is more than fits into that at once.
	largeResponseBytes = 200_000
	// readPause is how long a caller waits before it reads a response.
	readPause = 150 * time.Millisecond
	// sendPause is the time after which a caller sends a further request. The server has closed
	// the connection by then.
	sendPause = 50 * time.Millisecond
)

// dialNarrow opens a connection whose system receives only windowBytes ahead of the caller.
func dialNarrow(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return errors.Join(err, optionErr)
	}}
	conn, err := dialer.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// readSlowly reads a response after readPause and returns the size of its body.
func readSlowly(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	is := is.New(t)
	time.Sleep(readPause)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return len(body)
}

// serveLarge starts a server that answers with largeResponseBytes and closes the connections of
// requests for /last. It returns its address.
func serveLarge(t *testing.T, tracker *Tracker) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write(make([]byte, largeResponseBytes))
	})}
	tracker.Track(server)
	go func() { _ = server.Serve(tracker.Bound(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// newSystemTracker returns a tracker of up to maxOpen connections.
func newSystemTracker(maxOpen int) *Tracker {
	return &Tracker{Clock: clock.System{}, Limits: func() Limits { return generousLimits }, MaxOpen: func() int { return maxOpen }}
}

func sendRequestTo(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	_, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.New(t).NoErr(err)
}

func awaitLingering(t *testing.T, tracker *Tracker, want int) {
	t.Helper()
	for deadline := time.Now().Add(2 * maxLingerTime); tracker.Counts().Lingering != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections linger, want %d", tracker.Counts().Lingering, want)
		}
	}
}

// A caller sends further requests before the response that closes its connection has reached it.
// Guards against a close that resets the connection over them and cuts that response.
func TestResponseIsWholeBeforeCloseOverFurtherRequests(t *testing.T) {
	is := is.New(t)
	tracker := newSystemTracker(10)
	conn := dialNarrow(t, serveLarge(t, tracker))
	sendRequestTo(t, conn, "/last")
	time.Sleep(sendPause)
	for range 3 {
		sendRequestTo(t, conn, "/further")
	}
	is.Equal(readSlowly(t, bufio.NewReader(conn)), largeResponseBytes)
	is.NoErr(conn.Close())
	awaitLingering(t, tracker, 0)
	is.Equal(tracker.Counts(), Counts{})
}

// A request arrives on a connection that waits for one, just as it is closed. Guards against a
// close that cuts the response before, which its caller is still receiving.
func TestResponseIsWholeBeforeCloseOfWaitingConnection(t *testing.T) {
	closeBy := map[string]func(tracker *Tracker){
		"tracker": func(tracker *Tracker) { tracker.Close() },
		"server": func(tracker *Tracker) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			Shutdown(ctx, []*Tracker{tracker})
		},
	}
	for name, closeWaiting := range closeBy {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := newSystemTracker(10)
			conn := dialNarrow(t, serveLarge(t, tracker))
			sendRequestTo(t, conn, "/")
			for deadline := time.Now().Add(5 * time.Second); tracker.Counts().Idle == 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(deadline))
			}
			closed := make(chan struct{})
			go func() {
				closeWaiting(tracker)
				close(closed)
			}()
			time.Sleep(sendPause)
			sendRequestTo(t, conn, "/further")
			is.Equal(readSlowly(t, bufio.NewReader(conn)), largeResponseBytes)
			is.NoErr(conn.Close())
			<-closed
			awaitLingering(t, tracker, 0)
		})
	}
}

// A caller sends bytes that are no request behind requests that are answered. Guards against a
// refusal of the HTTP server itself whose close cuts the responses before it.
func TestResponsesAreWholeBeforeRefusalOfMalformedRequest(t *testing.T) {
	is := is.New(t)
	tracker := newSystemTracker(10)
	conn := dialNarrow(t, serveLarge(t, tracker))
	sendRequestTo(t, conn, "/")
	_, err := conn.Write(append([]byte("no request\r\n\r\n"), make([]byte, 100_000)...))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	is.Equal(readSlowly(t, reader), largeResponseBytes)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadRequest)
}

// The caller of an HTTP/2 connection that the server gives up acknowledges what it receives.
// Guards against a close over frames that arrive late.
func TestHTTP2ResponseIsWholeBeforeShutdown(t *testing.T) {
	is := is.New(t)
	tracker := newSystemTracker(10)
	running, release := make(chan struct{}), make(chan struct{})
	address, client := serveHTTP2(t, tracker, func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-release
		_, _ = w.Write(make([]byte, largeResponseBytes))
	})
	go func() {
		<-running
		time.AfterFunc(50*time.Millisecond, func() { close(release) })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Shutdown(ctx, []*Tracker{tracker})
	}()
	response, err := client.Get(address)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(len(body), largeResponseBytes)
}

// Callers read nothing of their responses and send no end. Guards against connections that
// linger for good, and against a stop that waits for them.
func TestLingeringEnds(t *testing.T) {
	is := is.New(t)
	tracker := newSystemTracker(100)
	address := serveLarge(t, tracker)
	silent := dialNarrow(t, address)
	sendRequestTo(t, silent, "/last")
	awaitLingering(t, tracker, 1)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	Shutdown(ctx, []*Tracker{tracker})
	is.True(time.Since(began) < time.Second)
	awaitLingering(t, tracker, 0)
	is.True(time.Since(began) < maxLingerTime+time.Second)
}

// A caller that has received its whole response neither closes its connection nor stops sending.
// Guards against a connection that lingers for what a caller may send without end.
func TestLingeringEndsWhileCallerSends(t *testing.T) {
	is := is.New(t)
	tracker := newSystemTracker(10)
	conn := dialNarrow(t, serveLarge(t, tracker))
	sendRequestTo(t, conn, "/last")
	awaitLingering(t, tracker, 1)
	go func() {
		for junk := bytes.Repeat([]byte("x"), 64<<10); ; {
			if _, err := conn.Write(junk); err != nil {
				return
			}
		}
	}()
	_, err := io.CopyN(io.Discard, conn, largeResponseBytes)
	is.NoErr(err)
	received := time.Now()
	awaitLingering(t, tracker, 0)
	is.True(time.Since(received) < lingerTime+time.Second)
}

// A crowd of callers leaves its responses unread. Guards against lingering connections that keep
// others from being accepted.
func TestLingeringConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	const maxOpen = 5
	tracker := newSystemTracker(maxOpen)
	address := serveLarge(t, tracker)
	for range 4 * maxOpen {
		sendRequestTo(t, dialNarrow(t, address), "/last")
	}
	caller := dialNarrow(t, address)
	began := time.Now()
	sendRequestTo(t, caller, "/last")
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(time.Since(began) < maxLingerTime/2)
	is.True(tracker.Counts().Lingering <= maxOpen)
}

// What is read meanwhile is bounded, the wait ends after lingerTime or maxLingerTime, and the looks
// become rarer.
func TestLingerState(t *testing.T) {
	is := is.New(t)
	began := (&clock.Fake{}).Now()
	received := lingerState{began: began}
	is.True(!received.isOver(began, false))
	is.True(!received.isOver(began.Add(time.Second), true))
	is.True(!received.isOver(began.Add(time.Second+lingerTime/2), true))
	is.True(received.isOver(began.Add(time.Second+lingerTime), true))
	unread := lingerState{began: began}
	is.True(!unread.isOver(began.Add(maxLingerTime-1), false))
	is.True(unread.isOver(began.Add(maxLingerTime), false))
	is.Equal(unread.nextPoll(began), minLingerPoll)
	is.Equal(unread.nextPoll(began.Add(time.Second)), time.Second/2)
	is.Equal(unread.nextPoll(began.Add(maxLingerTime-time.Millisecond)), time.Millisecond)
	is.Equal(received.nextPoll(began.Add(time.Second+lingerTime/2)), lingerTime/2)
	is.True(unread.reads())
	unread.discarded = lingerBytes
	is.True(!unread.reads())
}
