package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// settings are those of a node whose store and instance do not exist, and which must end
// within maxStopTime after SIGTERM. All ports are chosen by the kernel.
const (
	settings = `[node]
name = n
service = desk
dataCentre = a
[listen]
callers = 127.0.0.1:0
heartbeats = 127.0.0.1:0
readiness = 127.0.0.1:0
peers = 127.0.0.1:0
[instance]
address = 127.0.0.1:1
[store]
address = 127.0.0.1:1
[bounds]
grace = 4s
`
	maxStopTime = 4 * time.Second
)

// Nobody reads the node's log any more, and the pipe that it goes to is full. Guards against
// a stop that waits for the reader and outlasts the grace period.
func TestStopEndsThoughNobodyReadsTheLog(t *testing.T) {
	is := is.New(t)
	read, write, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = read.Close() }()
	fill(t, write)
	process := startAndSignal(t, syscall.SIGTERM, settings, write)
	is.NoErr(write.Close())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(maxStopTime):
		_ = process.Process.Kill()
		<-ended
	}
	is.Equal(process.ProcessState.String(), "exit status 0")
}

// fill writes to a pipe until it takes no more.
func fill(t *testing.T, pipe *os.File) {
	t.Helper()
	raw, err := pipe.SyscallConn()
	is.New(t).NoErr(err)
	is.New(t).NoErr(raw.Write(func(fd uintptr) bool {
		for err == nil {
			_, err = unix.Write(int(fd), make([]byte, 1))
		}
		return true
	}))
	is.New(t).Equal(err, unix.EAGAIN)
}
