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
	batchGap = 30 * time.Millisecond
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

// submission is one intent, or renewal, that waits for its verdict.
type submission struct {
	intent    Intent
	abandoned IntentID
	// first receives the winning intent, once.
	first chan Intent
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

// placed is an intent and the offset of its record.
type placed struct {
	Intent
	offset platformlog.Offset
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
	p := &r.partitions[req.GetPartition()]
	for _, m := range req.GetIntents() {
		s := &submission{intent: intentOf(m), abandoned: IntentID(m.GetAbandoned()), first: make(chan Intent, 1), ctx: ctx}
		verdict := &peerrpc.Verdict{Id: m.GetId()}
		if r.submit(p, int(req.GetPartition()), s) {
			select {
			case first := <-s.first:
				verdict.First, verdict.Decided = first.message(), true
			case <-ctx.Done():
			}
		}
		reply.Verdicts = append(reply.Verdicts, verdict)
	}
	return reply
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
		if first, known := p.first[s.intent.Key]; known {
			s.first <- first.Intent
		}
	}
	return nil
}

// records returns what must be appended for a batch: nothing for keys that are
// already decided.
func (r *Recorder) records(p *partition, batch []*submission) ([]platformlog.Record, error) {
	var intents []Intent
	var records []platformlog.Record
	for _, s := range batch {
		first, known := p.first[s.intent.Key]
		switch {
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
	return records, nil
}

// catchUp folds the stream up to its present end.
func (r *Recorder) catchUp(ctx context.Context, p *partition, stream platformlog.Stream) error {
	for {
		batch, err := r.Log.Read(ctx, stream, p.next, readBatch, 0)
		var gap *platformlog.GapError
		if eris.As(err, &gap) {
			p.forget(gap.First)
			p.next = gap.First
			continue
		}
		if err != nil {
			return err
		}
		for i, record := range batch.Records {
			p.fold(batch.From+platformlog.Offset(i), record)
		}
		p.next = batch.From + platformlog.Offset(len(batch.Records))
		p.forget(batch.First)
		if p.next >= batch.Next {
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
		var intents []Intent
		if json.Unmarshal(record.Body, &intents) != nil {
			return
		}
		for _, intent := range intents {
			if _, taken := p.first[intent.Key]; !taken {
				p.put(offset, intent)
			}
		}
	case RecordRenewal:
		var renewal Renewal
		if json.Unmarshal(record.Body, &renewal) != nil {
			return
		}
		if first, known := p.first[renewal.Intent.Key]; known && first.ID == renewal.Abandoned {
			p.put(offset, renewal.Intent)
		}
	}
}

func (p *partition) put(offset platformlog.Offset, intent Intent) {
	p.first[intent.Key] = placed{intent, offset}
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
