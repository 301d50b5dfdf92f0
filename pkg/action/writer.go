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
	// maxRecallWait is how long one question to another writer waits.
	maxRecallWait = time.Second
	// executionReserve is what an action keeps of its deadline to run.
	executionReserve = 50 * time.Millisecond
	// recordOutcomeTimeout bounds the wait for an outcome to be recorded.
	recordOutcomeTimeout = 10 * time.Second
	// maxOutcomeBodyBytes bounds the answers that go into the log, in bytes.
	maxOutcomeBodyBytes = 16 << 10
	// unknownOutcomeDetail is the detail of a refusal whose fate nobody can tell.
	unknownOutcomeDetail = "an earlier request with this idempotency key may have run, and the node that recorded it cannot tell"
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

	entries       entryCache
	outcomeWrites sync.WaitGroup
}

// RecorderOf returns the member that records a partition's intents.
func RecorderOf(v *config.View, partition int) fleet.MemberID {
	var best fleet.MemberID
	var bestScore uint64
	key := "recorder." + string(rune('a'+partition))
	for _, m := range v.Members {
		if score := fleet.RendezvousScore(key, m.ID); best == "" || score > bestScore {
			best, bestScore = m.ID, score
		}
	}
	return best
}

// Middleware returns the filter that runs each action at most once.
func (w *Writer) Middleware() call.Middleware {
	w.entries.clock = w.Clock
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if w.Off || !c.IsAction() || c.IdempotencyKey == "" {
				return next(ctx, c)
			}
			return w.handle(ctx, c, next)
		}
	}
}

// HandleRecall tells another node what became of an intent of this writer.
func (w *Writer) HandleRecall(ctx context.Context, id IntentID, maxWait time.Duration) *peerrpc.RecallReply {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	return w.entries.awaitResult(ctx, id)
}

func (w *Writer) handle(ctx context.Context, c *call.Call, next call.Handler) (*call.Response, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	for {
		e, created, replaced := w.entries.begin(w.newIntent(c))
		if e.intent.Body != bodyDigest(c) {
			return nil, problem.New(problem.KindKeyReused, "use a new idempotency key for another request")
		}
		if created {
			var abandoned IntentID
			if replaced != nil {
				abandoned = replaced.intent.ID
			}
			return w.resolve(ctx, c, e, abandoned, next)
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, problem.NewUncertain(problem.KindDeadline, "the action with this key is still under way")
		}
		if e.stage == stageDone {
			return storedResponse(e.reply)
		}
	}
}

func (w *Writer) newIntent(c *call.Call) Intent {
	return Intent{ID: IntentID(fleet.NewID()), Key: keyDigest(c), Body: bodyDigest(c), Writer: w.Self}
}

// resolve records the intent of e until it is known which intent is first, and
// acts on that.
func (w *Writer) resolve(ctx context.Context, c *call.Call, e *entry, abandoned IntentID, next call.Handler) (*call.Response, error) {
	for {
		verdict, err := w.recordIntent(ctx, e, abandoned)
		if err != nil {
			return nil, w.abandon(e, err)
		}
		first := intentFromMessage(verdict.GetFirst())
		if first.ID == e.intent.ID {
			return w.runAction(ctx, c, e, next)
		}
		if first.Body != e.intent.Body {
			w.discard(e)
			return nil, problem.New(problem.KindKeyReused, "use a new idempotency key for another request")
		}
		if verdict.GetAnswer() != nil {
			w.discard(e)
			return storedResponse(verdict.GetAnswer())
		}
		reply := w.askWriter(ctx, first)
		if reply == nil || !reply.GetAbandoned() {
			w.discard(e)
			return w.recalledResponse(reply)
		}
		abandoned = first.ID
	}
}

// recordIntent asks the recorder for the first intent of e's key.
func (w *Writer) recordIntent(ctx context.Context, e *entry, abandoned IntentID) (*peerrpc.Verdict, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-executionReserve))
	defer cancel()
	message := e.intent.toMessage()
	message.Abandoned = string(abandoned)
	partition := PartitionOf(e.intent.Key)
	req := &peerrpc.IntendRequest{Partition: int32(partition), Intents: []*peerrpc.Intent{message}}
	for ctx.Err() == nil {
		reply, err := w.Intend(ctx, RecorderOf(w.Follower.View(), partition), req)
		if err == nil && len(reply.GetVerdicts()) == 1 && reply.GetVerdicts()[0].GetDecided() {
			return reply.GetVerdicts()[0], nil
		}
		if clock.Sleep(ctx, w.Clock, logRetryDelay/4) != nil {
			break
		}
	}
	return nil, &UndecidedError{Intent: e.intent.ID}
}

