// Package directory keeps the list of all nodes and their instances. Each node writes
// an entry about itself and its instance to a topic that all nodes follow. Entries also
// arrive directly from the nodes that they describe.
package directory

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

const (
	// recheckInterval is how often the local entry is compared with the topic, expired
	// entries are removed, and those of reached nodes are confirmed.
	recheckInterval = 500 * time.Millisecond
	// missingEntryRetention is how long an entry that a restored topic lacks is kept. A
	// server that lives has its entry back within about two seconds.
	missingEntryRetention = 2 * time.Second
)

type (
	// NodeAddress is the address at which peers reach a node. It is the key of the
	// node's entry.
	NodeAddress string

	// Entry describes a node and its instance.
	Entry struct {
		Node       NodeAddress        `json:"node"`
		Instance   fleet.InstanceName `json:"instance"`
		Service    fleet.ServiceName  `json:"service"`
		DataCentre fleet.DataCentre   `json:"dataCentre"`
		Slots      int                `json:"slots"`
		// Open reports whether the instance accepts new calls.
		Open bool `json:"open"`
		// StartUnixMs tells apart two starts of an instance under the same id; 0 if it is
		// not known.
		StartUnixMs int64 `json:"startUnixMs,omitempty"`
	}

	// Snapshot is the directory at one moment. It is immutable.
	Snapshot struct {
		Nodes map[NodeAddress]Entry
		// Services holds the entries whose instance is known and accepts calls, without
		// those that a restored topic brought back and those whose instance has departed.
		Services map[fleet.ServiceName][]Entry
	}

	// missingEntry is an entry that is kept until a time although the topic lacks it.
	missingEntry struct {
		Entry
		until time.Time
	}
)

// Incarnation returns the start of the instance that the entry describes.
func (e Entry) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{Instance: e.Instance, StartUnixMs: e.StartUnixMs}
}

// Directory holds the entries of all nodes and keeps the topic up to date with the
// local one. Set the exported fields before calling Init. Its other methods are safe
// for concurrent use.
type Directory struct {
	// Self is the address of the local node.
	Self   NodeAddress
	Clock  clock.Clock
	Logger *logs.Logger
	// Put writes a record to the topic.
	Put func(ctx context.Context, r topic.Record) error
	// Connected reports whether a node answers on the link to it; nil means that none
	// does. It is called with mu held and must not call methods of the Directory.
	Connected func(node NodeAddress) bool
	// UpToDate reports whether the topic has been read lately; nil means that it has. The
	// departures of other nodes are written only then: the topic may hold a later one.
	UpToDate func() bool
	// OnChange receives each new snapshot; nil is allowed. It is called with mu held
	// and must not call methods of the Directory other than Snapshot.
	OnChange func(*Snapshot)

	snapshot atomic.Pointer[Snapshot]
	// loaded reports whether a full list of records has been applied.
	loaded atomic.Bool
	// mu guards the fields below.
	mu sync.Mutex
	// nodes holds the entries from the topic and from peers.
	nodes map[NodeAddress]Entry
	// missing holds the entries of other nodes that a restored topic lacks. Its keys
	// are not in nodes.
	missing map[NodeAddress]missingEntry
	// unconfirmed holds the keys of nodes whose entry came back with a restored topic.
	// Their instances are not used until a record, a status or the link to the node
	// confirms that it lives.
	unconfirmed map[NodeAddress]bool
	// restored reports whether the next full list of records is of a restored topic.
	restored bool
	// departures holds the departures of the instances of all nodes.
	departures departures
	// loggedKeys holds the keys whose entry cannot be decoded, so that each is logged
	// once.
	loggedKeys map[string]bool
	// local is the entry that the topic must hold for this node; nil before SetLocal.
	local *Entry
	// writeSignal wakes Run to compare the local entry with the topic.
	writeSignal chan struct{}
}

// Init prepares the directory. It must be called once, before any other method.
func (d *Directory) Init() {
	d.nodes, d.missing = map[NodeAddress]Entry{}, map[NodeAddress]missingEntry{}
	d.unconfirmed, d.loggedKeys, d.writeSignal = map[NodeAddress]bool{}, map[string]bool{}, make(chan struct{}, 1)
	d.snapshot.Store(&Snapshot{})
}

// Snapshot returns the current snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Loaded reports whether the topic has been read: before, a node or a departure that is not
// listed may exist. It does not wait for mu.
func (d *Directory) Loaded() bool { return d.loaded.Load() }

// Apply applies records of the topic. If full is true, they replace all entries, except
// those that are kept after a restore.
func (d *Directory) Apply(records []topic.Record, full bool) {
	d.mu.Lock()
	if full {
		d.replace(records)
		d.loaded.Store(true)
	} else {
		d.applyRecords(records)
	}
	d.publish()
	d.mu.Unlock()
	d.signalWrite()
}

