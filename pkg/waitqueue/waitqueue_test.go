package waitqueue

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any order of arrivals, removals and releases: no more slots are used than
// exist, no slot stays free while a call waits, and each waiting call is either
// notified once or removed.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := &Queue{}
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		q.SetLimit(limit)
		running := 0
		var waiters []*Waiter
		notified := map[*Waiter]int{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				rank := RankOf(time.Unix(int64(rapid.IntRange(0, 9).Draw(rt, "arrived")), 0), time.Second, uint32(rapid.IntRange(0, 2).Draw(rt, "priority")))
				w, verdict := q.Acquire(rank, time.Second)
				switch verdict {
				case VerdictAdmitted:
					running++
				case VerdictQueued:
					waiters = append(waiters, w)
					w.Notify = func(bool) { notified[w]++; running++ }
				}
			case 2:
				if running > 0 {
					running--
					q.Release(time.Millisecond)
				}
			case 3:
				if len(waiters) > 0 {
					i := rapid.IntRange(0, len(waiters)-1).Draw(rt, "which")
					if removed := q.Remove(waiters[i]); removed == (notified[waiters[i]] > 0) {
						rt.Fatal("removed a call that was admitted, or could not remove a waiting one")
					}
					waiters = append(waiters[:i], waiters[i+1:]...)
				}
			}
			load := q.Load()
			if running > limit || load.InFlight != running || load.Queued > 0 && running < limit {
				rt.Fatalf("%d of %d slots in use, %+v", running, limit, load)
			}
		}
		for w, times := range notified {
			if times > 1 {
				rt.Fatalf("call %v notified %d times, want at most once", w.rank, times)
			}
		}
	})
}

// A call with a short max wait gets its slot before calls with a longer one,
// but not before calls that have already waited long.
func TestShortestMaxWaitFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	short, long := 50*time.Millisecond, 400*time.Millisecond
	for _, c := range []struct {
		name string
		a, b Rank
	}{
		{"short max wait first", RankOf(now, short, 2), RankOf(now, long, 0)},
		{"long waiting call first", RankOf(now.Add(-300*time.Millisecond), long, 2), RankOf(now, short, 0)},
		{"older of two calls with the same max wait", RankOf(now.Add(-time.Millisecond), long, 2), RankOf(now, long, 0)},
		{"more urgent of two calls due at the same time", RankOf(now, long, 0), RankOf(now, long, 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if !c.a.before(c.b) || c.b.before(c.a) {
				t.Fatal("a is not ranked before b")
			}
		})
	}
}

// A call whose expected wait exceeds its max wait is rejected at once.
func TestRejectsCallThatWouldWaitTooLong(t *testing.T) {
	q := &Queue{}
	q.SetLimit(1)
	q.Acquire(Rank{}, 0)
	for range 200 {
		q.Release(100 * time.Millisecond)
		q.Acquire(Rank{}, 0)
	}
	q.Acquire(Rank{}, time.Second)
	if _, verdict := q.Acquire(Rank{}, 50*time.Millisecond); verdict != VerdictFull {
		t.Fatal("queued a call that would wait longer than its max wait")
	}
}
