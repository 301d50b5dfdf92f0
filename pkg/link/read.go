package link

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// waitReader reads from a connection and calls beforeWait each time that it has read all
// that has arrived, before it waits for more. It belongs to one goroutine.
type waitReader struct {
	conn net.Conn
	// raw is nil for a connection that is no socket. Each Read then counts as a wait.
	raw syscall.RawConn
	// beforeWait is not called while it is nil.
	beforeWait func()

	// read is readAvailable as a function value, so that Read needs no new one. It uses the
	// fields below.
	read   func(fd uintptr) bool
	buffer []byte
	n      int
	err    error
}

func newWaitReader(conn net.Conn) *waitReader {
	r := &waitReader{conn: conn}
	r.read = r.readAvailable
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
	r.buffer = buffer
	err := r.raw.Read(r.read)
	switch {
	case err != nil:
		return 0, err
	case r.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: r.conn.LocalAddr(), Addr: r.conn.RemoteAddr(), Err: r.err}
	case r.n == 0 && len(buffer) > 0:
		return 0, io.EOF
	}
	return r.n, nil
}

func (r *waitReader) notify() {
	if r.beforeWait != nil {
		r.beforeWait()
	}
}

// readAvailable reads what has arrived. It returns false if that is nothing, so that its
// caller waits.
func (r *waitReader) readAvailable(fd uintptr) bool {
	for {
		r.n, r.err = syscall.Read(int(fd), r.buffer)
		switch {
		case errors.Is(r.err, syscall.EINTR):
		case errors.Is(r.err, syscall.EAGAIN):
			r.notify()
			return false
		default:
			return true
		}
	}
}
