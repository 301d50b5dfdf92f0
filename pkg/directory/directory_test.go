package directory

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

func record(e Entry) topic.Record {
	value, _ := json.Marshal(e)
	return topic.Record{Key: string(e.Node), Value: value}
}

func entry(node NodeAddress, open bool) Entry {
	return Entry{Node: node, Instance: "i-" + fleet.InstanceName(node), Service: "desk", Slots: 4, Open: open}
}

// immediateTopic applies each write to the directory at once.
type immediateTopic struct {
	mu     sync.Mutex
	writes int
	d      *Directory
}

func (o *immediateTopic) put(_ context.Context, r topic.Record) error {
	o.mu.Lock()
	o.writes++
	o.mu.Unlock()
	o.d.Apply([]topic.Record{r}, false)
	return nil
}

func newDirectory() (*Directory, *immediateTopic) {
	o := &immediateTopic{}
	d := &Directory{Self: "self", Clock: clock.System{}, Logger: logs.Discard(), Put: o.put}
	d.Init()
	o.d = d
	return d, o
}

func TestApplyRecords(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	d.Apply([]topic.Record{
		record(entry("a", true)), record(entry("b", false)), {Key: "c", Value: []byte("{")}, {Key: "d", Value: []byte(`{"node":"x","service":"desk"}`)},
	}, true)
	is.Equal(len(d.Snapshot().Services["desk"]), 1)
	is.Equal(len(d.Snapshot().Nodes), 2)
	d.Apply([]topic.Record{{Key: "a"}, record(entry("b", true))}, false)
	is.Equal(d.Snapshot().Services["desk"][0].Node, NodeAddress("b"))
	d.Apply([]topic.Record{record(entry("e", true))}, true)
	is.Equal(len(d.Snapshot().Nodes), 1)
}

// When an earlier write of the local entry takes effect late and replaces the newer
// entry in the topic, the newer one must be written again.
func TestStaleLocalEntryIsRewritten(t *testing.T) {
	is := is.New(t)
	d, o := newDirectory()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.Run(ctx)
	d.SetLocal(entry("self", true))
	awaitWritten := func() bool {
		for range 200 {
			if d.pendingWrite() == nil {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	is.True(awaitWritten())
	d.Apply([]topic.Record{record(entry("self", false))}, false)
	is.True(awaitWritten())
	o.mu.Lock()
	is.Equal(o.writes, 2)
	o.mu.Unlock()
	is.True(d.Snapshot().Nodes["self"].Open)
}

// When the store has lost the local entry, a full list of records lacks it. The local
// instance must stay in the snapshot, and its entry must be written again.
func TestMissingLocalEntryIsRewritten(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory()
	d.SetLocal(entry("self", true))
	d.Apply(nil, true)
	is.Equal(len(d.Snapshot().Services["desk"]), 1)
	is.True(d.pendingWrite() != nil)
}
