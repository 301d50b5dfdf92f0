package action

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// replyRetention is how long the reply of an action is kept in memory for
	// repeated requests.
	replyRetention = 10 * time.Minute
	// maxRetainedBytes bounds the memory used by finished entries.
	maxRetainedBytes = 32 << 20
	// entryOverheadBytes is the estimated size of an entry without the body of its
	// reply.
	entryOverheadBytes = 512
)

// stage is the progress of an intent at its writer.
type stage int

const (
	// stageRecording means that it is not yet known whether the intent is the first.
	stageRecording stage = iota
	stageRunning
	// stageDone means that the action has run, or may have, and its reply is set.
	stageDone
	// stageAbandoned means that the action has not run under this intent and never
	// will.
	stageAbandoned
)

// entry is an intent of this writer with its stage and reply. The mutex of the cache
// guards stage, reply and endedAt until done is closed; they don't change afterwards.
type entry struct {
	intent Intent
	// stage never decreases.
	stage stage
	// done is closed when stage becomes stageDone or stageAbandoned.
	done chan struct{}
	// reply is set if stage is stageDone.
	reply   *peerrpc.RunReply
	endedAt time.Time
}

// entryCache holds the entries of one writer: all unfinished ones, and finished ones
// within the bounds of age and memory. clock must be set before use. It is safe for
// concurrent use.
type entryCache struct {
	clock clock.Clock

	// mu guards the fields below.
	mu   sync.Mutex
	byID map[IntentID]*entry
	// byKey holds the latest entry of each key, except those that lost the key to
	// another writer.
	byKey map[KeyDigest]*entry
	// finished lists the finished entries, oldest first.
	finished []*entry
	// finishedBytes is the total size of the finished entries.
	finishedBytes int
}

// begin returns the current entry of the intent's key and false. If there is none, or
// if it is abandoned, begin adds an entry for intent and returns it, true and the
// abandoned entry that it replaced, if any.
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

// start moves an entry from stageRecording to stageRunning. It reports false if the
// entry was in another stage, so that its action must not run.
func (c *entryCache) start(e *entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.stage != stageRecording {
		return false
	}
	e.stage = stageRunning
	return true
}

// finish moves an entry to its final stage, stageDone or stageAbandoned, and sets its
// reply, which is nil if it was abandoned. It does nothing if the entry has already
// finished.
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

// evict drops the oldest finished entries beyond the bounds of age and memory.
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

// releaseKey removes the entry from its key, because an intent of another writer is the
// first one. The entry can still be found by its id.
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

// awaitResult returns the result of an intent of this writer. It waits until the intent
// has finished; if ctx ends earlier, the result says that the intent is still running.
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
