// Package inifile reads INI files strictly: a section or key that the program does not
// read is an error, and all problems of a file are reported together with their line
// numbers. Settings, tickets, load scenarios and emulator shapes use it.
package inifile

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

var (
	sectionPattern = regexp.MustCompile(`^\s*\[([^\]]+)\]`)
	keyPattern     = regexp.MustCompile(`^\s*([^=:#;\s]+)\s*[=:]`)
)

// Problem is one error in a file.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Message string `json:"what"`
	// Allowed describes valid input.
	Allowed string `json:"allowed"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; allowed: %s", p.File, p.Line, p.Message, p.Allowed)
}

// InvalidError lists all problems of a file.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// keyPath names a key, or a section if key is empty.
type keyPath struct {
	section, key string
}

// File is a parsed file with the problems found so far. It is not safe for concurrent
// use, nor are its sections.
type File struct {
	name        string
	parsed      *ini.File
	lineNumbers map[keyPath]int
	// requested holds the sections and keys that the program has read.
	requested map[keyPath]bool
	problems  []Problem
}

// Parse parses an INI text; name is the file name used in problems. It returns
// *InvalidError if the text is not in INI syntax.
func Parse(name string, text []byte) (*File, error) {
	options := ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		KeyValueDelimiters:         "=",
		IgnoreInlineComment:        true,
	}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, &InvalidError{Problems: []Problem{{
			File: name, Line: 1, Message: err.Error(), Allowed: "sections in brackets and lines of the form key = value",
		}}}
	}
	f := &File{name: name, parsed: parsed, lineNumbers: map[keyPath]int{}, requested: map[keyPath]bool{}}
	f.indexLines(text)
	return f, nil
}

// indexLines records the line numbers of sections and keys, which the INI parser does
// not give.
func (f *File) indexLines(text []byte) {
	scanner := bufio.NewScanner(bytes.NewReader(text))
	section := ini.DefaultSection
	for line := 1; scanner.Scan(); line++ {
		if match := sectionPattern.FindStringSubmatch(scanner.Text()); match != nil {
			section = strings.TrimSpace(match[1])
			f.recordLine(keyPath{section: section}, line)
			continue
		}
		if match := keyPattern.FindStringSubmatch(scanner.Text()); match != nil {
			f.recordLine(keyPath{section, match[1]}, line)
		}
	}
}

func (f *File) recordLine(p keyPath, line int) {
	if firstLine, seen := f.lineNumbers[p]; seen && p.key == "" {
		f.problems = append(f.problems, Problem{
			File: f.name, Line: line,
			Message: fmt.Sprintf("section [%s] stands twice, first in line %d", p.section, firstLine),
			Allowed: "each section once",
		})
		return
	}
	f.lineNumbers[p] = line
}

// Sections returns the names of the sections whose name starts with prefix.
func (f *File) Sections(prefix string) []string {
	var names []string
	for _, s := range f.parsed.Sections() {
		if s.Name() != ini.DefaultSection && strings.HasPrefix(s.Name(), prefix) {
			names = append(names, s.Name())
		}
	}
	return names
}

// Section returns the named section, and an empty one if the file does not have it.
func (f *File) Section(name string) *Section {
	f.requested[keyPath{section: name}] = true
	return &Section{file: f, name: name, present: f.parsed.HasSection(name)}
}

// AddProblem adds a problem at a key, or at a section if key is empty. A key that the
// file does not have is reported at the line of its section.
func (f *File) AddProblem(section, key, message, allowed string) {
	line, found := f.lineNumbers[keyPath{section, key}]
	if !found {
		line = f.lineNumbers[keyPath{section: section}]
	}
	f.problems = append(f.problems, Problem{File: f.name, Line: max(line, 1), Message: message, Allowed: allowed})
}

// Finish returns *InvalidError if the file has any problem, including sections and keys
// that the program has not read. Call it after reading all values.
func (f *File) Finish() error {
	f.addUnknown()
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &InvalidError{Problems: f.problems}
}

// addUnknown adds a problem for each section and key that was not read.
func (f *File) addUnknown() {
	for _, s := range f.parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !f.requested[keyPath{section: s.Name()}] {
			f.AddProblem(s.Name(), "", fmt.Sprintf("unknown section [%s]", s.Name()), f.requestedNames(""))
			continue
		}
		for _, k := range s.Keys() {
			if !f.requested[keyPath{s.Name(), k.Name()}] {
				f.AddProblem(s.Name(), k.Name(), fmt.Sprintf("unknown key %q in [%s]", k.Name(), s.Name()), f.requestedNames(s.Name()))
			}
		}
	}
}

// requestedNames lists the sections, or the keys of one section, that the program has
// read.
func (f *File) requestedNames(section string) string {
	var names []string
	for p := range f.requested {
		switch {
		case section == "" && p.key == "":
			names = append(names, "["+p.section+"]")
		case section != "" && p.section == section && p.key != "":
			names = append(names, p.key)
		}
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// Section reads typed values of a section. Invalid values are added to the problems of the
// file.
type Section struct {
	file    *File
	name    string
	present bool
}

// Name returns the name of the section.
func (s *Section) Name() string { return s.name }

// Present reports whether the file has the section.
func (s *Section) Present() bool { return s.present }

// AddProblem adds a problem at a key of the section, or at the section if key is empty.
func (s *Section) AddProblem(key, message, allowed string) {
	s.file.AddProblem(s.name, key, message, allowed)
}

// lookup returns the value of a key and whether the file has it, and records that the
// program has read the key.
func (s *Section) lookup(key string) (string, bool) {
	s.file.requested[keyPath{s.name, key}] = true
	if !s.present {
		return "", false
	}
	section := s.file.parsed.Section(s.name)
	if !section.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(section.Key(key).String()), true
}

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, found := s.lookup(key)
	return found
}

// Strings returns all values of a key that may be repeated.
func (s *Section) Strings(key string) []string {
	if _, found := s.lookup(key); !found {
		return nil
	}
	return s.file.parsed.Section(s.name).Key(key).ValueWithShadows()
}

// All returns the values of all keys, for a section whose keys are names that the file
// chooses.
func (s *Section) All() map[string]string {
	values := map[string]string{}
	if !s.present {
		return values
	}
	for _, k := range s.file.parsed.Section(s.name).Keys() {
		values[k.Name()], _ = s.lookup(k.Name())
	}
	return values
}

// String returns a value, or fallback if the key is missing.
func (s *Section) String(key, fallback string) string {
	value, found := s.lookup(key)
	if !found {
		return fallback
	}
	return value
}

// Required returns a value, and adds a problem if it is missing or empty.
func (s *Section) Required(key, allowed string) string {
	value, _ := s.lookup(key)
	if value == "" {
		s.AddProblem(key, fmt.Sprintf("%q is missing in [%s]", key, s.name), allowed)
	}
	return value
}

// OneOf returns a value, or fallback if the key is missing, and adds a problem if it is
// none of the allowed ones.
func (s *Section) OneOf(key, fallback string, allowed ...string) string {
	value := s.String(key, fallback)
	if !slices.Contains(allowed, value) {
		s.AddProblem(key, fmt.Sprintf("%s = %q", key, value), strings.Join(allowed, ", "))
	}
	return value
}

// Bool returns a value that must be true or false, or fallback if the key is missing.
func (s *Section) Bool(key string, fallback bool) bool {
	return s.OneOf(key, strconv.FormatBool(fallback), "true", "false") == "true"
}

// Duration returns a duration of at least minimum. It returns fallback if the key is
// missing or the value invalid.
func (s *Section) Duration(key string, fallback, minimum time.Duration) time.Duration {
	value, found := s.lookup(key)
	if !found {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < minimum {
		s.AddProblem(key, fmt.Sprintf("%s = %q", key, value), fmt.Sprintf("a duration with a unit, such as 250ms or 5s, at least %s", minimum))
		return fallback
	}
	return d
}

// Int returns a whole number from minimum to maximum. It returns fallback if the key is
// missing or the value invalid.
func (s *Section) Int(key string, fallback, minimum, maximum int) int {
	value, found := s.lookup(key)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < minimum || n > maximum {
		s.AddProblem(key, fmt.Sprintf("%s = %q", key, value), fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
		return fallback
	}
	return n
}

// Float returns a number from minimum to maximum. It returns fallback if the key is
// missing or the value invalid.
func (s *Section) Float(key string, fallback, minimum, maximum float64) float64 {
	value, found := s.lookup(key)
	if !found {
		return fallback
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= minimum && n <= maximum) {
		s.AddProblem(key, fmt.Sprintf("%s = %q", key, value), fmt.Sprintf("a number from %g to %g", minimum, maximum))
		return fallback
	}
	return n
}

// Address returns a required IP address and port.
func (s *Section) Address(key string) string {
	value, _ := s.lookup(key)
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.AddProblem(key, fmt.Sprintf("%s = %q in [%s]", key, value, s.name), "an IP address and port, such as 127.0.0.1:7000")
	}
	return value
}

// URL returns a required http URL without a trailing slash.
func (s *Section) URL(key string) string {
	value, _ := s.lookup(key)
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		s.AddProblem(key, fmt.Sprintf("%s = %q in [%s]", key, value, s.name), "an http URL, such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(value, "/")
}
