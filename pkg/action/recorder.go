package action

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// minAppendInterval is the minimum time between two appends to one partition.
	minAppendInterval = 40 * time.Millisecond
	// logRetryDelay is the delay before another attempt when the log cannot be read
	// or appended to.
	logRetryDelay = 200 * time.Millisecond
	// maxReadRecords is the maximum number of records in one read of the log.
	maxReadRecords = 256
	// maxPendingSubmissions bounds the queue of each partition.
	maxPendingSubmissions = 4096
)

// UndecidedError reports that the first intent for a key could not be determined in
// time. The record of Intent may still be appended to the log and become the first.
type UndecidedError struct {
	Intent IntentID
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return "timeout waiting for the platform log to confirm intent " + string(e.Intent)
}

// submission is an intent, a renewal or an outcome to be recorded.
type submission struct {
	intent Intent
	// abandoned is the intent that this one renews, or "".
	abandoned IntentID
	// outcome, if not nil, is recorded instead of intent.
	outcome *Outcome
	// result receives the first intent for the key, once.
	result chan recordedIntent
	// ctx is the context of the request. When it has ended, the submission is dropped
	// from the queue.
	ctx context.Context
}

// Recorder records the intents and outcomes of writers in the log, and reads back which
// intent is the first for each key. Log, Clock and Logger must be set. It is safe for
// concurrent use.
type Recorder struct {
	Log    *platformlog.Client
	Clock  clock.Clock
	Logger *logs.Logger

	partitions [Partitions]partition
}

// HandleIntend handles an Intend request: it records the intents and outcomes of the
// request and returns a verdict for each intent. Verdicts that are not known when ctx
// ends are returned as undecided.
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

// submitAndWait submits s to the partition with the given index and returns the first
// intent for its key. It reports false if the queue is full or ctx ends.
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

// enqueue adds s to the queue of p and starts the goroutine of p if necessary. It
// reports false if the queue is full.
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

// runPartition processes the pending submissions of p in batches until none remain.
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
			r.Logger.WithError(err).WithField("partition", index).Warn("cannot record intents; will retry")
			p.requeue(batch)
			<-r.Clock.After(logRetryDelay)
		}
	}
}

// processBatch appends the records of a batch, reads the stream up to its end and sends
// the results. It is safe to repeat after an error, since records that repeat an intent
// or an outcome change nothing.
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

// recordsFor returns the records to append for a batch. An intent whose key already has
// a first intent needs none, unless it renews that intent.
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

// catchUp reads the stream up to its current end and applies its records. Records that
// have expired are skipped.
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
