package instance

import "io"

// headerLimiter reads from source and fails once it has read as much as a header may
// have. The zero limit means none.
type headerLimiter struct {
	source  io.Reader
	limited bool
	// remaining is the number of bytes that may still be read while limited is set.
	remaining int
}

func (l *headerLimiter) limit(bytes int) { l.limited, l.remaining = true, bytes }

func (l *headerLimiter) unlimit() { l.limited = false }

// Read implements io.Reader. It returns *HeaderTooLargeError at the limit.
func (l *headerLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.source.Read(b)
	}
	if l.remaining <= 0 {
		return 0, &HeaderTooLargeError{LimitBytes: maxHeaderBytes}
	}
	n, err := l.source.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}