// replace replaces the entries by those of a full list of records. The caller holds mu.
func (d *Directory) replace(records []topic.Record) {
	before, used, restored := d.nodes, d.usable(), d.restored
	if restored {
		d.keepMissing()
	}
	unconfirmed := d.unconfirmed
	d.nodes, d.unconfirmed, d.restored = map[NodeAddress]Entry{}, map[NodeAddress]bool{}, false
	d.departures.loseTopic()
	d.applyRecords(records)
	d.departures.rewrite(d.Self, d.Clock.Now())
	for address, e := range d.nodes {
		stillUnconfirmed := unconfirmed[address] && before[address] == e
		cameBack := restored && e.Open && !used[address]
		if stillUnconfirmed || cameBack {
			d.unconfirmed[address] = true
		}
	}
	d.confirmConnected()
}

// confirmConnected confirms the entries of the nodes that answer on their link, and
// reports whether there were any. The caller holds mu.
func (d *Directory) confirmConnected() bool {
	count := len(d.unconfirmed)
	maps.DeleteFunc(d.unconfirmed, func(node NodeAddress, _ bool) bool { return d.Connected != nil && d.Connected(node) })
	return len(d.unconfirmed) < count
}

// usable returns the nodes whose instance accepts calls, as far as is known. The caller
// holds mu.
func (d *Directory) usable() map[NodeAddress]bool {
	usable := map[NodeAddress]bool{}
	for address, e := range d.missing {
		usable[address] = e.Open
	}
	for address, e := range d.nodes {
		usable[address] = e.Open && !d.unconfirmed[address]
	}
	return usable
}

func (d *Directory) applyRecords(records []topic.Record) {
	for _, r := range records {
		d.applyRecord(r)
	}
}

// HandleRestore must be called when the topic was found restored from a copy, before its
// newest records are applied. Entries that these lack are kept for
// missingEntryRetention, as their nodes may live and write them again. Open entries of
// nodes that were not known as open may be older, and their nodes gone.
func (d *Directory) HandleRestore() {
	d.mu.Lock()
	d.restored = true
	d.mu.Unlock()
}

// keepMissing keeps all confirmed entries but the local one until a record of their key
// is applied. The caller holds mu. Entries that are missing since an earlier restore keep
// their time.
func (d *Directory) keepMissing() {
	until := d.Clock.Now().Add(missingEntryRetention)
	for address, e := range d.nodes {
		if address != d.Self && !d.unconfirmed[address] {
			d.missing[address] = missingEntry{Entry: e, until: until}
		}
	}
}

// recheck removes the missing entries whose time has passed, and confirms entries of
// nodes that have been reached.
func (d *Directory) recheck() {
	d.mu.Lock()
	defer d.mu.Unlock()
	count, now := len(d.missing), d.Clock.Now()
	maps.DeleteFunc(d.missing, func(_ NodeAddress, e missingEntry) bool { return !now.Before(e.until) })
	expired := len(d.missing) < count
	if d.confirmConnected() || expired {
		d.publish()
	}
}

// applyRecord applies one record. A record that cannot be decoded removes the entry of
// its key and does not affect others.
func (d *Directory) applyRecord(r topic.Record) {
	if node, isDeparture := strings.CutPrefix(r.Key, departureKeyPrefix); isDeparture {
		d.applyDeparture(NodeAddress(node), r)
		return
	}
	address := NodeAddress(r.Key)
	delete(d.nodes, address)
	delete(d.missing, address)
	delete(d.unconfirmed, address)
	if len(r.Value) == 0 {
		return
	}
	var e Entry
	if err := json.Unmarshal(r.Value, &e); err != nil || e.Node != address || e.Service == "" {
		d.logUnreadable(r.Key, err)
		return
	}
	d.nodes[address] = e
}

// logUnreadable logs a record that cannot be decoded, once for each key. The caller holds
// mu.
func (d *Directory) logUnreadable(key string, err error) {
	if d.loggedKeys[key] {
		return
	}
	d.loggedKeys[key] = true
	d.Logger.WithField("key", key).WithError(err).Warn("ignoring a directory entry that cannot be decoded")
}

// UpdatePeer sets the entry of another node, as received from that node. It ignores
// incomplete entries and those of the local node.
func (d *Directory) UpdatePeer(e Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures.contradict(e, d.Clock.Now())
	previous, known := d.nodes[e.Node]
	if known && previous == e && !d.unconfirmed[e.Node] || e.Node == "" || e.Node == d.Self || e.Service == "" {
		return
	}
	d.nodes[e.Node] = e
	delete(d.missing, e.Node)
	delete(d.unconfirmed, e.Node)
	d.publish()
}

// Local returns the local entry, or the zero Entry before SetLocal.
func (d *Directory) Local() Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.local == nil {
		return Entry{}
	}
	return *d.local
}

// publish replaces the snapshot and calls OnChange. The caller holds mu. The local
// entry takes precedence over the one in the topic.
func (d *Directory) publish() {
	nodes := maps.Clone(d.nodes)
	for address, e := range d.missing {
		nodes[address] = e.Entry
	}
	if d.local != nil {
		nodes[d.Self] = *d.local
	}
	s := &Snapshot{Nodes: nodes, Services: map[fleet.ServiceName][]Entry{}}
	for _, e := range nodes {
		if e.Open && e.Instance != "" && !d.departures.has(e.Node, e.Incarnation()) && (e.Node == d.Self || !d.unconfirmed[e.Node]) {
			s.Services[e.Service] = append(s.Services[e.Service], e)
		}
	}
	d.snapshot.Store(s)
	if d.OnChange != nil {
		d.OnChange(s)
	}
}
