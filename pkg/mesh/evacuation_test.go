package mesh

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

// newEvacuationNode returns a node in data centre a that does not run.
func newEvacuationNode(bound time.Duration) *Node {
	n := New(&Settings{
		PeerAddress: "127.0.0.1:1", InstanceAddress: "127.0.0.1:1", Service: "desk", DataCentre: "a", MaxRevocationDelay: 5 * time.Second, MaxEvacuationDelay: bound,
	}, &Platform{EvacuationPrefix: "out/"}, clock.System{}, func() time.Duration { return 0 }, logs.Discard())
	return n
}

func openInstance(n *Node) {
	n.heartbeats.HasDeparted = nil
	n.heartbeats.HandleHeartbeat(Heartbeat{Instance: "i-1", Service: "desk", Slots: 5, Sequence: 1})
}

// Guards against a gate that opens before the evacuations were read, but only if they have a
// bound; and against an entry that says open while the gate is closed.
func TestGateFollowsEvacuations(t *testing.T) {
	evacuate, takeBack := topic.Record{Key: "out/a", Value: []byte("{}")}, topic.Record{Key: "out/a"}
	other := topic.Record{Key: "out/b", Value: []byte("{}")}
	for name, bound := range map[string]time.Duration{"bounded": 5 * time.Second, "unbounded": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newEvacuationNode(bound)
			openInstance(n)
			isOpen := func() bool {
				is.Equal(n.gate.IsOpen(), n.directory.Local().Open)
				return n.gate.IsOpen()
			}
			is.Equal(isOpen(), bound == 0)
			n.applyConfig([]topic.Record{evacuate, other}, true)
			is.True(!isOpen())
			is.True(n.IsEvacuated("b"))
			n.applyConfig([]topic.Record{takeBack}, false)
			is.True(isOpen())
			n.applyConfig([]topic.Record{evacuate}, false)
			is.True(!isOpen())
			n.onConfigRestored()
			n.applyConfig(nil, true)
			is.True(!isOpen())
			n.applyConfig(nil, true)
			is.True(isOpen())
		})
	}
}

// Guards against a gauge that stays up after an evacuation was taken back.
func TestEvacuatedGauge(t *testing.T) {
	is := is.New(t)
	n := newEvacuationNode(0)
	n.applyConfig([]topic.Record{{Key: "out/a", Value: []byte("{}")}, {Key: "out/b", Value: []byte("{}")}}, true)
	n.applyConfig([]topic.Record{{Key: "out/b"}}, false)
	n.evacuations.updateGauges(n.meter)
	is.NoErr(n.meter.Close())
	recorder := httptest.NewRecorder()
	n.meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(recorder.Body.String(), `plantainramp_evacuated{data_centre="a"} 1`))
	is.True(strings.Contains(recorder.Body.String(), `plantainramp_evacuated{data_centre="b"} 0`))
}

// The gates of an evacuated data centre close one by one. Guards against nodes that ask each
// other for the topics of the store meanwhile, and against a data centre without readers.
func TestReadersOfEvacuatedDataCentre(t *testing.T) {
	is := is.New(t)
	n := newEvacuationNode(0)
	s := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{
		"1": {Node: "1", DataCentre: "a", Open: true}, "2": {Node: "2", DataCentre: "a", Open: true}, "3": {Node: "3", DataCentre: "a", Open: true},
	}}
	before := n.readers(s, "a")
	is.Equal(len(before), 3)
	n.applyConfig([]topic.Record{{Key: "out/a", Value: []byte("{}")}}, true)
	for address, e := range s.Nodes {
		e.Open = false
		s.Nodes[address] = e
		is.Equal(n.readers(s, "a"), before)
	}
	n.applyConfig([]topic.Record{{Key: "out/a"}}, false)
	is.Equal(n.readers(s, "a"), before)
}

// Guards against a node that stood still across an evacuation and runs calls before it has
// asked the store again, and against one that counts a short pause.
func TestPauseWatch(t *testing.T) {
	is := is.New(t)
	const maxPause = time.Second
	w := &pauseWatch{limit: maxPause}
	is.True(w.isOver(10*time.Second, 0))
	for _, at := range []time.Duration{10 * time.Second, 10*time.Second + checkInterval, 11 * time.Second} {
		is.True(!w.check(at))
		is.True(w.isOver(at+maxPause, 9*time.Second))
	}
	resumed := 20 * time.Second
	is.True(!w.isOver(resumed, 11*time.Second))
	is.True(w.check(resumed))
	is.True(!w.check(resumed + checkInterval))
	is.True(!w.isOver(resumed+checkInterval, resumed-time.Millisecond))
	is.True(w.isOver(resumed+checkInterval, resumed+time.Millisecond))
}
