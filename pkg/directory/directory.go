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
	// writeTimeout bounds one write of the own entry.
	writeTimeout = time.Second
	// minWriteInterval is the least time between two writes of the own entry.
	minWriteInterval = 150 * time.Millisecond
	// recheckInterval is how often the own entry is compared with the topic.
	recheckInterval = 500 * time.Millisecond
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
	// OnChange is told of each new snapshot; nil is allowed.
	OnChange func(*Snapshot)

	snapshot atomic.Pointer[Snapshot]
	mu       sync.Mutex
	nodes    map[NodeAddress]Entry
	// loggedKeys holds keys whose entry cannot be read, so that each is logged once.
	loggedKeys  map[string]bool
	local       *Entry
	writeSignal chan struct{}
}

// Init prepares the directory. Call it once, after the fields are set.
func (d *Directory) Init() {
	d.nodes, d.loggedKeys, d.writeSignal = map[NodeAddress]Entry{}, map[string]bool{}, make(chan struct{}, 1)
	d.snapshot.Store(&Snapshot{})
}

// Snapshot returns the present directory.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Apply takes records of the topic.
func (d *Directory) Apply(records []topic.Record, full bool) {
	d.mu.Lock()
	if full {
		clear(d.nodes)
	}
	for _, r := range records {
		d.applyRecord(r)
	}
	d.publish()
	d.mu.Unlock()
	d.signalWrite()
}

// applyRecord enters one record. One that cannot be read names no instance and harms no other.
func (d *Directory) applyRecord(r topic.Record) {
	address := NodeAddress(r.Key)
	delete(d.nodes, address)
	if len(r.Value) == 0 {
		return
	}
	var e Entry
	if err := json.Unmarshal(r.Value, &e); err != nil || e.Node != address || e.Service == "" {
		if !d.loggedKeys[r.Key] {
			d.loggedKeys[r.Key] = true
			d.Logger.WithField("key", r.Key).WithError(err).Warn("an entry cannot be read; it is left out")
		}
		return
	}
	d.nodes[address] = e
}

// UpdatePeer takes the entry of another node from that node itself.
func (d *Directory) UpdatePeer(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if previous, known := d.nodes[e.Node]; known && previous == e || e.Node == "" || e.Node == d.Self || e.Service == "" {
		return
	}
	d.nodes[e.Node] = e
	d.publish()
}

// Local returns the own entry.
func (d *Directory) Local() Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.local == nil {
		return Entry{}
	}
	return *d.local
}

// publish replaces the snapshot.
func (d *Directory) publish() {
	nodes := maps.Clone(d.nodes)
	if d.local != nil {
		nodes[d.Self] = *d.local
	}
	s := &Snapshot{Nodes: nodes, Services: map[fleet.ServiceName][]Entry{}}
	for _, e := range nodes {
		if e.Open && e.Instance != "" {
			s.Services[e.Service] = append(s.Services[e.Service], e)
		}
	}
	d.snapshot.Store(s)
	if d.OnChange != nil {
		d.OnChange(s)
	}
}

// SetLocal sets what the own entry must be.
func (d *Directory) SetLocal(e Entry) {
	d.mu.Lock()
	if d.local == nil || *d.local != e {
		d.local = &e
		d.publish()
	}
	d.mu.Unlock()
	d.signalWrite()
}

func (d *Directory) signalWrite() {
	select {
	case d.writeSignal <- struct{}{}:
	default:
	}
}

// pendingWrite returns the own entry where the topic does not show it.
func (d *Directory) pendingWrite() *Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.local == nil || d.nodes[d.Self] == *d.local {
		return nil
	}
	e := *d.local
	return &e
}

// Run keeps the own entry in the topic as it must be, until ctx ends. A write
// of an earlier time that arrives late is seen in the topic and mended.
func (d *Directory) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.writeSignal:
		case <-d.Clock.After(recheckInterval):
		}
		e := d.pendingWrite()
		if e == nil {
			continue
		}
		d.write(ctx, *e)
		if clock.Sleep(ctx, d.Clock, minWriteInterval) != nil {
			return
		}
	}
}

// Flush writes the own entry once more, at a stop.
func (d *Directory) Flush(ctx context.Context) {
	if e := d.pendingWrite(); e != nil {
		d.write(ctx, *e)
	}
}

func (d *Directory) write(ctx context.Context, e Entry) {
	value, err := json.Marshal(e)
	if err != nil {
		d.Logger.WithError(err).Error("the own entry cannot be written")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := d.Put(ctx, topic.Record{Key: string(d.Self), Value: value}); err != nil {
		d.Logger.WithError(err).Warn("the own entry was not written; it is tried again")
		return
	}
	d.Logger.WithField("entry", string(value)).Info("own entry written")
}
