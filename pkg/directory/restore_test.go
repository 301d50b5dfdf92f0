package directory

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

// nodesOf returns the addresses in the snapshot, sorted.
func nodesOf(d *Directory) []NodeAddress {
	return slices.Sorted(maps.Keys(d.Snapshot().Nodes))
}

// runRestored calls steps in a bubble with a running directory whose topic held the
// local entry and those of a, b and c, and was restored to a state that has only that of
// a, which is older and closed. Writes of the local entry fail.
func runRestored(t *testing.T, steps func(is *is.I, d *Directory)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d, o := newDirectory()
		d.Put = func(context.Context, topic.Record) error { o.writes++; return errUnavailable }
		d.SetLocal(entry("self", true))
		d.Apply([]topic.Record{record(entry("a", true)), record(entry("b", true)), record(entry("c", false)), record(entry("self", true))}, true)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.Run(ctx)
		}()
		d.HandleRestore()
		d.Apply([]topic.Record{record(entry("a", false))}, true)
		steps(is.New(t), d)
		cancel()
		<-done
	})
}

// Guards against nodes that are dropped after a restore although they live: the topic
// lacks their entry only until they write it again. The local entry counts as missing
// meanwhile, so that it is written.
func TestEntriesThatRestoredTopicLacksAreKept(t *testing.T) {
	runRestored(t, func(is *is.I, d *Directory) {
		is.Equal(nodesOf(d), []NodeAddress{"a", "b", "c", "self"})
		is.Equal(d.Snapshot().Nodes["a"], entry("a", false))
		is.Equal(d.Snapshot().Nodes["b"], entry("b", true))
		is.Equal(d.Snapshot().Nodes["c"], entry("c", false))
		is.Equal(len(d.Snapshot().Services["desk"]), 2)
		is.True(d.pendingWrite() != nil)
		time.Sleep(missingEntryRetention - time.Millisecond)
		is.Equal(nodesOf(d), []NodeAddress{"a", "b", "c", "self"})
		time.Sleep(recheckInterval + minWriteInterval)
		is.Equal(nodesOf(d), []NodeAddress{"a", "self"})
		is.Equal(len(d.Snapshot().Services["desk"]), 1)
	})
}

// An entry that its node writes again, or tells as a peer, is in force at once and no
// longer expires.
func TestKeptEntryIsNormalOnceItsNodeConfirmsIt(t *testing.T) {
	runRestored(t, func(is *is.I, d *Directory) {
		time.Sleep(time.Second)
		d.Apply([]topic.Record{record(entry("b", false))}, false)
		d.UpdatePeer(entry("c", true))
		for range 2 {
			is.Equal(nodesOf(d), []NodeAddress{"a", "b", "c", "self"})
			is.Equal(d.Snapshot().Nodes["b"], entry("b", false))
			is.Equal(d.Snapshot().Nodes["c"], entry("c", true))
			time.Sleep(2 * missingEntryRetention)
		}
	})
}

// A record that deletes the key of a kept entry, or that cannot be decoded, removes the
// entry at once.
func TestKeptEntryIsRemovedByARecord(t *testing.T) {
	for name, value := range map[string][]byte{"deleted": nil, "undecodable": []byte("{")} {
		t.Run(name, func(t *testing.T) {
			runRestored(t, func(is *is.I, d *Directory) {
				d.Apply([]topic.Record{{Key: "b", Value: value}}, false)
				is.Equal(nodesOf(d), []NodeAddress{"a", "c", "self"})
			})
		})
	}
}

// A second restore does not extend the time of an entry that nothing has confirmed since
// the first one; an entry that the second one lost is kept for its own time.
func TestSecondRestoreKeepsTheTimeOfMissingEntries(t *testing.T) {
	runRestored(t, func(is *is.I, d *Directory) {
		time.Sleep(time.Second)
		d.Apply([]topic.Record{record(entry("c", true))}, false)
		d.HandleRestore()
		d.Apply(nil, true)
		is.Equal(nodesOf(d), []NodeAddress{"a", "b", "c", "self"})
		time.Sleep(missingEntryRetention - time.Second + recheckInterval + minWriteInterval)
		is.Equal(nodesOf(d), []NodeAddress{"a", "c", "self"})
		is.Equal(d.Snapshot().Nodes["c"], entry("c", true))
		time.Sleep(time.Second)
		is.Equal(nodesOf(d), []NodeAddress{"self"})
	})
}

