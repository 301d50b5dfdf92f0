package iostreams

import (
	"bytes"
	"strings"
	"sync"
)

// Buffer is a buffer that is safe for concurrent use, such as for the log of a program
// under test. Its zero value is an empty buffer.
type Buffer struct {
	// mu guards buffer.
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *Buffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(text)
}

// String returns all text written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Contains reports whether the text written so far contains text.
func (b *Buffer) Contains(text string) bool { return strings.Contains(b.String(), text) }
