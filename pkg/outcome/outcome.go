// Package outcome remembers for a while what became of each call that a node
// was sent, so that a lost answer can be fetched over another connection and a
// call never starts twice.
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
	// retention is how long a finished call is remembered.
	retention = 15 * time.Second
	// maxShardBytes bounds the answers that one shard remembers.
	maxShardBytes = 512 << 10
)

// Entry is one call.
type Entry struct {
	// done is closed once reply is set.
	done  chan struct{}
	reply *peerrpc.RunReply
	// cancel ends the work; it is set by Begin.
	cancel context.CancelFunc
	ended  time.Time
}

// Store remembers calls. It needs Clock.
type Store struct {
	Clock clock.Clock
	// Unfenced lets a call begin after it was given up.
	Unfenced bool
	shards   [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[fleet.CallID]*Entry
	// order lists finished calls, oldest first.
	order      []fleet.CallID
	replyBytes int
}

func (s *Store) shard(id fleet.CallID) *shard {
	return &s.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Begin notes that a call starts. It reports false, with the earlier entry,
// where the call is known or sealed.
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

// Finish sets the reply of a call that was begun.
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

// Fetch returns the reply of a call, waiting while it runs. A call that has
// not begun is sealed with the given reply and never begins. It returns nil
// where the call still runs when ctx ends.
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

// Wait returns the reply of the call, or nil where ctx ends first.
func (e *Entry) Wait(ctx context.Context) *peerrpc.RunReply {
	select {
	case <-e.done:
		return e.reply
	case <-ctx.Done():
		return nil
	}
}

// Cancel ends the work of a call that runs.
func (s *Store) Cancel(id fleet.CallID) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if e := sh.entries[id]; e != nil && e.cancel != nil {
		e.cancel()
	}
}
