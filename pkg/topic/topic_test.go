package topic

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

// scriptedReads returns a given result for each read of a topic, in order. It
// closes done when a read finds none left, and blocks that read.
type scriptedReads struct {
	mu      sync.Mutex
	results []string
	done    chan struct{}
}

func (s *scriptedReads) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.results) == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
		return "wait"
	}
	result := s.results[0]
	s.results = s.results[1:]
	return result
}

func (s *scriptedReads) source() Source {
	respond := func(ctx context.Context, call string) ([]Record, error) {
		switch result := s.next(); result {
		case "wait":
			<-ctx.Done()
			return nil, ctx.Err()
		case "gone":
			return nil, &TruncatedError{}
		case "fails":
			return nil, errors.ErrUnsupported
		case "":
			return nil, nil
		default:
			return []Record{{Key: call, Value: []byte(result)}}, nil
		}
	}
	return Source{
		Newest: func(ctx context.Context) ([]Record, Position, error) {
			records, err := respond(ctx, "newest")
			return records, Position{Offset: 10}, err
		},
		Read: func(ctx context.Context, from Position, _ time.Duration) ([]Record, Position, error) {
			records, err := respond(ctx, "read")
			return records, Position{Offset: from.Offset + Offset(len(records))}, err
		},
	}
}

func TestFollowerAppliesRecords(t *testing.T) {
	cases := []struct {
		name  string
		steps []string
		want  []string
	}{
		{"newest, then later records", []string{"a", "b", "", "c"}, []string{"newest a", "read b", "read c"}},
		{"records removed", []string{"a", "gone", "b", "c"}, []string{"newest a", "newest b", "read c"}},
		{"store unavailable", []string{"fails", "a", "fails", "b"}, []string{"newest a", "read b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedReads{results: c.steps, done: make(chan struct{})}
			var got []string
			lost, regained := 0, 0
			ctx, cancel := context.WithCancel(t.Context())
			f := &Follower{
				Source: s.source(), Clock: clock.System{}, Uptime: func() time.Duration { return time.Second }, Logger: logs.Discard(),
				PollWait: 10 * time.Second, PollMargin: time.Second, OnFailure: func() { lost++ }, OnRecovery: func() { regained++ },
				Apply: func(records []Record, _ bool) {
					for _, r := range records {
						got = append(got, r.Key+" "+string(r.Value))
					}
				},
			}
			go func() { <-s.done; cancel() }()
			f.Run(ctx)
			is.Equal(got, c.want)
			is.Equal(lost, regained)
		})
	}
}

// The age counts from the time at which a read was sent, not from its response: the
// machine may be suspended in between, and the response is stale when it arrives.
func TestAgeCountsFromSendingOfRead(t *testing.T) {
	is := is.New(t)
	now := 100 * time.Second
	read := make(chan struct{})
	f := &Follower{
		Clock: clock.System{}, Uptime: func() time.Duration { return now }, Logger: logs.Discard(), PollWait: time.Second, PollMargin: time.Second,
		Apply: func([]Record, bool) {},
	}
	_, known := f.Age()
	is.True(!known)
	ctx, cancel := context.WithCancel(t.Context())
	f.Source = Source{
		Newest: func(context.Context) ([]Record, Position, error) {
			now += 3 * time.Second
			return nil, Position{}, nil
		},
		Read: func(ctx context.Context, _ Position, _ time.Duration) ([]Record, Position, error) {
			close(read)
			<-ctx.Done()
			return nil, Position{}, ctx.Err()
		},
	}
	go f.Run(ctx)
	<-read
	age, known := f.Age()
	cancel()
	is.True(known)
	is.Equal(age, 3*time.Second)
}

// restorableLog is a log of one key. It is restored from a copy before the second read.
type restorableLog struct {
	era    Era
	values []string
	// restored is what the log holds once it is restored.
	restored []string
	// positions holds the position of each read. onRead is called after each one.
	positions []Position
	onRead    func(from Position)
}

func (l *restorableLog) end() Position {
	return Position{Era: l.era, Offset: Offset(len(l.values))}
}

func (l *restorableLog) records(from Offset) []Record {
	var records []Record
	for _, value := range l.values[from:] {
		records = append(records, Record{Key: "k", Value: []byte(value)})
	}
	return records
}

func (l *restorableLog) newest(context.Context) ([]Record, Position, error) {
	return l.records(l.end().Offset - 1), l.end(), nil
}

func (l *restorableLog) read(_ context.Context, from Position, _ time.Duration) ([]Record, Position, error) {
	l.positions = append(l.positions, from)
	defer l.onRead(from)
	if len(l.positions) == 2 {
		l.era, l.values = l.era+1, l.restored
	}
	if from.Era != l.era {
		return nil, Position{}, &RestoredError{From: from.Era, Now: l.era}
	}
	return l.records(from.Offset), l.end(), nil
}

// Guards against a follower that reads on at an offset of an earlier era, where other
// records stand now or none yet.
func TestRestoredLogIsReadAnew(t *testing.T) {
	for _, restored := range [][]string{{"a"}, {"a", "d"}, {"a", "d", "e"}, {"a", "d", "e", "f"}} {
		t.Run(restored[len(restored)-1], func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			log := &restorableLog{values: []string{"a", "b", "c"}, restored: restored, onRead: func(from Position) {
				if from.Era > 0 {
					cancel()
				}
			}}
			applied, restores := "", 0
			f := &Follower{
				Source: Source{Newest: log.newest, Read: log.read}, Clock: clock.System{}, Uptime: func() time.Duration { return time.Second },
				Logger: logs.Discard(), PollWait: time.Second, PollMargin: time.Second, OnRestore: func() { restores++ },
				Apply: func(records []Record, _ bool) { applied = string(records[len(records)-1].Value) },
			}
			f.Run(ctx)
			is.Equal(log.positions, []Position{{Offset: 3}, {Offset: 3}, {Era: 1, Offset: Offset(len(restored))}})
			is.Equal(applied, restored[len(restored)-1])
			is.Equal(restores, 1)
		})
	}
}

