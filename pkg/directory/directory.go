// Package directory knows the instances of all services and the nodes beside
// them. Each node writes the entry of its own instance to a topic that all follow.
package directory

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

const (
	// putTimeout bounds one write of the own entry.
	putTimeout = time.Second
	// putPause is the least time between two writes of the own entry.
	putPause = 150 * time.Millisecond
	// recheckEvery is how often the own entry is compared with the topic.
	recheckEvery = 500 * time.Millisecond
)

type (
	// NodeAddress is where peers reach a node; it keys the entries.
	NodeAddress string

	// Entry tells of one node and the instance beside it.
	Entry struct {
		Node       NodeAddress        `json:"node"`
		Instance   fleet.InstanceName `json:"instance"`
		Service    fleet.ServiceName  `json:"service"`
		DataCentre fleet.DataCentre   `json:"dataCentre"`
		Slots      int                `json:"slots"`
		// Open tells whether the instance takes new calls.
		Open bool `json:"open"`
	}

	// Snapshot is the directory at one moment. It never changes.
	Snapshot struct {
		Nodes    map[NodeAddress]Entry
		Services map[fleet.ServiceName][]Entry
	}
)

// Directory follows the entries of all nodes and keeps the own one written. Set
// the exported fields before use.
type Directory struct {
	Self   NodeAddress
	Clock  clock.Clock
	Logger *logs.Logger
	// Put writes the own entry.
	Put func(ctx context.Context, r topic.Record) error
	// Changed is told of each new snapshot; nil is allowed.
	Changed func(*Snapshot)

	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
	nodes    map[NodeAddress]Entry
	// unreadable holds keys whose entry cannot be read, so that each is logged once.
	unreadable map[string]bool
	own        *Entry
	wake       chan struct{}
}

// Init prepares the directory. Call it once, after the fields are set.
func (d *Directory) Init() {
	d.nodes, d.unreadable, d.wake = map[NodeAddress]Entry{}, map[string]bool{}, make(chan struct{}, 1)
	d.snapshot.Store(&Snapshot{})
}

// Snapshot returns the present directory.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Apply takes records of the topic.
func (d *Directory) Apply(records []topic.Record, all bool) {
	d.mu.Lock()
	if all {
		clear(d.nodes)
	}
	for _, r := range records {
		d.take(r)
	}
	d.publish()
	d.mu.Unlock()
	d.nudge()
}

// take enters one record. One that cannot be read names no instance and harms no other.
func (d *Directory) take(r topic.Record) {
	address := NodeAddress(r.Key)
	delete(d.nodes, address)
	if len(r.Value) == 0 {
		return
	}
	var e Entry
	if err := json.Unmarshal(r.Value, &e); err != nil || e.Node != address || e.Service == "" {
		if !d.unreadable[r.Key] {
			d.unreadable[r.Key] = true
			d.Logger.WithField("key", r.Key).WithError(err).Warn("an entry cannot be read; it is left out")
		}
		return
	}
	d.nodes[address] = e
}

// Learn takes the entry of another node from that node itself.
func (d *Directory) Learn(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, known := d.nodes[e.Node]; known && old == e || e.Node == "" || e.Node == d.Self || e.Service == "" {
		return
	}
	d.nodes[e.Node] = e
	d.publish()
}

// Own returns the own entry.
func (d *Directory) Own() Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own == nil {
		return Entry{}
	}
	return *d.own
}

// publish replaces the snapshot.
func (d *Directory) publish() {
	nodes := maps.Clone(d.nodes)
	if d.own != nil {
		nodes[d.Self] = *d.own
	}
	s := &Snapshot{Nodes: nodes, Services: map[fleet.ServiceName][]Entry{}}
	for _, e := range nodes {
		if e.Open && e.Instance != "" {
			s.Services[e.Service] = append(s.Services[e.Service], e)
		}
	}
	d.snapshot.Store(s)
	if d.Changed != nil {
		d.Changed(s)
	}
}

// SetOwn sets what the own entry must be.
func (d *Directory) SetOwn(e Entry) {
	d.mu.Lock()
	if d.own == nil || *d.own != e {
		d.own = &e
		d.publish()
	}
	d.mu.Unlock()
	d.nudge()
}

func (d *Directory) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// differs returns the own entry where the topic does not show it.
func (d *Directory) differs() *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.own == nil || d.nodes[d.Self] == *d.own {
		return nil
	}
	e := *d.own
	return &e
}

// Run keeps the own entry in the topic as it must be, until ctx ends. A write
// of an earlier time that arrives late is seen in the topic and mended.
func (d *Directory) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-d.Clock.After(recheckEvery):
		}
		e := d.differs()
		if e == nil {
			continue
		}
		d.write(ctx, *e)
		if clock.Sleep(ctx, d.Clock, putPause) != nil {
			return
		}
	}
}

// Flush writes the own entry once more, at a stop.
func (d *Directory) Flush(ctx context.Context) {
	if e := d.differs(); e != nil {
		d.write(ctx, *e)
	}
}

func (d *Directory) write(ctx context.Context, e Entry) {
	value, err := json.Marshal(e)
	if err != nil {
		d.Logger.WithError(err).Error("the own entry cannot be written")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if err := d.Put(ctx, topic.Record{Key: string(d.Self), Value: value}); err != nil {
		d.Logger.WithError(err).Warn("the own entry was not written; it is tried again")
		return
	}
	d.Logger.WithField("entry", string(value)).Info("own entry written")
}
