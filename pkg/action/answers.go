package action

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// keptFor is how long the answer of an action is kept for repeats.
	keptFor = 10 * time.Minute
	// keptBytes bounds the answers kept.
	keptBytes = 32 << 20
	// entryBytes is counted for each entry besides its body.
	entryBytes = 512
)

// stage is how far a writer has come with an intent.
type stage int

const (
	stageIntending stage = iota
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
	done  chan struct{}
	reply *peerrpc.RunReply
	ended time.Time
}

// answers keeps the intents of one writer with their answers. It needs clock.
type answers struct {
	clock clock.Clock

	mu    sync.Mutex
	byID  map[IntentID]*entry
	byKey map[KeyDigest]*entry
	order []*entry
	bytes int
}

// begin returns this writer's latest entry for a key, or makes one from intent.
// An abandoned entry is replaced by the new one and returned as old.
func (a *answers) begin(intent Intent) (e *entry, fresh bool, old *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byID == nil {
		a.byID, a.byKey = map[IntentID]*entry{}, map[KeyDigest]*entry{}
	}
	known := a.byKey[intent.Key]
	if known != nil && known.stage != stageAbandoned {
		return known, false, nil
	}
	e = &entry{intent: intent, done: make(chan struct{})}
	a.byID[intent.ID], a.byKey[intent.Key] = e, e
	return e, true, known
}

// start moves an entry to running and tells whether it may run.
func (a *answers) start(e *entry) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.stage != stageIntending {
		return false
	}
	e.stage = stageRunning
	return true
}

// finish sets the answer; an abandoned entry has none.
func (a *answers) finish(e *entry, s stage, reply *peerrpc.RunReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.stage >= stageDone {
		return
	}
	e.stage, e.reply, e.ended = s, reply, a.clock.Now()
	close(e.done)
	a.order = append(a.order, e)
	a.bytes += e.size()
	a.evict()
}

func (e *entry) size() int { return entryBytes + len(e.reply.GetBody()) }

func (a *answers) evict() {
	now := a.clock.Now()
	for len(a.order) > 0 {
		oldest := a.order[0]
		if a.bytes <= keptBytes && now.Sub(oldest.ended) < keptFor {
			return
		}
		a.order = a.order[1:]
		a.bytes -= oldest.size()
		delete(a.byID, oldest.intent.ID)
		if a.byKey[oldest.intent.Key] == oldest {
			delete(a.byKey, oldest.intent.Key)
		}
	}
}

// drop forgets an entry that lost its key to another writer's.
func (a *answers) drop(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey[e.intent.Key] == e {
		delete(a.byKey, e.intent.Key)
	}
}

func (a *answers) find(id IntentID) *entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// recall tells what became of an intent, waiting for its end until ctx ends.
func (a *answers) recall(ctx context.Context, id IntentID) *peerrpc.RecallReply {
	e := a.find(id)
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
