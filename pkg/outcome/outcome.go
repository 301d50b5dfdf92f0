// Package outcome stores the reply of each call that a node received, for about 15
// seconds after its end. In that time, a lost reply can be fetched over another
// connection, and a repeated call does not start a second time.
package outcome

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	shardCount = 64
	// retention is the time for which a finished call is stored.
	retention = 15 * time.Second
	// maxShardBytes bounds the size of the reply bodies that one shard stores. The
	// oldest ones are evicted earlier if it is exceeded.
	maxShardBytes = 512 << 10
)

// Entry is a call that runs, has finished or is fenced.
type Entry struct {
	// done is closed once reply is set.
	done  chan struct{}
	reply *peerrpc.RunReply
	// cancel cancels the execution. It is nil if the call is fenced.
	cancel context.CancelFunc
	// ended is the time at which reply was set.
	ended time.Time
}

// Store stores calls and their replies. Clock must be set before use. It is safe for
// concurrent use.
type Store struct {
	Clock clock.Clock
	// Unfenced disables fencing: a call may begin after Fetch has reported that it
	// never arrived.
	Unfenced bool
	shards   [shardCount]shard
}

// shard is the part of a store that one mutex guards.
type shard struct {
	// mu guards all fields.
	mu      sync.Mutex
	entries map[fleet.CallID]*Entry
	// order lists the finished calls, oldest first.
	order []fleet.CallID
	// replyBytes is the total size of the reply bodies of the finished calls.
	replyBytes int
}

func (s *Store) shard(id fleet.CallID) *shard {
	return &s.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Begin records the start of a call and returns its entry and true. If the call has
// already begun or is fenced, it returns the existing entry and false.
func (s *Store) Begin(id fleet.CallID, cancel context.CancelFunc) (*Entry, bool) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.begin(id, cancel)
}

func (sh *shard) begin(id fleet.CallID, cancel context.CancelFunc) (*Entry, bool) {
	if sh.entries == nil {
		sh.entries = map[fleet.CallID]*Entry{}
	}
	if e := sh.entries[id]; e != nil {
		return e, false
	}
	e := &Entry{done: make(chan struct{}), cancel: cancel}
	sh.entries[id] = e
	return e, true
}

// Finish sets the reply of a call. It has no effect if the call has not begun or has
// already finished.
func (s *Store) Finish(id fleet.CallID, reply *peerrpc.RunReply) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[id]
	if e == nil || e.reply != nil {
		return
	}
	e.reply = reply
	e.ended = s.Clock.Now()
	close(e.done)
	sh.order = append(sh.order, id)
	sh.replyBytes += len(reply.GetBody())
	sh.evict(e.ended)
}

// evict removes the oldest finished calls until the rest is within the retention and
// the size bound.
func (sh *shard) evict(now time.Time) {
	for len(sh.order) > 0 {
		oldest := sh.entries[sh.order[0]]
		if sh.replyBytes <= maxShardBytes && now.Sub(oldest.ended) < retention {
			return
		}
		sh.replyBytes -= len(oldest.reply.GetBody())
		delete(sh.entries, sh.order[0])
		sh.order = sh.order[1:]
	}
}

// Fetch returns the reply of a call, and waits for it while the call runs. A call that
// has not begun is fenced: it gets fenceReply and cannot begin later. Fetch returns nil
// if the call still runs when ctx ends.
func (s *Store) Fetch(ctx context.Context, id fleet.CallID, fenceReply *peerrpc.RunReply) *peerrpc.RunReply {
	sh := s.shard(id)
	sh.mu.Lock()
	if s.Unfenced && sh.entries[id] == nil {
		sh.mu.Unlock()
		return fenceReply
	}
	e, created := sh.begin(id, nil)
	sh.mu.Unlock()
	if created {
		s.Finish(id, fenceReply)
	}
	return e.Wait(ctx)
}

// Wait waits for the reply of the call. It returns nil if ctx ends first.
func (e *Entry) Wait(ctx context.Context) *peerrpc.RunReply {
	select {
	case <-e.done:
		return e.reply
	case <-ctx.Done():
		return nil
	}
}

// Cancel cancels the execution of a call. It has no effect on calls that have not begun,
// have finished or are fenced.
func (s *Store) Cancel(id fleet.CallID) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.entries[id]; e != nil && e.cancel != nil {
		e.cancel()
	}
}
