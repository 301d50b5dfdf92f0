// Package iostreams holds the streams of a command and what is known of them.
package iostreams

import (
	"bytes"
	"io"
	"os"
)

// IOStreams are the streams of a command. The zero value writes nothing and is
// no terminal.
type IOStreams struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// Terminal tells whether Out is a terminal.
	Terminal bool
	// Colour tells whether Out may get colour.
	Colour bool
}

// System returns the streams of the process.
func System() *IOStreams {
	terminal := isTerminal(os.Stdout)
	_, noColour := os.LookupEnv("NO_COLOR")
	return &IOStreams{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, Terminal: terminal, Colour: terminal && !noColour}
}

// Test returns streams over buffers.
func Test() (streams *IOStreams, out, errOut *bytes.Buffer) {
	out, errOut = new(bytes.Buffer), new(bytes.Buffer)
	return &IOStreams{In: new(bytes.Buffer), Out: out, ErrOut: errOut}, out, errOut
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

const (
	bold  = "\x1b[1m"
	reset = "\x1b[0m"
)

// Bold returns text in bold, where the terminal shows it.
func (s *IOStreams) Bold(text string) string {
	if !s.Colour {
		return text
	}
	return bold + text + reset
}
