package overlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const (
	// costConns is the number of connections whose cost is measured: as many as may be idle.
	costConns = maxDescriptors / 4
	// settleTime is how long the memory of a process settles before it is read.
	settleTime = 500 * time.Millisecond
)

// BenchmarkConnection measures the resident memory that a connection adds while its head is
// read, and while it is idle after a request.
func BenchmarkConnection(b *testing.B) {
	for _, c := range []struct {
		name, beginning string
		answered        bool
	}{
		{"head begun", requestHead("/small/x"), false},
		{"head of 16 kB begun", requestHead("/small/x") + padding(16_000), false},
		{"idle", requestHead("/small/x") + "\r\n", true},
		{"request of 16 kB runs", requestHead("/slow/x") + padding(15_000) + "\r\n", false},
	} {
		b.Run(c.name, func(b *testing.B) {
			n := newCluster(b, "desk").nodes[0]
			time.Sleep(settleTime)
			before := n.memoryMB(b, "VmRSS:")
			for range costConns {
				conn, err := net.Dial("tcp", n.address(0))
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(func() { _ = conn.Close() })
				if _, err := io.WriteString(conn, c.beginning); err != nil {
					b.Fatal(err)
				}
				if c.answered {
					readResponse(b, conn)
				}
			}
			time.Sleep(settleTime)
			b.ReportMetric((n.memoryMB(b, "VmRSS:")-before)*1024/costConns, "kB/conn")
		})
	}
}

func readResponse(b *testing.B, conn net.Conn) {
	b.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Fatal(err)
	}
}