// The entries of the old era stay until the newest records of the new one are known,
// however long that takes, and only that list keeps missing entries.
func TestOnlyTheListAfterARestoreKeepsEntries(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	fake := &clock.Fake{}
	d.Clock = fake
	d.Apply([]topic.Record{record(entry("a", true)), record(entry("b", true))}, true)
	d.HandleRestore()
	fake.Advance(2 * missingEntryRetention)
	d.recheck()
	is.Equal(nodesOf(d), []NodeAddress{"a", "b"})
	d.Apply([]topic.Record{record(entry("a", true))}, true)
	fake.Advance(missingEntryRetention - 1)
	d.recheck()
	is.Equal(nodesOf(d), []NodeAddress{"a", "b"})
	fake.Advance(1)
	changes := 0
	d.OnChange = func(*Snapshot) { changes++ }
	d.recheck()
	d.recheck()
	is.Equal(nodesOf(d), []NodeAddress{"a"})
	is.Equal(changes, 1)
	d.Apply([]topic.Record{record(entry("c", true))}, true)
	is.Equal(nodesOf(d), []NodeAddress{"c"})
	is.Equal(d.Snapshot().Services, map[fleet.ServiceName][]Entry{"desk": {entry("c", true)}})
}

// openNodes returns the nodes whose instances are used.
func openNodes(d *Directory) []NodeAddress {
	var nodes []NodeAddress
	for _, e := range d.Snapshot().Services["desk"] {
		nodes = append(nodes, e.Node)
	}
	slices.Sort(nodes)
	return nodes
}

// A node closed its entry and left, and the restored topic holds the open one again.
// Guards against calls to a node that is gone. A node that lives confirms its entry.
func TestEntryThatCameBackIsUsedOnceConfirmed(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	records := []topic.Record{record(entry("a", true)), record(entry("b", true)), record(entry("c", true)), record(entry("d", true))}
	d.Apply(records, true)
	d.Apply([]topic.Record{record(entry("b", false)), record(entry("c", false)), {Key: "d"}}, false)
	d.HandleRestore()
	d.Apply(records, true)
	is.Equal(openNodes(d), []NodeAddress{"a"})
	is.Equal(nodesOf(d), []NodeAddress{"a", "b", "c", "d"})
	d.Apply(records, true)
	is.Equal(openNodes(d), []NodeAddress{"a"})
	d.UpdatePeer(entry("b", true))
	d.Apply([]topic.Record{record(entry("c", true))}, false)
	is.Equal(openNodes(d), []NodeAddress{"a", "b", "c"})
	d.Apply(records, true)
	is.Equal(openNodes(d), []NodeAddress{"a", "b", "c"})
}

// After a restart a node knows nothing of before, and uses what the topic holds.
func TestFirstListNeedsNoConfirmation(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	d.Apply([]topic.Record{record(entry("a", true)), record(entry("b", false))}, true)
	is.Equal(openNodes(d), []NodeAddress{"a"})
}

// The copy holds an older entry of each instance of a service. Guards against a service
// without instances until their nodes have confirmed them.
func TestOpenEntriesStayInUseAfterARestore(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	var current, older []topic.Record
	for _, node := range []NodeAddress{"a", "b", "c"} {
		e := entry(node, true)
		current = append(current, record(e))
		e.Slots++
		older = append(older, record(e))
	}
	d.Apply(current, true)
	d.HandleRestore()
	d.Apply(older, true)
	is.Equal(openNodes(d), []NodeAddress{"a", "b", "c"})
}

// Guards against an entry that is used, or unused, only because the store was restored
// twice: one that nobody confirmed stays unused, one that was kept stays in use.
func TestSecondRestoreChangesNoUse(t *testing.T) {
	is := is.New(t)
	a, b, c := record(entry("a", true)), record(entry("b", true)), record(entry("c", true))
	d, _ := newDirectory()
	d.Apply([]topic.Record{a, record(entry("b", false)), c}, true)
	d.HandleRestore()
	d.Apply([]topic.Record{a, b}, true)
	is.Equal(openNodes(d), []NodeAddress{"a", "c"})
	d.HandleRestore()
	d.Apply([]topic.Record{a, c}, true)
	is.Equal(openNodes(d), []NodeAddress{"a", "c"})
}

// No status of a living node arrives, and its entry is the same as in the copy. Guards
// against an instance that stays unused although its node answers.
func TestEntryOfAConnectedNodeIsUsed(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	connected := map[NodeAddress]bool{"b": true}
	d.Connected = func(node NodeAddress) bool { return connected[node] }
	d.Apply([]topic.Record{record(entry("a", true))}, true)
	d.HandleRestore()
	d.Apply([]topic.Record{record(entry("a", true)), record(entry("b", true)), record(entry("c", true))}, true)
	is.Equal(openNodes(d), []NodeAddress{"a", "b"})
	d.recheck()
	is.Equal(openNodes(d), []NodeAddress{"a", "b"})
	connected["c"] = true
	d.recheck()
	is.Equal(openNodes(d), []NodeAddress{"a", "b", "c"})
}
