package directory

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

const (
	// departureKeyPrefix precedes the address of the node in the key of a departure. The
	// record is apart from the node's entry, so that a late write of an older entry does
	// not replace it.
	departureKeyPrefix = "departed/"
	// maxWriteDelay bounds the random delay before a node writes the departure of another
	// node's instance, so that one of many writes it.
	maxWriteDelay = 500 * time.Millisecond
)

// departureRecord is the value of a departure in the topic.
type departureRecord struct {
	Instance    fleet.InstanceName `json:"instance"`
	StartUnixMs int64              `json:"startUnixMs,omitempty"`
}

// departures holds the last departure of each node's instance: the incarnation that has
// announced its shutdown. It takes no more calls, whatever its node says after a restart.
// The zero value is empty. Directory.mu guards it.
type departures struct {
	latest map[NodeAddress]fleet.Incarnation
	// unwritten holds the nodes whose latest departure the topic lacks, with the time from
	// which this node writes it; the zero time means that this node leaves it to others.
	unwritten map[NodeAddress]time.Time
	// local is the last departure that this node has announced, or nil.
	local *fleet.Incarnation
}

// has reports whether an incarnation has departed.
func (s *departures) has(node NodeAddress, i fleet.Incarnation) bool {
	latest, known := s.latest[node]
	return known && latest == i
}

// isWritten reports whether the topic holds a departure.
func (s *departures) isWritten(node NodeAddress, i fleet.Incarnation) bool {
	_, unwritten := s.unwritten[node]
	return s.has(node, i) && !unwritten
}

// learn adds a departure that the topic may lack, and reports whether it was new.
func (s *departures) learn(node NodeAddress, i fleet.Incarnation, writeAt time.Time) bool {
	if s.has(node, i) {
		return false
	}
	if s.latest == nil {
		s.latest = map[NodeAddress]fleet.Incarnation{}
	}
	if s.unwritten == nil {
		s.unwritten = map[NodeAddress]time.Time{}
	}
	s.latest[node], s.unwritten[node] = i, writeAt
	return true
}

// confirm applies a departure that the topic holds.
func (s *departures) confirm(node NodeAddress, i fleet.Incarnation) {
	s.learn(node, i, time.Time{})
	delete(s.unwritten, node)
}

// loseTopic marks all departures as unwritten, before a full list of records is applied.
func (s *departures) loseTopic() {
	for node := range s.latest {
		if _, unwritten := s.unwritten[node]; !unwritten {
			s.unwritten[node] = time.Time{}
		}
	}
}

// rewrite makes this node write the departure of a node's instance if the topic has lost it.
func (s *departures) rewrite(node NodeAddress, now time.Time) {
	if writeAt, unwritten := s.unwritten[node]; unwritten && writeAt.IsZero() {
		s.unwritten[node] = now
	}
}

// keep makes this node write a departure from writeAt on, if the topic lacks it then and no other
// time is set.
func (s *departures) keep(node NodeAddress, i fleet.Incarnation, writeAt time.Time) {
	if at, unwritten := s.unwritten[node]; unwritten && at.IsZero() && s.has(node, i) {
		s.unwritten[node] = writeAt
	}
}

// contradict makes this node write a departure that the topic lacks if the entry of the
// node says that its instance accepts calls: the node has restarted and has forgotten.
func (s *departures) contradict(e Entry, now time.Time) {
	if e.Open {
		s.keep(e.Node, e.Incarnation(), now.Add(rand.N(maxWriteDelay)))
	}
}

// due returns the departures that this node must write now.
func (s *departures) due(now time.Time) map[NodeAddress]fleet.Incarnation {
	due := map[NodeAddress]fleet.Incarnation{}
	for node, writeAt := range s.unwritten {
		if !writeAt.IsZero() && !now.Before(writeAt) {
			due[node] = s.latest[node]
		}
	}
	return due
}

