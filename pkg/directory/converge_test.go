package directory

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	nodes = 3
	// toldEvery is how often nodes tell each other of themselves.
	toldEvery = time.Second
	// settled is the time in which all nodes must agree once the store is back:
	// the users ask for about 2 s.
	settled = 2 * time.Second
)

var errDown = errors.New("the store is away")

// wobbly is a topic that goes away, drops its history and applies some writes late or never.
type wobbly struct {
	mu      sync.Mutex
	down    bool
	base    topic.Offset
	records []topic.Record
	newest  map[string]topic.Record
	// fates tells, for one write after the other, how long it takes to arrive; below 0 it never does.
	fates  []time.Duration
	writes int
}

func (w *wobbly) add(r topic.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, r)
	w.newest[r.Key] = r
	if len(r.Value) == 0 {
		delete(w.newest, r.Key)
	}
}

func (w *wobbly) put(_ context.Context, r topic.Record) error {
	w.mu.Lock()
	fate := time.Duration(0)
	if w.writes < len(w.fates) {
		fate = w.fates[w.writes]
	}
	w.writes++
	down := w.down
	w.mu.Unlock()
	switch {
	case down || fate < 0:
		return errDown
	case fate > 0:
		// The answer is lost, and the write arrives behind later ones.
		time.AfterFunc(fate, func() { w.add(r) })
		return errDown
	}
	w.add(r)
	return nil
}

func (w *wobbly) all(context.Context) ([]topic.Record, topic.Offset, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, 0, errDown
	}
	var list []topic.Record
	for _, r := range w.newest {
		list = append(list, r)
	}
	return list, w.base + topic.Offset(len(w.records)), nil
}

func (w *wobbly) read(ctx context.Context, from topic.Offset, wait time.Duration) ([]topic.Record, topic.Offset, error) {
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		end := w.base + topic.Offset(len(w.records))
		switch {
		case w.down || ctx.Err() != nil:
			w.mu.Unlock()
			return nil, 0, errDown
		case from < w.base:
			w.mu.Unlock()
			return nil, 0, &topic.TruncatedError{From: from}
		case from < end || time.Since(began) > wait:
			list := append([]topic.Record(nil), w.records[from-w.base:]...)
			w.mu.Unlock()
			return list, end, nil
		}
		w.mu.Unlock()
	}
}

// drop forgets the history.
func (w *wobbly) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.base += topic.Offset(len(w.records))
	w.records = nil
}

// world is some nodes with one topic.
type world struct {
	topic *wobbly
	// mu guards nodes, which the nodes' own goroutines read.
	mu     sync.Mutex
	nodes  [nodes]*Directory
	stops  [nodes]context.CancelFunc
	births int
	// earlier holds what each node said of itself before its last change.
	earlier [nodes]Entry
	running sync.WaitGroup
}

// bear starts the node of an address, after ending the one that was there.
func (o *world) bear(i int, open bool) {
	if o.stops[i] != nil {
		o.stops[i]()
	}
	ctx, cancel := context.WithCancel(context.Background())
	o.births++
	self := NodeAddress(fmt.Sprintf("node-%d", i))
	d := &Directory{Self: self, Clock: clock.System{}, Logger: logs.Discard(), Put: o.topic.put}
	d.Init()
	began := time.Now()
	f := &topic.Follower{
		Source: topic.Source{Newest: o.topic.all, Read: o.topic.read}, Clock: clock.System{}, Logger: logs.Discard(),
		Uptime: func() time.Duration { return time.Since(began) }, PollWait: 300 * time.Millisecond, PollMargin: 200 * time.Millisecond, Apply: d.Apply,
	}
	d.SetOwn(Entry{Node: self, Instance: fleet.InstanceName(fmt.Sprintf("instance-%d", o.births)), Service: "desk", Slots: 4, Open: open})
	o.mu.Lock()
	o.nodes[i], o.stops[i] = d, cancel
	o.mu.Unlock()
	o.running.Go(func() { f.Run(ctx) })
	o.running.Go(func() { d.Run(ctx) })
	o.running.Go(func() {
		clock.Every(ctx, clock.System{}, clock.Fixed(toldEvery), func(context.Context) { o.tell(i, d.Own()) })
	})
}

// tell has the other nodes hear what a node says of itself.
func (o *world) tell(i int, e Entry) {
	o.mu.Lock()
	others := o.nodes
	o.mu.Unlock()
	for j, d := range others {
		if j != i && d != nil {
			d.Learn(e)
		}
	}
}

func (o *world) do(step step) {
	i := step.node
	before := o.nodes[i].Own()
	defer func() {
		if before != o.nodes[i].Own() {
			o.earlier[i] = before
		}
	}()
	switch step.kind {
	case "open", "close":
		e := o.nodes[i].Own()
		e.Open = step.kind == "open"
		o.nodes[i].SetOwn(e)
	case "reborn":
		o.bear(i, true)
	case "lapse":
		o.topic.add(topic.Record{Key: string(o.nodes[i].Self)})
	case "drop":
		o.topic.drop()
	case "down", "up":
		o.topic.mu.Lock()
		o.topic.down = step.kind == "down"
		o.topic.mu.Unlock()
	case "tell":
		o.tell(i, o.nodes[i].Own())
	case "late":
		o.tell(i, o.earlier[i])
	}
}

// agreed returns what one node knows wrongly, or "".
func (o *world) agreed() string {
	truth := map[NodeAddress]Entry{}
	for _, d := range o.nodes {
		truth[d.Self] = d.Own()
	}
	for _, d := range o.nodes {
		if known := d.Snapshot().Nodes; !maps.Equal(known, truth) {
			return fmt.Sprintf("%s knows %v, true is %v", d.Self, known, truth)
		}
	}
	return ""
}

type step struct {
	kind  string
	node  int
	after time.Duration
}

// Whatever becomes of writes, of the history, of the store and of what nodes say
// of themselves, and whoever
// starts again under the same address: once the store is back all nodes know
// the same instances within the time that the users ask for.
func TestDirectoriesConverge(t *testing.T) {
	millis := func(least, most int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(least, most), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				kind: rapid.SampledFrom([]string{"open", "close", "reborn", "lapse", "drop", "down", "up", "tell", "late"}).Draw(rt, "kind"),
				node: rapid.IntRange(0, nodes-1).Draw(rt, "node"), after: millis(0, 900).Draw(rt, "after"),
			}
		}), 1, 14).Draw(rt, "steps")
		fates := rapid.SliceOfN(millis(-200, 900), 0, 20).Draw(rt, "fates")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			o := &world{topic: &wobbly{newest: map[string]topic.Record{}, fates: fates}}
			for i := range nodes {
				o.bear(i, true)
			}
			for _, s := range steps {
				time.Sleep(s.after)
				o.do(s)
			}
			// Writes under way arrive, and none is lost any more.
			o.topic.mu.Lock()
			o.topic.fates = nil
			o.topic.mu.Unlock()
			time.Sleep(time.Second)
			o.do(step{kind: "up"})
			time.Sleep(settled)
			wrong = o.agreed()
			for _, stop := range o.stops {
				stop()
			}
			o.running.Wait()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
