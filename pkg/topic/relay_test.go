package topic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

// simulatedStore is a topic in virtual time. writtenAt[i] is when the record with offset i
// was written.
type simulatedStore struct {
	now       time.Duration
	writtenAt []time.Duration
}

// simulatedNode follows the topic of a simulatedStore. Its uptime differs from the time of
// the store by a constant.
type simulatedNode struct {
	follower *Follower
	store    *simulatedStore
	skew     time.Duration
	position Position
	// applied is the number of records that were applied.
	applied int
}

func newSimulatedNode(s *simulatedStore, skew time.Duration) *simulatedNode {
	n := &simulatedNode{store: s, skew: skew}
	n.follower = &Follower{
		Clock: &clock.Fake{}, Uptime: func() time.Duration { return s.now + skew }, Logger: logs.Discard(), PollWait: 2 * time.Second,
		Apply: func(records []Record, _ bool) {
			for _, r := range records {
				var offset int
				if _, err := fmt.Sscan(string(r.Value), &offset); err == nil {
					n.applied = max(n.applied, offset+1)
				}
			}
		},
	}
	return n
}

func recordsBetween(from, to int) []Record {
	var records []Record
	for offset := from; offset < to; offset++ {
		records = append(records, Record{Key: "k", Value: fmt.Append(nil, offset)})
	}
	return records
}

// apply applies a result as Follower.Run does.
func (n *simulatedNode) apply(result readResult, sentAt time.Duration) {
	n.follower.applyBatch(result.records)
	n.follower.remember(result, n.position != Position{}, sentAt)
	n.position = result.end
	n.follower.recordSuccess(result, sentAt)
}

// readStore reads the store, which answers after a delay with what it holds in between.
func (n *simulatedNode) readStore(there, back time.Duration) {
	sentAt := n.follower.Uptime()
	n.store.now += there
	end := len(n.store.writtenAt)
	n.store.now += back
	n.apply(readResult{records: recordsBetween(int(n.position.Offset), end), end: Position{Era: 1, Offset: Offset(end)}}, sentAt)
}

// ask asks another node, which answers after a delay.
func (n *simulatedNode) ask(other *simulatedNode, there, back time.Duration) bool {
	sentAt := n.follower.Uptime()
	n.store.now += there
	answer, _ := other.follower.Answer(context.Background(), n.position, 0)
	n.store.now += back
	if answer == nil {
		return false
	}
	n.apply(readResult{records: answer.Records, end: answer.End, relayed: answer}, sentAt)
	return true
}

// check reports whether the node has applied all that was written before the time for
// which it claims so.
func (n *simulatedNode) check(t *rapid.T, name string) {
	age, known := n.follower.Age()
	if !known {
		return
	}
	if age < 0 {
		t.Fatalf("%s: the age is %v", name, age)
	}
	for offset, at := range n.store.writtenAt {
		if at < n.store.now-age && offset >= n.applied {
			t.Fatalf("%s: record %d of %v is not applied at %v with an age of %v", name, offset, at, n.store.now, age)
		}
	}
}

// Nodes read the store or ask each other in chains, with delays, and lag behind. Guards
// against an age that is less than the lag: keys would be trusted too long.
func TestRelayedAgeIsNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &simulatedStore{}
		var nodes []*simulatedNode
		for i := range 4 {
			skew := time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, fmt.Sprint("skew", i))) * time.Millisecond
			nodes = append(nodes, newSimulatedNode(store, skew))
		}
		delay := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3000).Draw(t, "delayMs")) * time.Millisecond
		})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.SampledFrom(nodes).Draw(t, "node")
			switch rapid.SampledFrom([]string{"write", "read", "ask", "ask", "lose", "wait"}).Draw(t, "step") {
			case "write":
				store.writtenAt = append(store.writtenAt, store.now)
			case "read":
				n.readStore(delay.Draw(t, "there"), delay.Draw(t, "back"))
			case "ask":
				if n.position != (Position{}) {
					n.ask(rapid.SampledFrom(nodes).Draw(t, "peer"), delay.Draw(t, "there"), delay.Draw(t, "back"))
				}
			case "lose":
				n.follower.history.lose()
			case "wait":
				store.now += delay.Draw(t, "wait")
			}
			for i, n := range nodes {
				n.check(t, fmt.Sprint("node ", i))
			}
		}
	})
}

