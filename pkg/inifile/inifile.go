// Package inifile reads INI files strictly: every section and key must be
// asked for, and all problems are collected with their lines before any is
// reported. Settings, tickets and load scenarios share it.
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
	sectionLine = regexp.MustCompile(`^\s*\[([^\]]+)\]`)
	keyLine     = regexp.MustCompile(`^\s*([^=:#;\s]+)\s*[=:]`)
)

// Problem is one fault of a file.
type Problem struct {
	File string `json:"file"`
	Line int    `json:"line"`
	What string `json:"what"`
	// Allowed tells what would be right.
	Allowed string `json:"allowed"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; allowed: %s", p.File, p.Line, p.What, p.Allowed)
}

// InvalidError lists every problem of a file.
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

type place struct {
	section, key string
}

// File is a parsed file and the problems found so far.
type File struct {
	name     string
	ini      *ini.File
	lines    map[place]int
	used     map[place]bool
	problems []Problem
}

// Parse reads an INI text. A text that is not INI at all gives
// *InvalidError.
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
			File: name, Line: 1, What: err.Error(), Allowed: "sections in brackets and lines of the form key = value",
		}}}
	}
	f := &File{name: name, ini: parsed, lines: map[place]int{}, used: map[place]bool{}}
	f.index(text)
	return f, nil
}

func (f *File) index(text []byte) {
	scanner := bufio.NewScanner(bytes.NewReader(text))
	section := ini.DefaultSection
	for n := 1; scanner.Scan(); n++ {
		if m := sectionLine.FindStringSubmatch(scanner.Text()); m != nil {
			section = strings.TrimSpace(m[1])
			f.note(place{section: section}, n)
			continue
		}
		if m := keyLine.FindStringSubmatch(scanner.Text()); m != nil {
			f.note(place{section, m[1]}, n)
		}
	}
}

func (f *File) note(p place, line int) {
	if first, seen := f.lines[p]; seen && p.key == "" {
		f.problems = append(f.problems, Problem{
			File: f.name, Line: line,
			What:    fmt.Sprintf("section [%s] stands twice, first in line %d", p.section, first),
			Allowed: "each section once",
		})
		return
	}
	f.lines[p] = line
}

// Sections returns the names of the sections whose name starts with prefix.
func (f *File) Sections(prefix string) []string {
	var names []string
	for _, s := range f.ini.Sections() {
		if s.Name() != ini.DefaultSection && strings.HasPrefix(s.Name(), prefix) {
			names = append(names, s.Name())
		}
	}
	return names
}

// Section returns the named section; one that is absent reads as empty.
func (f *File) Section(name string) *Section {
	f.used[place{section: name}] = true
	return &Section{file: f, name: name, present: f.ini.HasSection(name)}
}

// Problem adds a fault at a key, or at a section where key is empty.
func (f *File) Problem(section, key, what, allowed string) {
	line, known := f.lines[place{section, key}]
	if !known {
		line = f.lines[place{section: section}]
	}
	f.problems = append(f.problems, Problem{File: f.name, Line: max(line, 1), What: what, Allowed: allowed})
}

// Finish returns *InvalidError if the file had any problem, including sections
// and keys that nobody asked for.
func (f *File) Finish() error {
	f.findUnknown()
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &InvalidError{Problems: f.problems}
}

func (f *File) findUnknown() {
	for _, s := range f.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if !f.used[place{section: s.Name()}] {
			f.Problem(s.Name(), "", fmt.Sprintf("unknown section [%s]", s.Name()), f.known(""))
			continue
		}
		for _, k := range s.Keys() {
			if !f.used[place{s.Name(), k.Name()}] {
				f.Problem(s.Name(), k.Name(), fmt.Sprintf("unknown key %q in [%s]", k.Name(), s.Name()), f.known(s.Name()))
			}
		}
	}
}

// known lists the sections, or the keys of one section, that were asked for.
func (f *File) known(section string) string {
	var names []string
	for p := range f.used {
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

// Section reads typed values; faults are noted in the file.
type Section struct {
	file    *File
	name    string
	present bool
}

// Name returns the name of the section.
func (s *Section) Name() string { return s.name }

// Present tells whether the file has the section.
func (s *Section) Present() bool { return s.present }

// Problem adds a fault at a key of the section.
func (s *Section) Problem(key, what, allowed string) {
	s.file.Problem(s.name, key, what, allowed)
}

func (s *Section) raw(key string) (string, bool) {
	s.file.used[place{s.name, key}] = true
	if !s.present {
		return "", false
	}
	section := s.file.ini.Section(s.name)
	if !section.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(section.Key(key).String()), true
}

// Has tells whether the key is given.
func (s *Section) Has(key string) bool {
	_, given := s.raw(key)
	return given
}

// Strings returns every value of a key that may stand several times.
func (s *Section) Strings(key string) []string {
	if _, given := s.raw(key); !given {
		return nil
	}
	return s.file.ini.Section(s.name).Key(key).ValueWithShadows()
}

// String returns a value, or fallback where it is absent.
func (s *Section) String(key, fallback string) string {
	value, given := s.raw(key)
	if !given {
		return fallback
	}
	return value
}

// Required returns a value that must be given and not be empty.
func (s *Section) Required(key, allowed string) string {
	value, _ := s.raw(key)
	if value == "" {
		s.Problem(key, fmt.Sprintf("%q is missing in [%s]", key, s.name), allowed)
	}
	return value
}

// OneOf returns a value that must be one of a list.
func (s *Section) OneOf(key, fallback string, allowed ...string) string {
	value := s.String(key, fallback)
	if !slices.Contains(allowed, value) {
		s.Problem(key, fmt.Sprintf("%s = %q", key, value), strings.Join(allowed, ", "))
	}
	return value
}

// Bool returns true or false.
func (s *Section) Bool(key string, fallback bool) bool {
	return s.OneOf(key, strconv.FormatBool(fallback), "true", "false") == "true"
}

// Duration returns a duration with its unit, at least lowest.
func (s *Section) Duration(key string, fallback, lowest time.Duration) time.Duration {
	value, given := s.raw(key)
	if !given {
		return fallback
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < lowest {
		s.Problem(key, fmt.Sprintf("%s = %q", key, value), fmt.Sprintf("a duration with a unit, such as 250ms or 5s, at least %s", lowest))
		return fallback
	}
	return d
}

// Int returns a whole number between lowest and highest.
func (s *Section) Int(key string, fallback, lowest, highest int) int {
	value, given := s.raw(key)
	if !given {
		return fallback
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < lowest || n > highest {
		s.Problem(key, fmt.Sprintf("%s = %q", key, value), fmt.Sprintf("a whole number from %d to %d", lowest, highest))
		return fallback
	}
	return n
}

// Float returns a number between lowest and highest.
func (s *Section) Float(key string, fallback, lowest, highest float64) float64 {
	value, given := s.raw(key)
	if !given {
		return fallback
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= lowest && n <= highest) {
		s.Problem(key, fmt.Sprintf("%s = %q", key, value), fmt.Sprintf("a number from %g to %g", lowest, highest))
		return fallback
	}
	return n
}

// Address returns a required IP address and port.
func (s *Section) Address(key string) string {
	value, _ := s.raw(key)
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.Problem(key, fmt.Sprintf("%s = %q in [%s]", key, value, s.name), "an IP number and port, such as 127.0.0.1:7000")
	}
	return value
}

// URL returns a required http address.
func (s *Section) URL(key string) string {
	value, _ := s.raw(key)
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		s.Problem(key, fmt.Sprintf("%s = %q in [%s]", key, value, s.name), "an address such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(value, "/")
}
