package keyed

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

// steps answers reads of a topic one after another.
type steps struct {
	mu   sync.Mutex
	list []string
	done chan struct{}
}

func (s *steps) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
		return "wait"
	}
	step := s.list[0]
	s.list = s.list[1:]
	return step
}

func (s *steps) source() Source {
	answer := func(ctx context.Context, call string) ([]Record, error) {
		switch step := s.next(); step {
		case "wait":
			<-ctx.Done()
			return nil, ctx.Err()
		case "gone":
			return nil, &GoneError{}
		case "fails":
			return nil, errors.ErrUnsupported
		case "":
			return nil, nil
		default:
			return []Record{{Key: call, Value: []byte(step)}}, nil
		}
	}
	return Source{
		Newest: func(ctx context.Context) ([]Record, Offset, error) {
			records, err := answer(ctx, "newest")
			return records, 10, err
		},
		Read: func(ctx context.Context, from Offset, _ time.Duration) ([]Record, Offset, error) {
			records, err := answer(ctx, "read")
			return records, from + Offset(len(records)), err
		},
	}
}

func TestFollowing(t *testing.T) {
	cases := []struct {
		name  string
		steps []string
		want  []string
	}{
		{"newest, then what follows", []string{"a", "b", "", "c"}, []string{"newest a", "read b", "read c"}},
		{"history dropped", []string{"a", "gone", "b", "c"}, []string{"newest a", "newest b", "read c"}},
		{"store away", []string{"fails", "a", "fails", "b"}, []string{"newest a", "read b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &steps{list: c.steps, done: make(chan struct{})}
			var got []string
			lost, regained := 0, 0
			ctx, cancel := context.WithCancel(t.Context())
			f := &Follower{
				Source: s.source(), Clock: clock.System{}, Uptime: func() time.Duration { return time.Second }, Logger: logs.Discard(),
				Wait: 10 * time.Second, Slack: time.Second, Lost: func() { lost++ }, Regained: func() { regained++ },
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

// Knowledge is as old as the moment at which the read that confirmed it was
// sent, also on a machine that was suspended meanwhile.
func TestAgeCountsFromTheSending(t *testing.T) {
	is := is.New(t)
	now := 100 * time.Second
	read := make(chan struct{})
	f := &Follower{
		Clock: clock.System{}, Uptime: func() time.Duration { return now }, Logger: logs.Discard(), Wait: time.Second, Slack: time.Second,
		Apply: func([]Record, bool) {},
	}
	_, known := f.Age()
	is.True(!known)
	ctx, cancel := context.WithCancel(t.Context())
	f.Source = Source{
		Newest: func(context.Context) ([]Record, Offset, error) {
			now += 3 * time.Second
			return nil, 0, nil
		},
		Read: func(ctx context.Context, _ Offset, _ time.Duration) ([]Record, Offset, error) {
			close(read)
			<-ctx.Done()
			return nil, 0, ctx.Err()
		},
	}
	go f.Run(ctx)
	<-read
	age, known := f.Age()
	cancel()
	is.True(known)
	is.Equal(age, 3*time.Second)
}
