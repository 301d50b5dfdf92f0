package state

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

// maxStateBytes limits the size of the canonical form of a state.
const maxStateBytes = 256 << 20

// gzipMagic is the start of a packed state. The canonical form starts with a
// brace.
var gzipMagic = []byte{0x1f, 0x8b}

// SizeError reports a packed state whose canonical form is too large.
type SizeError struct {
	LimitBytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("packed state is larger than %d bytes when decompressed", e.LimitBytes)
}

// Pack returns the gzip-compressed canonical form of the state, which is stored in
// snapshots and sent to peers, and the digest of the canonical form.
func (s *State) Pack() ([]byte, string, error) {
	raw, sum, err := s.Marshal()
	if err != nil {
		return nil, "", err
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, "", eris.Wrap(err, "create gzip writer")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, "", eris.Wrap(err, "compress state")
	}
	if err := w.Close(); err != nil {
		return nil, "", eris.Wrap(err, "compress state")
	}
	return packed.Bytes(), sum, nil
}

// Unpack decodes a state, packed or in its canonical form, and checks that its
// digest is want. It returns *DigestError if the digest differs, *SizeError if the
// state is too large, and other errors for malformed data.
func Unpack(packed []byte, want string) (*State, error) {
	if !bytes.HasPrefix(packed, gzipMagic) {
		return Unmarshal(packed, want)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "open packed state as gzip")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress state")
	}
	if len(raw) > maxStateBytes {
		return nil, &SizeError{LimitBytes: maxStateBytes}
	}
	return Unmarshal(raw, want)
}
