package action

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

// partition is the state of one intent stream at its recorder.
type partition struct {
	// mu guards pending and active.
	mu      sync.Mutex
	pending []*submission
	// active reports whether a goroutine runs runPartition.
	active bool

	// The fields below are used only by the goroutine of runPartition.

	// nextOffset is the offset of the next record to read.
	nextOffset platformlog.Offset
	ready      bool
	firstByKey map[KeyDigest]recordedIntent
	// expiryOrder lists the records behind firstByKey, oldest first.
	expiryOrder []keyOffset
	lastAppend  time.Time
}

// recordedIntent is an intent that is the first one for its key, with the offset of its
// record.
type recordedIntent struct {
	Intent
	offset platformlog.Offset
	// reply is the encoded RunReply of the recorded outcome, or nil.
	reply []byte
}

// keyOffset is the offset of a record with an intent for key.
type keyOffset struct {
	offset platformlog.Offset
	key    KeyDigest
}

// takeBatch removes all pending submissions and returns those whose request has not
// ended. If there are none, it returns nil and marks p as inactive.
func (p *partition) takeBatch() []*submission {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := p.pending[:0:0]
	for _, s := range p.pending {
		if s.ctx.Err() == nil {
			batch = append(batch, s)
		}
	}
	p.pending = nil
	p.active = len(batch) > 0
	if !p.active {
		return nil
	}
	return batch
}

// requeue puts a batch that failed back at the head of the queue.
func (p *partition) requeue(batch []*submission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(batch, p.pending...)
}

// apply applies one record. The state depends only on the records and their offsets, so
// every recorder of the partition derives the same first intents.
func (p *partition) apply(offset platformlog.Offset, record platformlog.Record) {
	if p.firstByKey == nil {
		p.firstByKey = map[KeyDigest]recordedIntent{}
	}
	switch record.Kind {
	case RecordIntents:
		for _, intent := range decode[[]Intent](record) {
			if _, taken := p.firstByKey[intent.Key]; !taken {
				p.setFirst(offset, intent)
			}
		}
	case RecordRenewal:
		renewal := decode[Renewal](record)
		if first, known := p.firstByKey[renewal.Intent.Key]; known && first.ID == renewal.Abandoned {
			p.setFirst(offset, renewal.Intent)
		}
	case RecordOutcome:
		for _, o := range decode[[]Outcome](record) {
			if first, known := p.firstByKey[o.Key]; known && first.ID == o.Intent {
				first.reply = o.Reply
				p.firstByKey[o.Key] = first
			}
		}
	}
}

// decode decodes the JSON body of a record. It returns the zero value if the body is
// invalid.
func decode[T any](record platformlog.Record) T {
	var value T
	if json.Unmarshal(record.Body, &value) != nil {
		var empty T
		return empty
	}
	return value
}

// setFirst makes intent, recorded at offset, the first one for its key.
func (p *partition) setFirst(offset platformlog.Offset, intent Intent) {
	p.firstByKey[intent.Key] = recordedIntent{Intent: intent, offset: offset}
	p.expiryOrder = append(p.expiryOrder, keyOffset{offset, intent.Key})
}

// dropExpired drops intents whose records are before offset oldest, as they have
// expired from the log.
func (p *partition) dropExpired(oldest platformlog.Offset) {
	expired := 0
	for expired < len(p.expiryOrder) && p.expiryOrder[expired].offset < oldest {
		if p.firstByKey[p.expiryOrder[expired].key].offset == p.expiryOrder[expired].offset {
			delete(p.firstByKey, p.expiryOrder[expired].key)
		}
		expired++
	}
	p.expiryOrder = p.expiryOrder[expired:]
}
