package link

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = time.Second
	// userTimeout is how long sent bytes may stay unconfirmed.
	userTimeout = 2 * time.Second
)

// Dialer opens connections that do not hang on a peer that has vanished.
var Dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}}

// DialTCP opens a connection to an address.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return Dialer.DialContext(ctx, "tcp", address)
}
