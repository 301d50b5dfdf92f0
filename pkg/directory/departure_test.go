package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

var (
	firstLife  = fleet.Incarnation{Instance: "i-1", StartUnixMs: 10}
	secondLife = fleet.Incarnation{Instance: "i-1", StartUnixMs: 20}
)

// storedTopic keeps what is written to it. Nobody reads it but the test.
type storedTopic struct {
	// err is what writes return; it is set before a directory runs.
	err error

	mu     sync.Mutex
	newest map[string]topic.Record
	writes int
}

func (s *storedTopic) put(_ context.Context, r topic.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.err != nil {
		return s.err
	}
	if s.newest == nil {
		s.newest = map[string]topic.Record{}
	}
	s.newest[r.Key] = r
	return nil
}

func (s *storedTopic) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *storedTopic) records() []topic.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []topic.Record
	for _, r := range s.newest {
		list = append(list, r)
	}
	return list
}

func newDirectoryOn(s *storedTopic, self NodeAddress) *Directory {
	d := &Directory{Self: self, Clock: clock.System{}, Logger: logs.Discard(), Put: s.put}
	d.Init()
	return d
}

// Guards against a departure that the next process of the node does not know, or takes for
// none before it has read the topic.
func TestDepartureOutlivesItsProcess(t *testing.T) {
	is := is.New(t)
	store := &storedTopic{}
	is.NoErr(newDirectoryOn(store, "self").RecordDeparture(t.Context(), firstLife))
	d := newDirectoryOn(store, "self")
	_, known := d.HasDeparted(firstLife)
	is.True(!known)
	d.Apply(store.records(), true)
	departed, known := d.HasDeparted(firstLife)
	is.True(departed && known)
	departed, known = d.HasDeparted(secondLife)
	is.True(!departed && known)
	is.Equal(len(d.Snapshot().Nodes), 0)
}

// Guards against an error of the store that is not reported, and against a second write of
// a departure that the topic holds.
func TestRecordDepartureWritesOnce(t *testing.T) {
	is := is.New(t)
	store := &storedTopic{err: errUnavailable}
	d := newDirectoryOn(store, "self")
	is.True(d.RecordDeparture(t.Context(), firstLife) != nil)
	departed, _ := d.HasDeparted(firstLife)
	is.True(departed)
	store.err = nil
	is.NoErr(d.RecordDeparture(t.Context(), firstLife))
	is.NoErr(d.RecordDeparture(t.Context(), firstLife))
	is.Equal(store.writeCount(), 2)
}

// An entry that says that a departed instance is open, written late, does not bring it back.
func TestEntryOfDepartedInstanceIsNotUsed(t *testing.T) {
	is := is.New(t)
	store := &storedTopic{}
	is.NoErr(newDirectoryOn(store, "a").RecordDeparture(t.Context(), firstLife))
	open := Entry{Node: "a", Instance: "i-1", Service: "desk", Slots: 4, Open: true, StartUnixMs: 10}
	d := newDirectoryOn(store, "self")
	d.Apply(append(store.records(), record(open)), true)
	is.Equal(len(d.Snapshot().Services["desk"]), 0)
	open.StartUnixMs = 20
	d.Apply([]topic.Record{record(open)}, false)
	is.Equal(len(d.Snapshot().Services["desk"]), 1)
}

// runDirectory runs a directory during steps.
func runDirectory(t *testing.T, d *Directory, steps func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.Run(ctx)
	}()
	steps()
	cancel()
	<-done
}

// A departure is lost with a restore of the store, or replaced by the late write of an
// earlier one. Guards against a topic that stays without it.
func TestLocalDepartureIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &storedTopic{}
		d := newDirectoryOn(store, "self")
		runDirectory(t, d, func() {
			is.NoErr(d.RecordDeparture(t.Context(), firstLife))
			early := store.records()
			is.NoErr(d.RecordDeparture(t.Context(), secondLife))
			late := store.records()
			d.Apply(early, false)
			time.Sleep(recheckInterval + minWriteInterval)
			is.Equal(store.writeCount(), 3)
			is.Equal(store.records(), late)
			d.HandleRestore()
			d.Apply(nil, true)
			time.Sleep(recheckInterval + minWriteInterval)
			is.Equal(store.writeCount(), 4)
		})
	})
}

// The store took no departure of a node, which told its peers and was killed. Guards against
// a node that opens its gate again as neither it nor the topic remembers: a peer writes the
// departure once the node says otherwise.
func TestPeerWritesDepartureThatItsNodeHasForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &storedTopic{}
		d := newDirectoryOn(store, "self")
		runDirectory(t, d, func() {
			d.NoteDeparture("a", firstLife)
			time.Sleep(5 * time.Second)
			is.Equal(store.writeCount(), 0)
			d.UpdatePeer(Entry{Node: "a", Instance: "i-1", Service: "desk", Open: true, StartUnixMs: 20})
			time.Sleep(5 * time.Second)
			is.Equal(store.writeCount(), 0)
			d.UpdatePeer(Entry{Node: "a", Instance: "i-1", Service: "desk", Open: true, StartUnixMs: 10})
			is.Equal(len(d.Snapshot().Services["desk"]), 0)
			time.Sleep(maxWriteDelay + recheckInterval)
			is.Equal(store.writeCount(), 1)
		})
		restarted := newDirectoryOn(store, "a")
		restarted.Apply(store.records(), true)
		departed, _ := restarted.HasDeparted(firstLife)
		is.True(departed)
	})
}

// A node relies on this one to record the departure of its instance. Guards against a record that
// waits for the node to say otherwise, that is written while a later one may be in the topic, or
// that is written again once the topic holds it.
func TestKeptDepartureIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &storedTopic{}
		d := newDirectoryOn(store, "self")
		var upToDate atomic.Bool
		d.UpToDate = upToDate.Load
		runDirectory(t, d, func() {
			d.NoteDeparture("a", firstLife)
			d.KeepDeparture("a", firstLife)
			time.Sleep(5 * time.Second)
			is.Equal(store.writeCount(), 0)
			upToDate.Store(true)
			time.Sleep(2 * recheckInterval)
			is.Equal(store.writeCount(), 1)
			d.KeepDeparture("a", firstLife)
			d.NoteDeparture("b", firstLife)
			d.KeepDeparture("b", firstLife)
			d.Apply([]topic.Record{{Key: departureKeyPrefix + "b", Value: []byte(`{"instance":"i-1","startUnixMs":10}`)}}, false)
			time.Sleep(5 * time.Second)
			is.Equal(store.writeCount(), 1)
		})
		restarted := newDirectoryOn(store, "a")
		restarted.Apply(store.records(), true)
		departed, _ := restarted.HasDeparted(firstLife)
		is.True(departed)
	})
}

// Guards against records of another writer that spoil the departures.
func TestUnreadableDeparturesAreIgnored(t *testing.T) {
	is := is.New(t)
	d := newDirectoryOn(&storedTopic{}, "self")
	d.Apply([]topic.Record{
		{Key: departureKeyPrefix + "self", Value: []byte("{")},
		{Key: departureKeyPrefix + "self", Value: []byte(`{"startUnixMs":10}`)},
		{Key: departureKeyPrefix + "self"},
		{Key: departureKeyPrefix, Value: []byte(`{"instance":"i-1"}`)},
	}, true)
	departed, known := d.HasDeparted(firstLife)
	is.True(!departed && known)
	is.Equal(len(d.Snapshot().Nodes), 0)
}
