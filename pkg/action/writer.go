package action

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// recallWait is how long one question to another writer waits.
	recallWait = time.Second
	// runReserve is what an action keeps of its deadline to run.
	runReserve = 50 * time.Millisecond
	// keepTimeout bounds the wait for an outcome to be recorded.
	keepTimeout = 10 * time.Second
	// maxKeptBody bounds the answers that go into the log, in bytes.
	maxKeptBody = 16 << 10
	// reasonUnknown is the detail of a refusal whose fate nobody can tell.
	reasonUnknown = "an earlier request with this idempotency key may have run, and the node that recorded it cannot tell"
)

// Writer runs actions with an idempotency key. All exported fields must be set.
type Writer struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	Logger   *logs.Logger
	// Intend and Recall send messages to members, this node included.
	Intend intendFunc
	Recall recallFunc
	// Off runs every action without a record.
	Off bool

	answers answers
	keeping sync.WaitGroup
}

// RecorderOf returns the member that records a partition's intents.
func RecorderOf(v *config.View, partition int) fleet.MemberID {
	var best fleet.MemberID
	var high uint64
	owner := "recorder." + string(rune('a'+partition))
	for _, m := range v.Members {
		if score := fleet.RendezvousScore(owner, m.ID); best == "" || score > high {
			best, high = m.ID, score
		}
	}
	return best
}

// Filter returns the filter that runs each action at most once.
func (w *Writer) Filter() call.Middleware {
	w.answers.clock = w.Clock
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if w.Off || !c.IsAction() || c.IdempotencyKey == "" {
				return next(ctx, c)
			}
			return w.handle(ctx, c, next)
		}
	}
}

// Answer tells another node what became of an intent of this writer.
func (w *Writer) Answer(ctx context.Context, id IntentID, wait time.Duration) *peerrpc.RecallReply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return w.answers.recall(ctx, id)
}

func (w *Writer) handle(ctx context.Context, c *call.Call, next call.Handler) (*call.Response, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	for {
		e, fresh, old := w.answers.begin(w.intent(c))
		if e.intent.Body != bodyDigest(c) {
			return nil, problem.New(problem.KindKeyReused, "use a new idempotency key for another request")
		}
		if fresh {
			var abandoned IntentID
			if old != nil {
				abandoned = old.intent.ID
			}
			return w.decide(ctx, c, e, abandoned, next)
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, problem.NewUncertain(problem.KindDeadline, "the action with this key is still under way")
		}
		if e.stage == stageDone {
			return stored(e.reply)
		}
	}
}

func (w *Writer) intent(c *call.Call) Intent {
	return Intent{ID: IntentID(fleet.NewID()), Key: keyDigest(c), Body: bodyDigest(c), Writer: w.Self}
}

// decide records the intent of e until it is known which intent is first, and
// acts on that.
func (w *Writer) decide(ctx context.Context, c *call.Call, e *entry, abandoned IntentID, next call.Handler) (*call.Response, error) {
	for {
		verdict, err := w.record(ctx, e, abandoned)
		if err != nil {
			return nil, w.abandon(e, err)
		}
		first := intentOf(verdict.GetFirst())
		if first.ID == e.intent.ID {
			return w.run(ctx, c, e, next)
		}
		if first.Body != e.intent.Body {
			w.lose(e)
			return nil, problem.New(problem.KindKeyReused, "use a new idempotency key for another request")
		}
		if verdict.GetAnswer() != nil {
			w.lose(e)
			return stored(verdict.GetAnswer())
		}
		reply := w.recall(ctx, first)
		if reply == nil || !reply.GetAbandoned() {
			w.lose(e)
			return w.recalled(reply)
		}
		abandoned = first.ID
	}
}

// record asks the recorder for the first intent of e's key.
func (w *Writer) record(ctx context.Context, e *entry, abandoned IntentID) (*peerrpc.Verdict, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-runReserve))
	defer cancel()
	message := e.intent.message()
	message.Abandoned = string(abandoned)
	partition := PartitionOf(e.intent.Key)
	req := &peerrpc.IntendRequest{Partition: int32(partition), Intents: []*peerrpc.Intent{message}}
	for ctx.Err() == nil {
		reply, err := w.Intend(ctx, RecorderOf(w.Follower.View(), partition), req)
		if err == nil && len(reply.GetVerdicts()) == 1 && reply.GetVerdicts()[0].GetDecided() {
			return reply.GetVerdicts()[0], nil
		}
		if clock.Sleep(ctx, w.Clock, logPause/4) != nil {
			break
		}
	}
	return nil, &UndecidedError{Intent: e.intent.ID}
}

