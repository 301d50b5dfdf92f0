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
	// maxRecallWait is how long the writer of an earlier intent may wait for the end of
	// the action before it responds to a Recall request.
	maxRecallWait = time.Second
	// executionReserve is the time before the deadline that is left for running the
	// action, and not used for recording its intent.
	executionReserve = 50 * time.Millisecond
	// recordOutcomeTimeout bounds the attempts to record an outcome.
	recordOutcomeTimeout = 10 * time.Second
	// maxOutcomeBodyBytes bounds the response bodies that are recorded in the log.
	maxOutcomeBodyBytes = 16 << 10
	// unknownOutcomeDetail is the detail of a refusal when the outcome of an earlier
	// request is neither recorded nor available from its writer.
	unknownOutcomeDetail = "an earlier request with this idempotency key may have run, and the node that recorded it cannot tell"
)

// Writer runs the actions that this node receives with an idempotency key. All exported
// fields must be set.
type Writer struct {
	// Self is the id of the local member.
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	Logger   *logs.Logger
	// Intend and Recall send a request to a member, which may be the local one.
	Intend intendFunc
	Recall recallFunc
	// Disabled turns off the protection: every action runs without a recorded intent.
	Disabled bool

	entries entryCache
	// outcomeWrites counts the running calls of recordOutcome.
	outcomeWrites sync.WaitGroup
}

// RecorderOf returns the member that records the intents of a partition, chosen by
// rendezvous hashing. It returns "" if the view has no members. Members with different
// views may choose different recorders; the order of the log still decides.
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

// Middleware returns the middleware that runs each action at most once. It passes on
// idempotent calls and calls without an idempotency key.
func (w *Writer) Middleware() call.Middleware {
	w.entries.clock = w.Clock
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if w.Disabled || !c.IsAction() || c.IdempotencyKey == "" {
				return next(ctx, c)
			}
			return w.handle(ctx, c, next)
		}
	}
}

// HandleRecall handles a Recall request: it returns the result of an intent of this
// writer. If the action is still running, it waits up to maxWait for its end.
func (w *Writer) HandleRecall(ctx context.Context, id IntentID, maxWait time.Duration) *peerrpc.RecallReply {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	return w.entries.awaitResult(ctx, id)
}

// handle runs an action, or returns the response of an earlier request with the same
// key. It continues until the deadline even if the caller disconnects, so that the
// response is available to a repeated request.
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

// resolve records the intent of e and finds the first intent for its key. If e is the
// first, it runs the action. Otherwise it returns the response of the first one, or
// renews the key if the writer of the first one has abandoned it. abandoned is an
// earlier intent for the key that e replaces, or "".
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

// recordIntent sends the intent of e to the recorder of its partition until it gets the
// verdict: the first intent for the key. It returns *UndecidedError if no verdict has
// arrived by executionReserve before the deadline of ctx.
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
		if err == nil {
			if verdict := decidedVerdict(reply, e.intent); verdict != nil {
				return verdict, nil
			}
		}
		if clock.Sleep(ctx, w.Clock, logRetryDelay/4) != nil {
			break
		}
	}
	return nil, &UndecidedError{Intent: e.intent.ID}
}

// decidedVerdict returns the verdict on an intent, or nil if reply has none or is the
// reply to another request.
func decidedVerdict(reply *peerrpc.IntendReply, intent Intent) *peerrpc.Verdict {
	if len(reply.GetVerdicts()) != 1 {
		return nil
	}
	verdict := reply.GetVerdicts()[0]
	if !verdict.GetDecided() || IntentID(verdict.GetId()) != intent.ID || KeyDigest(verdict.GetFirst().GetKeyDigest()) != intent.Key {
		return nil
	}
	return verdict
}

// abandon marks an intent as abandoned and returns the refusal for its caller. The
// record of the intent may still appear in the log, but its action never runs.
func (w *Writer) abandon(e *entry, cause error) error {
	w.Logger.WithError(cause).WithField("intent", e.intent.ID).Warn("action refused: its intent could not be recorded")
	w.entries.finish(e, stageAbandoned, nil)
	p := problem.New(problem.KindActionNotRecorded, "the action could not be recorded in time; repeat it with the same idempotency key")
	p.RetryAfter = time.Second
	return p
}

// discard abandons an intent that is not the first one for its key.
func (w *Writer) discard(e *entry) {
	w.entries.finish(e, stageAbandoned, nil)
	w.entries.releaseKey(e)
}

// runAction runs an action whose intent is the first one for its key. If the call was
// certainly not executed, the intent is abandoned, so that a repeated request can run.
func (w *Writer) runAction(ctx context.Context, c *call.Call, e *entry, next call.Handler) (*call.Response, error) {
	if !w.entries.start(e) {
		return nil, problem.New(problem.KindActionNotRecorded, "the action was given up before it ran")
	}
	response, err := next(ctx, c)
	if p, isProblem := err.(*problem.Error); isProblem && p.Execution == problem.NotExecuted {
		w.entries.finish(e, stageAbandoned, nil)
		return nil, err
	}
	reply := peer.EncodeResult("", response, err)
	w.entries.finish(e, stageDone, reply)
	w.outcomeWrites.Go(func() { w.recordOutcome(e.intent, reply) })
	return response, err
}

// Flush waits until the outcomes of finished actions are recorded.
func (w *Writer) Flush() { w.outcomeWrites.Wait() }

// recordOutcome records the reply of an action, so that other nodes can return it when
// this one is no longer available. If recording fails, a repeated request is refused
// with an unknown outcome from then on.
func (w *Writer) recordOutcome(intent Intent, reply *peerrpc.RunReply) {
	ctx, cancel := context.WithTimeout(context.Background(), recordOutcomeTimeout)
	defer cancel()
	if len(reply.GetBody()) > maxOutcomeBodyBytes {
		reply = peer.EncodeResult("", nil, &problem.Error{Kind: problem.KindUncertain, Execution: problem.Executed, Detail: "the action ran; its answer was too large to keep"})
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
	w.Logger.WithField("intent", intent.ID).Warn("outcome of action not recorded")
}

// askWriter asks the writer of the first intent for its result, repeatedly while the
// action is running. It returns nil if the writer doesn't know the intent, if two
// requests fail, or if ctx ends.
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

// recalledResponse converts the result of another writer's intent, which may be nil, to
// a response.
func (w *Writer) recalledResponse(reply *peerrpc.RecallReply) (*call.Response, error) {
	if reply == nil || reply.GetAnswer() == nil {
		return nil, problem.NewUncertain(problem.KindUncertain, unknownOutcomeDetail)
	}
	return storedResponse(reply.GetAnswer())
}

// storedResponse converts the reply of an earlier request to a response, marked with the
// header Plantainramp-Stored, or to the refusal that it carries.
func storedResponse(reply *peerrpc.RunReply) (*call.Response, error) {
	if refusal := reply.GetRefusal(); refusal != nil {
		return nil, peer.DecodeError(refusal)
	}
	response := peer.DecodeResponse(reply)
	response.Header = response.Header.Clone()
	response.Header.Set("Plantainramp-Stored", "true")
	return response, nil
}
