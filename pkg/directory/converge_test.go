package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

const (
	nodeCount = 3
	// deafNode is a node that no status reaches.
	deafNode = 0
	// statusInterval is how often each node sends its entry to the others.
	statusInterval = time.Second
	// convergeTimeout is the time within which all nodes must agree once the store is
	// available again: the requirement is about 2 s.
	convergeTimeout = 2 * time.Second
)

var errUnavailable = errors.New("store unavailable")

// flakyStore holds one topic. It can be unavailable, remove its history, apply writes
// late or never, and be restored from a copy.
type flakyStore struct {
	mu          sync.Mutex
	unavailable bool
	era         topic.Era
	// copied is the state from which restore restores the store.
	copied struct {
		firstOffset topic.Offset
		records     []topic.Record
		newest      map[string]topic.Record
	}
	// firstOffset is the offset of records[0]; earlier records have been removed.
	firstOffset topic.Offset
	records     []topic.Record
	newest      map[string]topic.Record
	// writeDelays holds, for each write in order, after how long it is applied; a
	// negative delay means never.
	writeDelays []time.Duration
	writes      int
}

func (w *flakyStore) add(r topic.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, r)
	w.newest[r.Key] = r
	if len(r.Value) == 0 {
		delete(w.newest, r.Key)
	}
}

func (w *flakyStore) put(_ context.Context, r topic.Record) error {
	w.mu.Lock()
	delay := time.Duration(0)
	if w.writes < len(w.writeDelays) {
		delay = w.writeDelays[w.writes]
	}
	w.writes++
	unavailable := w.unavailable
	w.mu.Unlock()
	switch {
	case unavailable || delay < 0:
		return errUnavailable
	case delay > 0:
		// The response is lost, and the write is applied after later ones.
		time.AfterFunc(delay, func() { w.add(r) })
		return errUnavailable
	}
	w.add(r)
	return nil
}

func (w *flakyStore) readNewest(context.Context) ([]topic.Record, topic.Position, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailable {
		return nil, topic.Position{}, errUnavailable
	}
	var list []topic.Record
	for _, r := range w.newest {
		list = append(list, r)
	}
	return list, topic.Position{Era: w.era, Offset: w.firstOffset + topic.Offset(len(w.records))}, nil
}

func (w *flakyStore) read(ctx context.Context, from topic.Position, wait time.Duration) ([]topic.Record, topic.Position, error) {
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		end := w.firstOffset + topic.Offset(len(w.records))
		switch {
		case w.unavailable || ctx.Err() != nil:
			w.mu.Unlock()
			return nil, topic.Position{}, errUnavailable
		case from.Era != w.era:
			err := &topic.RestoredError{From: from.Era, Now: w.era}
			w.mu.Unlock()
			return nil, topic.Position{}, err
		case from.Offset < w.firstOffset || from.Offset > end:
			w.mu.Unlock()
			return nil, topic.Position{}, &topic.TruncatedError{From: from.Offset}
		case from.Offset < end || time.Since(began) > wait:
			list := append([]topic.Record(nil), w.records[from.Offset-w.firstOffset:]...)
			next := topic.Position{Era: w.era, Offset: end}
			w.mu.Unlock()
			return list, next, nil
		}
		w.mu.Unlock()
	}
}

// copyRecords keeps the state of the topic for restore.
func (w *flakyStore) copyRecords() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.copied.firstOffset, w.copied.records, w.copied.newest = w.firstOffset, slices.Clone(w.records), maps.Clone(w.newest)
}

// restore replaces the topic by its last copy, or by nothing if there is none.
func (w *flakyStore) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.era++
	w.firstOffset, w.records, w.newest = w.copied.firstOffset, slices.Clone(w.copied.records), maps.Clone(w.copied.newest)
	if w.newest == nil {
		w.newest = map[string]topic.Record{}
	}
}

// entries returns the newest entry of each node.
func (w *flakyStore) entries() map[NodeAddress]Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	entries := map[NodeAddress]Entry{}
	for key, r := range w.newest {
		var e Entry
		_ = json.Unmarshal(r.Value, &e)
		entries[NodeAddress(key)] = e
	}
	return entries
}

// truncate removes the history; the newest record of each key stays.
func (w *flakyStore) truncate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstOffset += topic.Offset(len(w.records))
	w.records = nil
}

// cluster is a set of nodes that share one topic.
type cluster struct {
	store *flakyStore
	// mu guards nodes, which the goroutines of the nodes read.
	mu     sync.Mutex
	nodes  [nodeCount]*Directory
	stops  [nodeCount]context.CancelFunc
	starts int
	// previous holds the entry of each node before its last change.
	previous [nodeCount]Entry
	running  sync.WaitGroup
}