// applyDeparture applies the record of a departure. If the topic holds another departure
// of the local instance than the last one, an earlier write took effect late, and the last
// one is written again. The caller holds mu.
func (d *Directory) applyDeparture(node NodeAddress, r topic.Record) {
	if len(r.Value) == 0 {
		return
	}
	var record departureRecord
	if err := json.Unmarshal(r.Value, &record); err != nil || record.Instance == "" {
		d.logUnreadable(r.Key, err)
		return
	}
	i := fleet.Incarnation{Instance: record.Instance, StartUnixMs: record.StartUnixMs}
	d.departures.confirm(node, i)
	if local := d.departures.local; node == d.Self && local != nil && *local != i {
		d.departures.learn(node, *local, d.Clock.Now())
	}
}

// AnnounceDeparture notes that the local instance has announced its shutdown. Run writes
// it to the topic.
func (d *Directory) AnnounceDeparture(i fleet.Incarnation) {
	d.announceDeparture(i, d.Clock.Now())
	d.signalWrite()
}

// RecordDeparture notes that the local instance has announced its shutdown, and writes that
// to the topic before it returns, unless the topic holds it. It returns the error of Put;
// Run goes on trying then.
func (d *Directory) RecordDeparture(ctx context.Context, i fleet.Incarnation) error {
	if d.announceDeparture(i, d.Clock.Now().Add(writeTimeout)) {
		return nil
	}
	return d.writeDeparture(ctx, d.Self, i)
}

// announceDeparture notes a departure of the local instance, which Run writes from writeAt
// on, and reports whether the topic holds it.
func (d *Directory) announceDeparture(i fleet.Incarnation, writeAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures.local = &i
	if d.departures.learn(d.Self, i, writeAt) {
		d.publish()
	}
	return d.departures.isWritten(d.Self, i)
}

// NoteDeparture notes that a peer says that its instance has announced its shutdown. The
// peer writes that to the topic itself. This node does if the topic lacks it and the peer
// says otherwise later.
func (d *Directory) NoteDeparture(node NodeAddress, i fleet.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if node != d.Self && node != "" && d.departures.learn(node, i, time.Time{}) {
		d.publish()
	}
}

// KeepDeparture makes this node write a departure that NoteDeparture has noted, unless the
// topic holds it within a write of the peer itself: its process may have ended before.
func (d *Directory) KeepDeparture(node NodeAddress, i fleet.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures.keep(node, i, d.Clock.Now().Add(writeTimeout+rand.N(maxWriteDelay)))
}

// HasDeparted reports whether an incarnation of the local instance has announced its
// shutdown, as far as the topic and this process know, and whether the topic has been read.
func (d *Directory) HasDeparted(i fleet.Incarnation) (departed, read bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	departed = d.departures.has(d.Self, i)
	return departed, departed || d.loaded.Load()
}

// writeDueDepartures writes the departures that the topic lacks and whose time has come.
func (d *Directory) writeDueDepartures(ctx context.Context) {
	d.mu.Lock()
	due := d.departures.due(d.Clock.Now())
	d.mu.Unlock()
	upToDate := d.UpToDate == nil || d.UpToDate()
	for node, i := range due {
		if node != d.Self && !upToDate {
			continue
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := d.writeDeparture(writeCtx, node, i)
		cancel()
		if err != nil {
			return // logged; the store would not take the others either, which stay due
		}
	}
}

// writeDeparture writes a departure to the topic. It returns and logs the error of Put.
func (d *Directory) writeDeparture(ctx context.Context, node NodeAddress, i fleet.Incarnation) error {
	logger := d.Logger.WithField("node", node).WithField("id", i.Instance).WithField("startUnixMs", i.StartUnixMs)
	value, err := json.Marshal(departureRecord(i))
	if err != nil {
		logger.WithError(err).Error("cannot encode a departure")
		return err
	}
	if err := d.Put(ctx, topic.Record{Key: departureKeyPrefix + string(node), Value: value}); err != nil {
		logger.WithError(err).Warn("cannot write a departure; retrying")
		return err
	}
	logger.Info("departure written")
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.departures.has(node, i) {
		delete(d.departures.unwritten, node)
	}
	return nil
}