// abandon gives an intent up for good; its record may still turn up, but it
// never runs.
func (w *Writer) abandon(e *entry, cause error) error {
	w.Logger.WithError(cause).WithField("intent", e.intent.ID).Warn("action refused")
	w.entries.finish(e, stageAbandoned, nil)
	p := problem.New(problem.KindActionNotRecorded, "the action could not be recorded in time; repeat it with the same idempotency key")
	p.RetryAfter = time.Second
	return p
}

// discard forgets an intent that came second.
func (w *Writer) discard(e *entry) {
	w.entries.finish(e, stageAbandoned, nil)
	w.entries.releaseKey(e)
}

func (w *Writer) runAction(ctx context.Context, c *call.Call, e *entry, next call.Handler) (*call.Response, error) {
	if !w.entries.start(e) {
		return nil, problem.New(problem.KindActionNotRecorded, "the action was given up before it ran")
	}
	response, err := next(ctx, c)
	if p, isProblem := err.(*problem.Error); isProblem && p.Execution == problem.NotExecuted {
		w.entries.finish(e, stageAbandoned, nil)
		return nil, err
	}
	reply := peer.Reply("", response, err)
	w.entries.finish(e, stageDone, reply)
	w.outcomeWrites.Go(func() { w.recordOutcome(e.intent, reply) })
	return response, err
}

// Flush waits until the outcomes of finished actions are recorded.
func (w *Writer) Flush() { w.outcomeWrites.Wait() }

// recordOutcome records an outcome, so that repeats have the answer even when this node
// has gone. Where that fails, repeats are told that nobody knows.
func (w *Writer) recordOutcome(intent Intent, reply *peerrpc.RunReply) {
	ctx, cancel := context.WithTimeout(context.Background(), recordOutcomeTimeout)
	defer cancel()
	if len(reply.GetBody()) > maxOutcomeBodyBytes {
		reply = peer.Reply("", nil, &problem.Error{Kind: problem.KindUncertain, Execution: problem.Executed, Detail: "the action ran; its answer was too large to keep"})
	}
	partition := PartitionOf(intent.Key)
	req := &peerrpc.IntendRequest{Partition: int32(partition), Outcomes: []*peerrpc.Outcome{{
		IntentId: string(intent.ID), KeyDigest: string(intent.Key), Answer: reply,
	}}}
	for ctx.Err() == nil {
		intendReply, err := w.Intend(ctx, RecorderOf(w.Follower.View(), partition), req)
		if err == nil && intendReply.GetOutcomesKept() {
			return
		}
		_ = clock.Sleep(ctx, w.Clock, logRetryDelay)
	}
	w.Logger.WithField("intent", intent.ID).Warn("outcome not recorded")
}

// askWriter asks the writer of the first intent what became of it, until it has an
// answer, the writer cannot be asked, or ctx ends. It returns nil where nobody
// can tell.
func (w *Writer) askWriter(ctx context.Context, first Intent) *peerrpc.RecallReply {
	req := &peerrpc.RecallRequest{IntentId: string(first.ID), WaitMs: maxRecallWait.Milliseconds()}
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

func (w *Writer) recalledResponse(reply *peerrpc.RecallReply) (*call.Response, error) {
	if reply == nil || reply.GetAnswer() == nil {
		return nil, problem.NewUncertain(problem.KindUncertain, unknownOutcomeDetail)
	}
	return storedResponse(reply.GetAnswer())
}

// storedResponse returns a kept answer, marked as such.
func storedResponse(reply *peerrpc.RunReply) (*call.Response, error) {
	if refusal := reply.GetRefusal(); refusal != nil {
		return nil, peer.Problem(refusal)
	}
	response := peer.Answer(reply)
	response.Header = response.Header.Clone()
	response.Header.Set("Plantainramp-Stored", "true")
	return response, nil
}
