package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// peerCheckInterval is the time between two looks whether a caller has closed its connection.
const peerCheckInterval = 100 * time.Millisecond

// PeerClosed reports whether the caller has closed the connection on which the request
// with this context was read, or its sending direction. It asks the kernel, so it knows of a
// close that the server has not read yet, also behind unread data. It returns false for
// a connection that is not tracked.
func PeerClosed(ctx context.Context) bool {
	c, tracked := ctx.Value(contextKey{}).(*conn)
	return tracked && c.raw != nil && isPeerClosed(c.raw)
}

// watchPeer ends the contexts of the requests on the connection once the caller closes it, until no
// request is handled. The server does not notice that behind a request that the caller has sent
// ahead.
func (c *limitedConn) watchPeer() {
	defer c.watched.Store(false)
	for c.handling.Load() && !c.closing.Load() {
		if isPeerClosed(c.raw) {
			c.conn.cancel()
			return
		}
		_ = clock.Sleep(context.Background(), c.clock, peerCheckInterval)
	}
}

func isPeerClosed(raw syscall.RawConn) bool {
	closed := false
	// Read would wait for the read that the server has in progress; Control does not.
	err := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(polled, 0)
		closed = pollErr == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}

// IsUnread reports whether data has arrived on a connection that was not read. It does not wait
// for a read in progress, and returns false for a connection that is no socket.
func IsUnread(netConn net.Conn) bool {
	raw := rawConn(netConn)
	return raw != nil && isUnread(raw)
}

// isUnread reports whether data has arrived on a socket that the server has not read.
func isUnread(raw syscall.RawConn) bool {
	unread := 0
	err := raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.TIOCINQ); ioctlErr == nil {
			unread = n
		}
	})
	return err == nil && unread > 0
}

// rawConn returns the raw connection of a socket, or nil.
func rawConn(netConn net.Conn) syscall.RawConn {
	syscallConn, ok := netConn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
