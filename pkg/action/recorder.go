package action

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// minAppendInterval is the least time between two appends to one partition.
	minAppendInterval = 40 * time.Millisecond
	// logRetryDelay is the wait after the log refused an append.
	logRetryDelay = 200 * time.Millisecond
	// maxReadRecords is the number of records read at once.
	maxReadRecords = 256
	// maxPendingSubmissions bounds the intents that wait for one partition's append.
	maxPendingSubmissions = 4096
)

// UndecidedError reports an intent whose place in the log is not known in time.
// Its record may still take effect.
type UndecidedError struct {
	Intent IntentID
}

// Error implements error.
func (e *UndecidedError) Error() string { return "the log did not confirm intent " + string(e.Intent) }

// submission is one intent, renewal or outcome that waits to be recorded.
type submission struct {
	intent    Intent
	abandoned IntentID
	// outcome is set instead of intent.
	outcome *Outcome
	// result receives what stands first for the key, once.
	result chan recordedIntent
	ctx    context.Context
}

// partition is one intent stream as its recorder knows it.
type partition struct {
	mu      sync.Mutex
	pending []*submission
	active  bool

	// The rest is used only by the goroutine that runs.
	nextOffset platformlog.Offset
	ready      bool
	firstByKey map[KeyDigest]recordedIntent
	// expiryOrder lists offsets and keys, oldest first, to forget expired records.
	expiryOrder []keyOffset
	lastAppend  time.Time
}

// recordedIntent is an intent, the offset of its record, and its outcome if recorded.
type recordedIntent struct {
	Intent
	offset platformlog.Offset
	reply  []byte
}

type keyOffset struct {
	offset platformlog.Offset
	key    KeyDigest
}

// Recorder appends intents and reads out their order. Log, Clock and Logger
// must be set.
type Recorder struct {
	Log    *platformlog.Client
	Clock  clock.Clock
	Logger *logs.Logger

	partitions [Partitions]partition
}

// HandleIntend records the intents of a request and returns their verdicts; one that
// is not decided when ctx ends is returned undecided.
func (r *Recorder) HandleIntend(ctx context.Context, req *peerrpc.IntendRequest) *peerrpc.IntendReply {
	reply := &peerrpc.IntendReply{}
	if req.GetPartition() < 0 || req.GetPartition() >= Partitions {
		return reply
	}
	index := int(req.GetPartition())
	for _, m := range req.GetIntents() {
		s := &submission{intent: intentFromMessage(m), abandoned: IntentID(m.GetAbandoned())}
		verdict := &peerrpc.Verdict{Id: m.GetId()}
		if first, decided := r.submitAndWait(ctx, index, s); decided {
			verdict.First, verdict.Decided = first.toMessage(), true
			verdict.Answer = decodeReply(first.reply)
		}
		reply.Verdicts = append(reply.Verdicts, verdict)
	}
	reply.OutcomesKept = true
	for _, m := range req.GetOutcomes() {
		_, recorded := r.submitAndWait(ctx, index, &submission{outcome: outcomeFromMessage(m)})
		reply.OutcomesKept = reply.OutcomesKept && recorded
	}
	return reply
}

// submitAndWait submits to a partition and waits for the place in the log.
func (r *Recorder) submitAndWait(ctx context.Context, index int, s *submission) (recordedIntent, bool) {
	s.result, s.ctx = make(chan recordedIntent, 1), ctx
	if !r.enqueue(&r.partitions[index], index, s) {
		return recordedIntent{}, false
	}
	select {
	case first := <-s.result:
		return first, true
	case <-ctx.Done():
		return recordedIntent{}, false
	}
}

func (r *Recorder) enqueue(p *partition, index int, s *submission) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) >= maxPendingSubmissions {
		return false
	}
	p.pending = append(p.pending, s)
	if !p.active {
		p.active = true
		go r.runPartition(p, index)
	}
	return true
}

