// Package iostreams holds the standard streams of a command and the properties of its
// terminal.
package iostreams

import (
	"bytes"
	"io"
	"os"
)

// IOStreams holds the streams of a command. In, Out and ErrOut must be set before use.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// Terminal reports whether Out is a terminal.
	Terminal bool
	// Colour reports whether escape sequences for colour and bold may be written to Out.
	Colour bool
}

// System returns the standard streams of the process. The environment variable NO_COLOR
// disables colour.
func System() *IOStreams {
	terminal := isTerminal(os.Stdout)
	_, noColour := os.LookupEnv("NO_COLOR")
	return &IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, Terminal: terminal, Colour: terminal && !noColour}
}

// Test returns streams for tests, and the buffers that their output goes to.
func Test() (streams *IOStreams, out, errOut *bytes.Buffer) {
	out, errOut = new(bytes.Buffer), new(bytes.Buffer)
	return &IOStreams{In: new(bytes.Buffer), Out: out, ErrOut: errOut}, out, errOut
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Escape sequences of ANSI terminals.
const (
	bold  = "\x1b[1m"
	reset = "\x1b[0m"
)

// Bold returns text with escape sequences for bold, or unchanged if Colour is false.
func (s *IOStreams) Bold(text string) string {
	if !s.Colour {
		return text
	}
	return bold + text + reset
}