// start starts node i with a new instance, after stopping the node that ran at its
// address.
func (o *cluster) start(i int, open bool) {
	if o.stops[i] != nil {
		o.stops[i]()
	}
	ctx, cancel := context.WithCancel(context.Background())
	o.starts++
	self := NodeAddress(fmt.Sprintf("node-%d", i))
	d := &Directory{Self: self, Clock: clock.System{}, Logger: logs.Discard(), Put: o.store.put, Connected: func(NodeAddress) bool { return true }}
	d.Init()
	began := time.Now()
	f := &topic.Follower{
		Source: topic.Source{Newest: o.store.readNewest, Read: o.store.read}, Clock: clock.System{}, Logger: logs.Discard(),
		Uptime: func() time.Duration { return time.Since(began) }, PollWait: 300 * time.Millisecond, PollMargin: 200 * time.Millisecond, Apply: d.Apply,
		OnRestore: d.HandleRestore,
	}
	d.SetLocal(Entry{Node: self, Instance: fleet.InstanceName(fmt.Sprintf("instance-%d", o.starts)), Service: "desk", Slots: 4, Open: open})
	o.mu.Lock()
	o.nodes[i], o.stops[i] = d, cancel
	o.mu.Unlock()
	o.running.Go(func() { f.Run(ctx) })
	o.running.Go(func() { d.Run(ctx) })
	o.running.Go(func() {
		clock.Every(ctx, clock.System{}, clock.FixedPeriod(statusInterval), func(context.Context) { o.sendStatus(i, d.Local()) })
	})
}

// sendStatus passes an entry of node i to all other nodes.
func (o *cluster) sendStatus(i int, e Entry) {
	o.mu.Lock()
	others := o.nodes
	o.mu.Unlock()
	for j, d := range others {
		if j != i && d != nil && j != deafNode {
			d.UpdatePeer(e)
		}
	}
}

func (o *cluster) apply(event event) {
	i := event.node
	before := o.nodes[i].Local()
	defer func() {
		if before != o.nodes[i].Local() {
			o.previous[i] = before
		}
	}()
	switch event.kind {
	case "open", "close":
		e := o.nodes[i].Local()
		e.Open = event.kind == "open"
		o.nodes[i].SetLocal(e)
	case "reborn":
		o.start(i, true)
	case "lapse":
		o.store.add(topic.Record{Key: string(o.nodes[i].Self)})
	case "drop":
		o.store.truncate()
	case "copy":
		o.store.copyRecords()
	case "restore":
		o.store.restore()
	case "down", "up":
		o.store.mu.Lock()
		o.store.unavailable = event.kind == "down"
		o.store.mu.Unlock()
	case "tell":
		o.sendStatus(i, o.nodes[i].Local())
	case "late":
		o.sendStatus(i, o.previous[i])
	}
}

// firstDisagreement describes a node whose snapshot differs from the actual entries, or
// the topic if it does, or returns "".
func (o *cluster) firstDisagreement() string {
	want, openCount := map[NodeAddress]Entry{}, 0
	for _, d := range o.nodes {
		want[d.Self] = d.Local()
		if d.Local().Open {
			openCount++
		}
	}
	for _, d := range o.nodes {
		if got := d.Snapshot().Nodes; !maps.Equal(got, want) {
			return fmt.Sprintf("%s has %v, want %v", d.Self, got, want)
		}
		if got := len(d.Snapshot().Services["desk"]); got != openCount {
			return fmt.Sprintf("%s uses %d instances, want %d", d.Self, got, openCount)
		}
	}
	if got := o.store.entries(); !maps.Equal(got, want) {
		return fmt.Sprintf("the topic has %v, want %v", got, want)
	}
	return ""
}

// event is one step of a random scenario: after a delay, something happens to a node or
// to the store.
type event struct {
	kind  string
	node  int
	after time.Duration
}

// Writes may be delayed or lost, history removed, the store unavailable, entries from
// peers outdated, nodes restarted at the same address, and the store restored from a
// copy. Once the store is available again, all nodes and the topic must agree on the
// entries within convergeTimeout.
func TestDirectoriesConverge(t *testing.T) {
	millis := func(least, most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(least, most), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
	}
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				kind: rapid.SampledFrom([]string{"open", "close", "reborn", "lapse", "drop", "down", "up", "tell", "late", "copy", "restore"}).Draw(rt, "kind"),
				node: rapid.IntRange(0, nodeCount-1).Draw(rt, "node"), after: millis(0, 900).Draw(rt, "after"),
			}
		}), 1, 14).Draw(rt, "steps")
		writeDelays := rapid.SliceOfN(millis(-200, 900), 0, 20).Draw(rt, "fates")
		disagreement := ""
		synctest.Test(t, func(*testing.T) {
			o := &cluster{store: &flakyStore{newest: map[string]topic.Record{}, writeDelays: writeDelays}}
			for i := range nodeCount {
				o.start(i, true)
			}
			for _, s := range events {
				time.Sleep(s.after)
				o.apply(s)
			}
			// From here on no write is delayed or lost; those in progress are applied.
			o.store.mu.Lock()
			o.store.writeDelays = nil
			o.store.mu.Unlock()
			time.Sleep(time.Second)
			o.apply(event{kind: "up"})
			time.Sleep(convergeTimeout)
			disagreement = o.firstDisagreement()
			for _, stop := range o.stops {
				stop()
			}
			o.running.Wait()
		})
		if disagreement != "" {
			rt.Fatal(disagreement)
		}
	})
}
