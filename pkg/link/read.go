package link

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// waitReader reads from a connection and calls beforeWait each time that it has read all
// that has arrived, before it waits for more. The zero value of beforeWait is not called.
type waitReader struct {
	conn net.Conn
	// raw is nil for a connection that is no socket. Each Read then counts as a wait.
	raw        syscall.RawConn
	beforeWait func()
}

func newWaitReader(conn net.Conn) *waitReader {
	r := &waitReader{conn: conn}
	if c, ok := conn.(syscall.Conn); ok {
		if raw, err := c.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// Read implements io.Reader.
func (r *waitReader) Read(buffer []byte) (int, error) {
	if r.raw == nil {
		r.notify()
		return r.conn.Read(buffer)
	}
	n, readErr := 0, error(nil)
	err := r.raw.Read(func(fd uintptr) bool {
		n, readErr = readAvailable(int(fd), buffer)
		if errors.Is(readErr, syscall.EAGAIN) {
			r.notify()
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: r.conn.LocalAddr(), Addr: r.conn.RemoteAddr(), Err: readErr}
	case n == 0 && len(buffer) > 0:
		return 0, io.EOF
	}
	return n, nil
}

func (r *waitReader) notify() {
	if r.beforeWait != nil {
		r.beforeWait()
	}
}

// readAvailable reads what has arrived, without waiting for more.
func readAvailable(fd int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buffer)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil {
			return 0, err
		}
		return n, nil
	}
}
