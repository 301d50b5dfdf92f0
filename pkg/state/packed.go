package state

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// maxStateBytes bounds the canonical form of a state in bytes.
const maxStateBytes = 256 << 20

// gzipMagic starts a packed state; the canonical form starts with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// SizeError reports a packed state that unpacks to more than a state may have.
type SizeError struct {
	LimitBytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("packed state unpacks to more than %d bytes", e.LimitBytes)
}

// Pack returns the compressed canonical form of the state, as it travels, and the
// digest of the canonical form.
func (s *State) Pack() ([]byte, string, error) {
	raw, sum, err := s.Marshal()
	if err != nil {
		return nil, "", err
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, "", eris.Wrap(err, "make compressor")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, "", eris.Wrap(err, "compress state")
	}
	if err := w.Close(); err != nil {
		return nil, "", eris.Wrap(err, "compress state")
	}
	return packed.Bytes(), sum, nil
}

// Unpack reads a state that was packed, or one in its canonical form, and checks
// its digest. It returns *DigestError or *SizeError among others.
func Unpack(packed []byte, want string) (*State, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		return Unmarshal(packed, want)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "open packed state")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "unpack state")
	}
	if len(raw) > maxStateBytes {
		return nil, &SizeError{LimitBytes: maxStateBytes}
	}
	return Unmarshal(raw, want)
}
