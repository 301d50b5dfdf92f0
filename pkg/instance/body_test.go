package instance

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/memory"
)

// Guards against reservations that differ from the body that is returned, or that outlast a
// response without one.
func TestBodiesAreReserved(t *testing.T) {
	const large, limit = 300_000, 400_000
	body := strings.Repeat("b", large)
	small := strings.Repeat("b", 1000)
	chunked := func(b string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(b), b)
	}
	cases := []struct {
		name, response string
		// used is what others have reserved, and reserved what stays reserved for the body.
		used, reserved int64
		cause          any
	}{
		{"large", fmt.Sprintf("Id: a\r\nContent-Length: %d\r\n\r\n%s", large, body), 0, large, nil},
		{"large, chunked", "Id: a\r\n" + chunked(body), 0, large, nil},
		{"small", "Id: a\r\nContent-Length: 1000\r\n\r\n" + small, limit, 0, nil},
		{"small, chunked", "Id: a\r\n" + chunked(small), limit, 0, nil},
		{"no room", fmt.Sprintf("Id: a\r\nContent-Length: %d\r\n\r\n%s", large, body), limit, 0, new(*memory.NoMemoryError)},
		{"no room, chunked", "Id: a\r\n" + chunked(body), limit, 0, new(*memory.NoMemoryError)},
		{"cut off", fmt.Sprintf("Id: a\r\nContent-Length: %d\r\n\r\nb", large), 0, 0, new(*ResponseError)},
		{"of another call", fmt.Sprintf("Id: x\r\nContent-Length: %d\r\n\r\n%s", large, body), 0, 0, new(*RequestIDMismatchError)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n" + c.response))
			}))
			client.MaxBodyBytes = 1 << 20
			budget := &memory.Budget{Limit: limit}
			client.Budgets = memory.Tiers{Large: budget}
			is.True(budget.Reserve(c.used))
			call := newCall("a")
			call.KeepsReservation = true
			response, err := client.Do(t.Context(), call)
			is.Equal(budget.Used(), c.used+c.reserved)
			if c.cause != nil {
				is.True(errors.As(err, c.cause))
				return
			}
			is.NoErr(err)
			client.ReleaseBody(response.Body)
			is.Equal(budget.Used(), c.used)
		})
	}
}

// Responses wait for memory that does not become free. Guards against waits that keep more slots
// than they may.
func TestFewResponsesWaitForMemory(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("b", memory.SmallBytes+1)
	client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	client.MaxBodyBytes = 1 << 20
	budget := &memory.Budget{Limit: 1}
	client.Budgets = memory.Tiers{Large: budget}
	const calls, mayWait = 10, 2
	client.MaxWaiting = func() int { return mayWait }
	var waited atomic.Int64
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			started := time.Now()
			_, err := client.Do(t.Context(), newCall("a"))
			var noMemory *memory.NoMemoryError
			is.True(errors.As(err, &noMemory))
			if time.Since(started) >= maxBudgetWait {
				waited.Add(1)
			}
		})
	}
	group.Wait()
	is.True(waited.Load() <= mayWait)
	is.Equal(client.waiting.Load(), int64(0))
}