// runPartition serves submissions until none is left.
func (r *Recorder) runPartition(p *partition, index int) {
	for {
		if wait := minAppendInterval - r.Clock.Now().Sub(p.lastAppend); wait > 0 {
			<-r.Clock.After(wait)
		}
		batch := p.takeBatch()
		if batch == nil {
			return
		}
		if err := r.processBatch(p, platformlog.IntentStream(index), batch); err != nil {
			r.Logger.WithError(err).WithField("partition", index).Warn("intents not recorded yet")
			p.requeue(batch)
			<-r.Clock.After(logRetryDelay)
		}
	}
}

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

func (p *partition) requeue(batch []*submission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(batch, p.pending...)
}

// processBatch appends a batch and reads the stream up to it. It is safe to repeat:
// the first record of an intent decides.
func (r *Recorder) processBatch(p *partition, stream platformlog.Stream, batch []*submission) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := r.catchUp(ctx, p, stream); err != nil {
		return err
	}
	records, err := r.recordsFor(p, batch)
	if err != nil {
		return err
	}
	if len(records) > 0 {
		p.lastAppend = r.Clock.Now()
		if _, err := r.Log.Append(ctx, stream, records...); err != nil {
			return err
		}
		if err := r.catchUp(ctx, p, stream); err != nil {
			return err
		}
	}
	for _, s := range batch {
		if first, known := p.firstByKey[s.key()]; known || s.outcome != nil {
			s.result <- first
		}
	}
	return nil
}

// recordsFor returns what must be appended for a batch: nothing for keys that are
// already decided.
func (r *Recorder) recordsFor(p *partition, batch []*submission) ([]platformlog.Record, error) {
	var intents []Intent
	var outcomes []Outcome
	var records []platformlog.Record
	for _, s := range batch {
		first, known := p.firstByKey[s.key()]
		switch {
		case s.outcome != nil:
			outcomes = append(outcomes, *s.outcome)
		case !known:
			intents = append(intents, s.intent)
		case s.abandoned != "" && first.ID == s.abandoned:
			record, err := platformlog.NewRecord(platformlog.RecordID(s.intent.ID), RecordRenewal, Renewal{Abandoned: s.abandoned, Intent: s.intent})
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
	}
	if len(intents) > 0 {
		record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), RecordIntents, intents)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	if len(outcomes) > 0 {
		record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), RecordOutcome, outcomes)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (s *submission) key() KeyDigest {
	if s.outcome != nil {
		return s.outcome.Key
	}
	return s.intent.Key
}

// catchUp folds the stream up to its present end.
func (r *Recorder) catchUp(ctx context.Context, p *partition, stream platformlog.Stream) error {
	for {
		batch, err := r.Log.Read(ctx, stream, p.nextOffset, maxReadRecords, 0)
		var gap *platformlog.GapError
		if eris.As(err, &gap) {
			p.dropExpired(gap.FirstOffset)
			p.nextOffset = gap.FirstOffset
			continue
		}
		if err != nil {
			return err
		}
		for i, record := range batch.Records {
			p.apply(batch.From+platformlog.Offset(i), record)
		}
		p.nextOffset = batch.From + platformlog.Offset(len(batch.Records))
		p.dropExpired(batch.FirstOffset)
		if p.nextOffset >= batch.NextOffset {
			return nil
		}
	}
}

// apply is pure: it depends on the records in offset order alone.
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

// decode reads the body of a record; one that cannot be read counts as empty.
func decode[T any](record platformlog.Record) T {
	var value T
	if json.Unmarshal(record.Body, &value) != nil {
		var empty T
		return empty
	}
	return value
}

func (p *partition) setFirst(offset platformlog.Offset, intent Intent) {
	p.firstByKey[intent.Key] = recordedIntent{Intent: intent, offset: offset}
	p.expiryOrder = append(p.expiryOrder, keyOffset{offset, intent.Key})
}

// dropExpired drops intents whose records have expired.
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