// The history of the log is removed, and the log is restored before the newest records
// could be read. Guards against a restore that goes unnoticed as the position was lost
// already.
func TestRestoreAfterTruncationIsReported(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	newestReads, restores := 0, 0
	f := &Follower{
		Source: Source{
			Newest: func(context.Context) ([]Record, Position, error) {
				newestReads++
				switch newestReads {
				case 1:
					return nil, Position{Offset: 3}, nil
				case 2:
					return nil, Position{}, errors.ErrUnsupported
				}
				return nil, Position{Era: 1, Offset: 2}, nil
			},
			Read: func(_ context.Context, from Position, _ time.Duration) ([]Record, Position, error) {
				if from.Era > 0 {
					cancel()
				}
				return nil, Position{}, &TruncatedError{From: from.Offset}
			},
		},
		Clock: clock.System{}, Uptime: func() time.Duration { return time.Second }, Logger: logs.Discard(),
		PollWait: time.Second, PollMargin: time.Second, OnRestore: func() { restores++ }, Apply: func([]Record, bool) {},
	}
	f.Run(ctx)
	is.Equal(newestReads, 3)
	is.Equal(restores, 1)
}

// Guards against a follower that pauses, or counts the store as lost, after a read that
// was interrupted: it must read again at once, without waiting for records.
func TestInterruptedReadIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var waits []time.Duration
	failures := 0
	f := &Follower{
		Clock: clock.System{}, Uptime: func() time.Duration { return time.Second }, Logger: logs.Discard(),
		PollWait: time.Second, PollMargin: time.Second, OnFailure: func() { failures++ }, Apply: func([]Record, bool) {},
	}
	f.Source = Source{
		Newest: func(context.Context) ([]Record, Position, error) { return nil, Position{}, nil },
		Read: func(ctx context.Context, _ Position, wait time.Duration) ([]Record, Position, error) {
			waits = append(waits, wait)
			switch len(waits) {
			case 1:
				f.Interrupt()
				<-ctx.Done()
				return nil, Position{}, ctx.Err()
			case 3:
				cancel()
			}
			return nil, Position{}, nil
		},
	}
	started := time.Now()
	f.Run(ctx)
	is.Equal(waits, []time.Duration{time.Second, 0, time.Second})
	is.Equal(failures, 0)
	is.True(time.Since(started) < minRetryDelay)
}

// Guards against a follower that reads without a pause from a log that its position is
// never one in, such as a store whose responses disagree about the era.
func TestSnapshotsThatCannotBeReadOnArePaced(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 2*minRetryDelay)
	defer cancel()
	reads := 0
	f := &Follower{
		Source: Source{
			Newest: func(context.Context) ([]Record, Position, error) { return nil, Position{}, nil },
			Read: func(context.Context, Position, time.Duration) ([]Record, Position, error) {
				reads++
				return nil, Position{}, &RestoredError{Now: 1}
			},
		},
		Clock: clock.System{}, Uptime: func() time.Duration { return time.Second }, Logger: logs.Discard(),
		PollWait: time.Second, PollMargin: time.Second, Apply: func([]Record, bool) {},
	}
	f.Run(ctx)
	is.True(reads <= 3)
}

// The store fails once, and Interrupt is called while no read is in progress. Guards
// against a next read that waits for records, and so does not show the state of the log.
func TestReadAfterFailureOrInterruptDoesNotWait(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var waits []time.Duration
	f := &Follower{
		Clock: clock.System{}, Uptime: func() time.Duration { return time.Second }, Logger: logs.Discard(),
		PollWait: time.Second, PollMargin: time.Second, BatchDelay: time.Millisecond,
	}
	f.Apply = func(records []Record, _ bool) {
		if len(records) > 0 {
			f.Interrupt()
		}
	}
	f.Source = Source{
		Newest: func(context.Context) ([]Record, Position, error) { return nil, Position{}, nil },
		Read: func(_ context.Context, from Position, wait time.Duration) ([]Record, Position, error) {
			waits = append(waits, wait)
			switch len(waits) {
			case 1:
				return nil, Position{}, errors.ErrUnsupported
			case 2:
				return []Record{{Key: "k"}}, Position{Offset: from.Offset + 1}, nil
			case 4:
				cancel()
			}
			return nil, from, nil
		},
	}
	f.Run(ctx)
	is.Equal(waits, []time.Duration{time.Second, 0, 0, time.Second})
}

// Guards against one record that ends the process, or the following of its topic.
func TestPanickingRecordIsLeftOut(t *testing.T) {
	is := is.New(t)
	reads := &scriptedReads{results: []string{"bad", "a", "bad", "b"}, done: make(chan struct{})}
	var applied []string
	f := &Follower{
		Source: reads.source(), Clock: clock.System{}, Uptime: func() time.Duration { return 0 }, Logger: logs.Discard(), PollWait: time.Second, PollMargin: time.Second,
		Apply: func(records []Record, _ bool) {
			if string(records[0].Value) == "bad" {
				panic("unexpected")
			}
			applied = append(applied, string(records[0].Value))
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(ended)
	}()
	<-reads.done
	cancel()
	<-ended
	is.Equal(applied, []string{"a", "b"})
}
