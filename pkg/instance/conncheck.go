package instance

import (
	"net"
	"syscall"
)

// isOpenAndIdle reports whether a connection is open and has no data to read. A
// connection that the instance has closed, or on which it has sent data after the
// last response, must not carry another call.
func isOpenAndIdle(c net.Conn) bool {
	syscallConn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errno == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
