package instance

import (
	"net"
	"syscall"
)

// isOpenAndIdle tells whether an idle connection is open and has nothing to read: an
// instance that has closed it, or has sent bytes that belong to no call, must
// not get another call on it.
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
