package action

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// replyRetention is how long the answer of an action is kept for repeats.
	replyRetention = 10 * time.Minute
	// maxRetainedBytes bounds the answers kept.
	maxRetainedBytes = 32 << 20
	// entryOverheadBytes is counted for each entry besides its body.
	entryOverheadBytes = 512
)

// stage is how far a writer has come with an intent.
type stage int

const (
	stageRecording stage = iota
	stageRunning
	stageDone
	// stageAbandoned is final: the intent never runs.
	stageAbandoned
)

// entry is one intent of this writer.
type entry struct {
	intent Intent
	// stage only grows, and never from stageAbandoned to stageRunning.
	stage stage
	// done is closed when stage is stageDone or stageAbandoned.
	done    chan struct{}
	reply   *peerrpc.RunReply
	endedAt time.Time
}

// entryCache keeps the intents of one writer with their answers. It needs clock.
type entryCache struct {
	clock clock.Clock

	mu            sync.Mutex
	byID          map[IntentID]*entry
	byKey         map[KeyDigest]*entry
	finished      []*entry
	finishedBytes int
}

// begin returns this writer's latest entry for a key, or makes one from intent.
// An abandoned entry is replaced by the new one and returned as old.
func (c *entryCache) begin(intent Intent) (e *entry, created bool, replaced *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID, c.byKey = map[IntentID]*entry{}, map[KeyDigest]*entry{}
	}
	current := c.byKey[intent.Key]
	if current != nil && current.stage != stageAbandoned {
		return current, false, nil
	}
	e = &entry{intent: intent, done: make(chan struct{})}
	c.byID[intent.ID], c.byKey[intent.Key] = e, e
	return e, true, current
}

// start moves an entry to running and tells whether it may run.
func (c *entryCache) start(e *entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.stage != stageRecording {
		return false
	}
	e.stage = stageRunning
	return true
}

// finish sets the answer; an abandoned entry has none.
func (c *entryCache) finish(e *entry, final stage, reply *peerrpc.RunReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.stage >= stageDone {
		return
	}
	e.stage, e.reply, e.endedAt = final, reply, c.clock.Now()
	close(e.done)
	c.finished = append(c.finished, e)
	c.finishedBytes += e.sizeBytes()
	c.evict()
}

func (e *entry) sizeBytes() int { return entryOverheadBytes + len(e.reply.GetBody()) }

func (c *entryCache) evict() {
	now := c.clock.Now()
	for len(c.finished) > 0 {
		oldest := c.finished[0]
		if c.finishedBytes <= maxRetainedBytes && now.Sub(oldest.endedAt) < replyRetention {
			return
		}
		c.finished = c.finished[1:]
		c.finishedBytes -= oldest.sizeBytes()
		delete(c.byID, oldest.intent.ID)
		if c.byKey[oldest.intent.Key] == oldest {
			delete(c.byKey, oldest.intent.Key)
		}
	}
}

// releaseKey forgets an entry that lost its key to another writer's.
func (c *entryCache) releaseKey(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKey[e.intent.Key] == e {
		delete(c.byKey, e.intent.Key)
	}
}

func (c *entryCache) find(id IntentID) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// awaitResult tells what became of an intent, waiting for its end until ctx ends.
func (c *entryCache) awaitResult(ctx context.Context, id IntentID) *peerrpc.RecallReply {
	e := c.find(id)
	if e == nil {
		return &peerrpc.RecallReply{}
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return &peerrpc.RecallReply{Found: true, Running: true}
	}
	return &peerrpc.RecallReply{Found: true, Abandoned: e.stage == stageAbandoned, Answer: e.reply}
}
