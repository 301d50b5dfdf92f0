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
	// unackedTimeout is how long sent bytes may stay unconfirmed.
	unackedTimeout = 2 * time.Second
)

// Dialer opens connections that do not hang on a peer that has vanished.
var Dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return optionErr
}}

// DialTCP opens a connection to an address.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return Dialer.DialContext(ctx, "tcp", address)
}
