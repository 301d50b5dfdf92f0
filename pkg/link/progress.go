package link

import "golang.org/x/sys/unix"

// confirmedBytes returns the number of bytes that the peer's system has confirmed. During a
// write it may be less by what is being written.
func (f *framer) confirmedBytes() int64 { return f.written.Load() - int64(f.unconfirmed()) }

// unconfirmed asks the kernel for the number of bytes that were written and that the peer's
// system has not confirmed. It returns 0 where the kernel does not tell.
func (f *framer) unconfirmed() int {
	if f.source.raw == nil {
		return 0
	}
	n := 0
	_ = f.source.raw.Control(func(fd uintptr) {
		if asked, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = asked
		}
	})
	return n
}
