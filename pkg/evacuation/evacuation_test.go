package evacuation

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

// records returns the records that a text lists: "+a" evacuates data centre a, "-a" takes
// that back.
func records(text string) []topic.Record {
	var list []topic.Record
	for _, item := range strings.Fields(text) {
		r := topic.Record{Key: "out/" + item[1:]}
		if item[0] == '+' {
			r.Value = []byte("{}")
		}
		list = append(list, r)
	}
	return list
}

func join(list []fleet.DataCentre) string {
	var names []string
	for _, dataCentre := range list {
		names = append(names, string(dataCentre))
	}
	return strings.Join(names, " ")
}

// Guards against an evacuation that is forgotten, or stays in force after it was taken back,
// whichever way the records are read.
func TestApply(t *testing.T) {
	type step struct {
		records        string
		full, restored bool
		evacuated      string
		takenBack      string
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"records", []step{{records: "", full: true}, {records: "+a +b", evacuated: "a b"}, {records: "-a", takenBack: "a"}, {records: "-c +b"}}},
		{"several records of a key in one batch", []step{{records: "+a -a +a", full: true, evacuated: "a"}, {records: "-a +a"}, {records: "+a -a", takenBack: "a"}}},
		{"deleted and written again", []step{{records: "+a", full: true, evacuated: "a"}, {records: "-a", takenBack: "a"}, {records: "+a", evacuated: "a"}}},
		{"absent from a full list", []step{{records: "+a +b", full: true, evacuated: "a b"}, {records: "+b", full: true, takenBack: "a"}, {full: true, takenBack: "b"}}},
		{"absent from a restored list", []step{{records: "+a", full: true, evacuated: "a"}, {full: true, restored: true}, {records: "+b", evacuated: "b"}, {records: "-a", takenBack: "a"}}},
		{"absent from a restored list and the next", []step{{records: "+a", full: true, evacuated: "a"}, {full: true, restored: true}, {full: true, takenBack: "a"}}},
		{"absent from two restored lists", []step{{records: "+a", full: true, evacuated: "a"}, {full: true, restored: true}, {full: true, restored: true}, {full: true, takenBack: "a"}}},
		{"brought back by a restore", []step{{records: "+a", full: true, evacuated: "a"}, {records: "-a", takenBack: "a"}, {records: "+a", full: true, restored: true, evacuated: "a"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &Set{KeyPrefix: "out/"}
			for _, step := range c.steps {
				if step.restored {
					s.HandleRestore()
				}
				change := s.Apply(records(step.records), step.full)
				is.Equal(join(change.Evacuated), step.evacuated)
				is.Equal(join(change.TakenBack), step.takenBack)
			}
		})
	}
}

// Guards against a set that counts as known before a full list was applied, and against one
// that drops what it has read before.
func TestUnknownUntilFullList(t *testing.T) {
	is := is.New(t)
	s := &Set{KeyPrefix: "out/"}
	is.True(!s.Known())
	is.True(!s.Has("a"))
	is.True(!s.Any())
	s.Apply(records("+a"), false)
	is.True(!s.Known())
	is.True(s.Has("a"))
	s.Apply(records("+a"), true)
	is.True(s.Known())
	is.True(s.Has("a"))
	is.True(s.Any())
}

// Other records of the topic say nothing of data centres, whatever their value.
func TestOtherRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := &Set{KeyPrefix: "out/"}
	change := s.Apply([]topic.Record{{Key: "config", Value: []byte("{}")}, {Key: "out/", Value: []byte("{}")}, {Key: "outer", Value: []byte("{}")}, {Key: "in/out/a", Value: []byte("{}")}}, true)
	is.Equal(change, Change{})
	is.True(!s.Any())
	zero := &Set{}
	is.Equal(zero.Apply([]topic.Record{{Key: "config", Value: []byte("{}")}}, true), Change{})
}
