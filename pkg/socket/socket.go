// Package socket tells what has arrived on a connection without reading it or waiting.
package socket

import (
	"errors"
	"net"
	"syscall"
)

// IsOpenAndIdle reports whether a connection is open and has no data to read. A
// connection that the peer has closed, or on which it has sent data after the
// last response, must not carry another call.
func IsOpenAndIdle(c net.Conn) bool {
	_, isSocket := c.(syscall.Conn)
	_, err := peekByte(c)
	return !isSocket || errors.Is(err, syscall.EAGAIN)
}

// HasData reports whether data that was not read has arrived on a connection.
func HasData(c net.Conn) bool {
	n, err := peekByte(c)
	return err == nil && n > 0
}

// peekByte looks for a byte that has arrived on a socket, without reading it, and does not
// wait. It returns 0 bytes at the end of the input and EAGAIN if there is nothing.
func peekByte(c net.Conn) (n int, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}