// A peer answers only what it knows: nothing of another era, nothing that it has dropped,
// nothing while the store does not answer.
func TestAnswerOfWhatIsNotKnown(t *testing.T) {
	is := is.New(t)
	store := &simulatedStore{writtenAt: make([]time.Duration, 10)}
	n := newSimulatedNode(store, 0)
	ask := func(era Era, from Offset) *Relayed {
		r, _ := n.follower.Answer(t.Context(), Position{Era: era, Offset: from}, 0)
		return r
	}
	follows := func() bool {
		_, follows := n.follower.Answer(t.Context(), Position{Era: 1, Offset: 3}, 0)
		return follows
	}
	is.True(ask(1, 0) == nil)
	is.True(!follows())
	n.readStore(0, 0)
	is.True(ask(1, 3) == nil)
	is.True(follows())
	is.True(ask(2, 10) == nil)
	is.Equal(ask(1, 10).End.Offset, Offset(10))
	is.Equal(ask(1, 12).End.Offset, Offset(12))
	store.writtenAt = append(store.writtenAt, 0, 0)
	n.readStore(0, 0)
	is.Equal(len(ask(1, 10).Records), 2)
	is.Equal(ask(1, 10).End.Offset, Offset(12))
	n.follower.history.lose()
	is.True(ask(1, 10) == nil)
	is.True(!follows())
}

// The batches that a follower keeps are bounded in number and bytes.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	h := &history{}
	h.reset(Position{Offset: 1}, 0)
	for i := range 3 * maxRetainedBatches {
		h.add(recordsBetween(i, i+1), Position{Offset: Offset(i + 2)}, 0)
	}
	is.Equal(len(h.batches), maxRetainedBatches)
	h.add([]Record{{Value: make([]byte, maxRetainedBytes+1)}}, Position{Offset: 10_000}, 0)
	is.Equal(len(h.batches), 0)
	r, _ := h.since(Position{Offset: 9000}, 0)
	is.True(r == nil)
}

// relayedSource counts the reads of the store by a follower whose relay answers with a given
// result. The follower is run until it has read or asked the given number of times.
type relayedSource struct {
	reads []time.Duration
	asks  int
	// mostAsksInARow is the number of questions without a read between.
	mostAsksInARow int
}

func runRelayed(t *testing.T, steps int, answer func(from Position) *Relayed) *relayedSource {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var s relayedSource
	var uptime time.Duration
	asksInARow := 0
	step := func() {
		uptime += time.Second
		if steps--; steps <= 0 {
			cancel()
		}
	}
	f := &Follower{
		Clock: clock.System{}, Uptime: func() time.Duration { return uptime }, Logger: logs.Discard(), PollWait: 2 * time.Second, PollMargin: time.Second,
		Apply: func([]Record, bool) {},
		Source: Source{
			Newest: func(context.Context) ([]Record, Position, error) { return nil, Position{Offset: 5}, nil },
			Read: func(_ context.Context, from Position, wait time.Duration) ([]Record, Position, error) {
				s.reads = append(s.reads, wait)
				asksInARow = 0
				step()
				return nil, from, nil
			},
		},
		Relay: func(_ context.Context, from Position, _ time.Duration) *Relayed {
			s.asks++
			asksInARow++
			s.mostAsksInARow = max(s.mostAsksInARow, asksInARow)
			step()
			return answer(from)
		},
	}
	f.Run(ctx)
	return &s
}

// Guards against a node that reads the store although a peer answers.
func TestFollowerWithRelayDoesNotReadTheStore(t *testing.T) {
	is := is.New(t)
	s := runRelayed(t, 20, func(from Position) *Relayed { return &Relayed{End: from} })
	is.Equal(len(s.reads), 0)
	is.Equal(s.asks, 20)
}

// The peer answers, but has lost the store unnoticed. Guards against a node that goes on
// asking it: the store must be read, without a wait, before the age exceeds the bound by
// more than one question.
func TestStaleRelayIsNotTrusted(t *testing.T) {
	is := is.New(t)
	s := runRelayed(t, 40, func(from Position) *Relayed { return &Relayed{End: from, Confirmed: -time.Hour} })
	// Each question takes a second, and the age may be 2*PollWait and the margin at its start.
	is.Equal(s.mostAsksInARow, 5)
	for _, wait := range s.reads {
		is.Equal(wait, time.Duration(0))
	}
}

// Guards against a peer whose answer would move the position back or into another era.
func TestAnswerThatGoesBackIsIgnored(t *testing.T) {
	for name, end := range map[string]Position{"back": {Offset: 4}, "era": {Era: 1, Offset: 9}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := runRelayed(t, 10, func(Position) *Relayed { return &Relayed{End: end} })
			is.True(len(s.reads) >= 4)
		})
	}
}