// abandon gives an intent up for good; its record may still turn up, but it
// never runs.
func (w *Writer) abandon(e *entry, cause error) error {
	w.Logger.WithError(cause).WithField("intent", e.intent.ID).Warn("action refused")
	w.answers.finish(e, stageAbandoned, nil)
	p := problem.New(problem.KindActionNotRecorded, "the action could not be recorded in time; repeat it with the same idempotency key")
	p.RetryAfter = time.Second
	return p
}

// lose forgets an intent that came second.
func (w *Writer) lose(e *entry) {
	w.answers.finish(e, stageAbandoned, nil)
	w.answers.drop(e)
}

func (w *Writer) run(ctx context.Context, c *call.Call, e *entry, next call.Handler) (*call.Response, error) {
	if !w.answers.start(e) {
		return nil, problem.New(problem.KindActionNotRecorded, "the action was given up before it ran")
	}
	answer, err := next(ctx, c)
	if p, refused := err.(*problem.Error); refused && p.Execution == problem.NotExecuted {
		w.answers.finish(e, stageAbandoned, nil)
		return nil, err
	}
	reply := peer.EncodeResult("", answer, err)
	w.answers.finish(e, stageDone, reply)
	w.keeping.Go(func() { w.keep(e.intent, reply) })
	return answer, err
}

// Flush waits until the outcomes of finished actions are recorded.
func (w *Writer) Flush() { w.keeping.Wait() }

// keep records an outcome, so that repeats have the answer even when this node
// has gone. Where that fails, repeats are told that nobody knows.
func (w *Writer) keep(intent Intent, reply *peerrpc.RunReply) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	if len(reply.GetBody()) > maxKeptBody {
		reply = peer.EncodeResult("", nil, &problem.Error{Kind: problem.KindUncertain, Execution: problem.Executed, Detail: "the action ran; its answer was too large to keep"})
	}
	partition := PartitionOf(intent.Key)
	req := &peerrpc.IntendRequest{Partition: int32(partition), Outcomes: []*peerrpc.Outcome{{
		IntentId: string(intent.ID), KeyDigest: string(intent.Key), Answer: reply,
	}}}
	for ctx.Err() == nil {
		kept, err := w.Intend(ctx, RecorderOf(w.Follower.View(), partition), req)
		if err == nil && kept.GetOutcomesKept() {
			return
		}
		_ = clock.Sleep(ctx, w.Clock, logPause)
	}
	w.Logger.WithField("intent", intent.ID).Warn("outcome not recorded")
}

// recall asks the writer of the first intent what became of it, until it has an
// answer, the writer cannot be asked, or ctx ends. It returns nil where nobody
// can tell.
func (w *Writer) recall(ctx context.Context, first Intent) *peerrpc.RecallReply {
	req := &peerrpc.RecallRequest{IntentId: string(first.ID), WaitMs: recallWait.Milliseconds()}
	failures := 0
	for ctx.Err() == nil && failures < 2 {
		reply, err := w.Recall(ctx, first.Writer, req)
		switch {
		case err != nil:
			failures++
		case !reply.GetFound():
			return nil
		case !reply.GetRunning():
			return reply
		}
	}
	return nil
}

func (w *Writer) recalled(reply *peerrpc.RecallReply) (*call.Response, error) {
	if reply == nil || reply.GetAnswer() == nil {
		return nil, problem.NewUncertain(problem.KindUncertain, reasonUnknown)
	}
	return stored(reply.GetAnswer())
}

// stored returns a kept answer, marked as such.
func stored(reply *peerrpc.RunReply) (*call.Response, error) {
	if refusal := reply.GetRefusal(); refusal != nil {
		return nil, peer.DecodeError(refusal)
	}
	answer := peer.DecodeResponse(reply)
	answer.Header = answer.Header.Clone()
	answer.Header.Set("Plantainramp-Stored", "true")
	return answer, nil
}
