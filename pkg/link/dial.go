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
	// unackedTimeout is how long sent data may stay unacknowledged by TCP before
	// the kernel closes the connection (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
)

// Dialer opens TCP connections that fail within unackedTimeout of a write when
// the remote host has disappeared, instead of retransmitting for minutes.
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

// DialTCP connects to a host:port address with Dialer.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return Dialer.DialContext(ctx, "tcp", address)
}
