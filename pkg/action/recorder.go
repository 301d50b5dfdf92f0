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
	// batchGap is the least time between two appends to one partition.
	batchGap = 40 * time.Millisecond
	// logPause is the wait after the log refused an append.
	logPause = 200 * time.Millisecond
	// readBatch is the number of records read at once.
	readBatch = 256
	// maxPending bounds the intents that wait for one partition's append.
	maxPending = 4096
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
	// first receives what stands first for the key, once.
	first chan placed
	ctx   context.Context
}

// partition is one intent stream as its recorder knows it.
type partition struct {
	mu      sync.Mutex
	pending []*submission
	running bool

	// The rest is used only by the goroutine that runs.
	next  platformlog.Offset
	ready bool
	first map[KeyDigest]placed
	// order lists offsets and keys, oldest first, to forget expired records.
	order    []seen
	appended time.Time
}

// placed is an intent, the offset of its record, and its outcome if recorded.
type placed struct {
	Intent
	offset platformlog.Offset
	answer []byte
}

type seen struct {
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

// Intend records the intents of a request and returns their verdicts; one that
// is not decided when ctx ends is returned undecided.
func (r *Recorder) Intend(ctx context.Context, req *peerrpc.IntendRequest) *peerrpc.IntendReply {
	reply := &peerrpc.IntendReply{}
	if req.GetPartition() < 0 || req.GetPartition() >= Partitions {
		return reply
	}
	number := int(req.GetPartition())
	for _, m := range req.GetIntents() {
		s := &submission{intent: intentOf(m), abandoned: IntentID(m.GetAbandoned())}
		verdict := &peerrpc.Verdict{Id: m.GetId()}
		if first, decided := r.await(ctx, number, s); decided {
			verdict.First, verdict.Decided = first.message(), true
			verdict.Answer = decodeAnswer(first.answer)
		}
		reply.Verdicts = append(reply.Verdicts, verdict)
	}
	reply.OutcomesKept = true
	for _, m := range req.GetOutcomes() {
		_, kept := r.await(ctx, number, &submission{outcome: outcomeOf(m)})
		reply.OutcomesKept = reply.OutcomesKept && kept
	}
	return reply
}

// await submits to a partition and waits for the place in the log.
func (r *Recorder) await(ctx context.Context, number int, s *submission) (placed, bool) {
	s.first, s.ctx = make(chan placed, 1), ctx
	if !r.submit(&r.partitions[number], number, s) {
		return placed{}, false
	}
	select {
	case first := <-s.first:
		return first, true
	case <-ctx.Done():
		return placed{}, false
	}
}

func (r *Recorder) submit(p *partition, number int, s *submission) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) >= maxPending {
		return false
	}
	p.pending = append(p.pending, s)
	if !p.running {
		p.running = true
		go r.run(p, number)
	}
	return true
}

// run serves submissions until none is left.
func (r *Recorder) run(p *partition, number int) {
	for {
		if gap := batchGap - r.Clock.Now().Sub(p.appended); gap > 0 {
			<-r.Clock.After(gap)
		}
		batch := p.take()
		if batch == nil {
			return
		}
		if err := r.serve(p, platformlog.IntentStream(number), batch); err != nil {
			r.Logger.WithError(err).WithField("partition", number).Warn("intents not recorded yet")
			p.putBack(batch)
			<-r.Clock.After(logPause)
		}
	}
}

func (p *partition) take() []*submission {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := p.pending[:0:0]
	for _, s := range p.pending {
		if s.ctx.Err() == nil {
			batch = append(batch, s)
		}
	}
	p.pending = nil
	p.running = len(batch) > 0
	if !p.running {
		return nil
	}
	return batch
}

func (p *partition) putBack(batch []*submission) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = append(batch, p.pending...)
}

// serve appends a batch and reads the stream up to it. It is safe to repeat:
// the first record of an intent decides.
func (r *Recorder) serve(p *partition, stream platformlog.Stream, batch []*submission) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := r.catchUp(ctx, p, stream); err != nil {
		return err
	}
	records, err := r.records(p, batch)
	if err != nil {
		return err
	}
	if len(records) > 0 {
		p.appended = r.Clock.Now()
		if _, err := r.Log.Append(ctx, stream, records...); err != nil {
			return err
		}
		if err := r.catchUp(ctx, p, stream); err != nil {
			return err
		}
	}
	for _, s := range batch {
		if first, known := p.first[s.key()]; known || s.outcome != nil {
			s.first <- first
		}
	}
	return nil
}

// records returns what must be appended for a batch: nothing for keys that are
// already decided.
func (r *Recorder) records(p *partition, batch []*submission) ([]platformlog.Record, error) {
	var intents []Intent
	var outcomes []Outcome
	var records []platformlog.Record
	for _, s := range batch {
		first, known := p.first[s.key()]
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
		batch, err := r.Log.Read(ctx, stream, p.next, readBatch, 0)
		var gap *platformlog.GapError
		if eris.As(err, &gap) {
			p.forget(gap.FirstOffset)
			p.next = gap.FirstOffset
			continue
		}
		if err != nil {
			return err
		}
		for i, record := range batch.Records {
			p.fold(batch.From+platformlog.Offset(i), record)
		}
		p.next = batch.From + platformlog.Offset(len(batch.Records))
		p.forget(batch.FirstOffset)
		if p.next >= batch.NextOffset {
			return nil
		}
	}
}

// fold is pure: it depends on the records in offset order alone.
func (p *partition) fold(offset platformlog.Offset, record platformlog.Record) {
	if p.first == nil {
		p.first = map[KeyDigest]placed{}
	}
	switch record.Kind {
	case RecordIntents:
		for _, intent := range decode[[]Intent](record) {
			if _, taken := p.first[intent.Key]; !taken {
				p.put(offset, intent)
			}
		}
	case RecordRenewal:
		renewal := decode[Renewal](record)
		if first, known := p.first[renewal.Intent.Key]; known && first.ID == renewal.Abandoned {
			p.put(offset, renewal.Intent)
		}
	case RecordOutcome:
		for _, o := range decode[[]Outcome](record) {
			if first, known := p.first[o.Key]; known && first.ID == o.Intent {
				first.answer = o.Answer
				p.first[o.Key] = first
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

func (p *partition) put(offset platformlog.Offset, intent Intent) {
	p.first[intent.Key] = placed{Intent: intent, offset: offset}
	p.order = append(p.order, seen{offset, intent.Key})
}

// forget drops intents whose records have expired.
func (p *partition) forget(oldest platformlog.Offset) {
	n := 0
	for n < len(p.order) && p.order[n].offset < oldest {
		if p.first[p.order[n].key].offset == p.order[n].offset {
			delete(p.first, p.order[n].key)
		}
		n++
	}
	p.order = p.order[n:]
}
