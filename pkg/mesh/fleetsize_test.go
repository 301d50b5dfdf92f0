package mesh

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

var errStoreDown = errors.New("store down")

// fleetTopic holds the recorded fleet size.
type fleetTopic struct {
	records []topic.Record
	err     error
	writes  int
}

func (f *fleetTopic) newest(context.Context) ([]topic.Record, topic.Position, error) {
	return f.records, topic.Position{}, f.err
}

func (f *fleetTopic) put(_ context.Context, r topic.Record) error {
	if f.err != nil {
		return f.err
	}
	f.records = []topic.Record{r}
	f.writes++
	return nil
}

// newLimitedNode returns a node that does not run, with a limited organisation.
func newLimitedNode(f *fleetTopic) *Node {
	n := newFuzzNode()
	n.platform.FleetSource, n.platform.PutFleetRecord = topic.Source{Newest: f.newest}, f.put
	b := routing.NewBuilder(1, routing.Limits{})
	b.AddOrganisation(&routing.Organisation{ID: "dakar", Rate: 60, Burst: 60}, []string{"key"})
	n.activate(b.Build())
	return n
}

func directoryOf(nodes ...directory.NodeAddress) []topic.Record {
	var records []topic.Record
	for _, node := range nodes {
		value := `{"node":"` + string(node) + `","instance":"i","service":"desk","dataCentre":"a","slots":5,"open":true}`
		records = append(records, topic.Record{Key: string(node), Value: []byte(value)})
	}
	return records
}

// The directory has not been read since the start. Guards against a node that takes itself
// for the whole fleet, before its instance has sent a heartbeat and after.
func TestNodeWithoutDirectoryHasNoShareOfLimits(t *testing.T) {
	is := is.New(t)
	n := newLimitedNode(&fleetTopic{err: errStoreDown})
	n.checkFleetSize(t.Context())
	is.Equal(n.fleetSize(), 0)
	is.True(!n.rateLimiter.SharesKnown())
	n.directory.SetLocal(directory.Entry{Node: "127.0.0.1:1", Instance: "i-1", Service: "desk", Open: true})
	n.directory.UpdatePeer(directory.Entry{Node: "b", Instance: "i-2", Service: "desk", Open: true})
	is.Equal(n.fleetSize(), 0)
	is.True(!n.rateLimiter.SharesKnown())
	n.applyDirectory(directoryOf("b", "c"), true)
	is.Equal(n.fleetSize(), 3)
	is.True(n.rateLimiter.SharesKnown())
}

// The partition of the directory is down at a start, and that of the recorded fleet size is
// not. Guards against a node that serves no organisation until the directory can be read.
func TestRecordedFleetSizeIsUsedWithoutDirectory(t *testing.T) {
	is := is.New(t)
	n := newLimitedNode(&fleetTopic{records: []topic.Record{{Key: fleetSizeKey, Value: []byte("12")}}})
	n.checkFleetSize(t.Context())
	is.Equal(n.fleetSize(), 12)
	is.True(n.rateLimiter.SharesKnown())
}

// Guards against a record that is not kept, and against one that cannot be read and is taken
// for a size.
func TestFleetSizeIsRecorded(t *testing.T) {
	is := is.New(t)
	f := &fleetTopic{records: []topic.Record{{Key: fleetSizeKey, Value: []byte("many")}}}
	n := newLimitedNode(f)
	n.checkFleetSize(t.Context())
	is.Equal(n.fleetSize(), 0)
	self := directory.NodeAddress(n.settings.PeerAddress)
	n.applyDirectory(directoryOf(self, "b", "c"), true)
	n.checkFleetSize(t.Context())
	is.Equal(string(f.records[0].Value), "3")
	n.checkFleetSize(t.Context())
	is.Equal(f.writes, 1)
	// A node with a closed instance counts, and does not keep the record.
	closed := topic.Record{Key: "d", Value: []byte(`{"node":"d","instance":"i","service":"desk","dataCentre":"a"}`)}
	n.applyDirectory([]topic.Record{closed}, false)
	n.checkFleetSize(t.Context())
	is.Equal(string(f.records[0].Value), "4")
	n.applyDirectory([]topic.Record{{Key: "d"}}, false)
	n.checkFleetSize(t.Context())
	is.Equal(string(f.records[0].Value), "4")
	is.Equal(f.writes, 2)
}

// Guards against limits of an older configuration that are applied after those of a newer
// one, as the directory changes at the same time; and against a configuration that is active
// before its limits are.
func TestLimitsAreThoseOfTheActiveConfiguration(t *testing.T) {
	is := is.New(t)
	n := newLimitedNode(&fleetTopic{})
	n.applyDirectory(directoryOf("b"), true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2000 {
			n.updateShares()
		}
	}()
	for version := routing.Version(2); version < 2000; version++ {
		b := routing.NewBuilder(version, routing.Limits{})
		o := fleet.OrganisationID("thies")
		if version%2 == 0 {
			o = "dakar"
		}
		b.AddOrganisation(&routing.Organisation{ID: o, Rate: 1, Burst: 1}, []string{"key"})
		n.activate(b.Build())
		// An organisation that has a limit has a bucket, which is empty at first.
		is.True(!n.rateLimiter.Take(o))
	}
	<-done
}
