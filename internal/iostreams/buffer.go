package iostreams

import (
	"bytes"
	"strings"
	"sync"
)

// Buffer is a buffer that may be read while others write, such as a log in a
// test. Its zero value works.
type Buffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

// String returns what was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Contains tells whether a text was written.
func (b *Buffer) Contains(text string) bool { return strings.Contains(b.String(), text) }
