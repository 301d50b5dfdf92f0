package peer

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// weightUnit is the weight 1 in messages.
const weightUnit = 1000

// Request writes a call as a message to the peer. The peer's clock must be
// known.
func Request(p *Peer, id fleet.CallID, target fleet.MemberID, c *call.Call, lent int) *peerrpc.RunRequest {
	startBy, _ := p.OnTheirClock(c.StartDeadline())
	deadline, _ := p.OnTheirClock(c.Deadline)
	return &peerrpc.RunRequest{
		CallId:         string(id),
		RequestId:      string(c.Request),
		Target:         string(target),
		Organisation:   string(c.Organisation),
		Service:        string(c.Service),
		Method:         c.Method,
		Path:           c.Path,
		Headers:        headers(c.Header),
		Body:           c.Body,
		Class:          int32(c.Route.Class),
		Depth:          int32(c.Depth),
		Allowance:      int32(lent),
		Idempotent:     c.Route.Idempotent,
		StartBy:        startBy,
		Deadline:       deadline,
		Route:          c.Route.Pattern,
		WeightMilli:    int64(c.Weight * weightUnit),
		IdempotencyKey: c.IdempotencyKey,
	}
}

// Call reads a call from a message. The start of this process's clock gives
// the times their meaning.
func Call(req *peerrpc.RunRequest, start time.Time) *call.Call {
	return &call.Call{
		Request:      fleet.RequestID(req.GetRequestId()),
		Organisation: fleet.OrganisationID(req.GetOrganisation()),
		Weight:       float64(req.GetWeightMilli()) / weightUnit,
		Service:      fleet.ServiceName(req.GetService()),
		Route: &ticket.Route{
			Method: req.GetMethod(), Pattern: req.GetRoute(),
			Class: fleet.Class(req.GetClass()), Idempotent: req.GetIdempotent(),
		},
		Method:         req.GetMethod(),
		Path:           req.GetPath(),
		Header:         fromHeaders(req.GetHeaders()),
		Body:           req.GetBody(),
		Deadline:       start.Add(time.Duration(req.GetDeadline())),
		StartBy:        start.Add(time.Duration(req.GetStartBy())),
		Depth:          int(req.GetDepth()),
		Retries:        retry.NewAllowance(int(req.GetAllowance())),
		IdempotencyKey: req.GetIdempotencyKey(),
	}
}

// Reply writes the outcome of a call as a message.
func Reply(id fleet.CallID, answer *call.Response, err error) *peerrpc.RunReply {
	reply := &peerrpc.RunReply{CallId: string(id)}
	if err != nil {
		reply.Refusal = Refusal(err)
	} else {
		reply.Status = int32(answer.Status)
		reply.Headers = headers(answer.Header)
		reply.Body = answer.Body
		reply.Shed = answer.Shed
	}
	reply.BodyHash = xxhash.Sum64(reply.GetBody())
	return reply
}

// Answer reads an answer from a message.
func Answer(reply *peerrpc.RunReply) *call.Response {
	return &call.Response{
		Status: int(reply.GetStatus()),
		Header: fromHeaders(reply.GetHeaders()),
		Body:   reply.GetBody(),
		Shed:   reply.GetShed(),
	}
}

// Refusal writes an error as a message; one that is no problem is written as
// uncertain.
func Refusal(err error) *peerrpc.Refusal {
	p, ok := err.(*problem.Error)
	if !ok {
		p = problem.NewUncertain(problem.KindUncertain, "the node failed")
	}
	return &peerrpc.Refusal{
		Kind: string(p.Kind), Detail: p.Detail, Run: string(p.Execution),
		RetryAfterMs: p.RetryAfter.Milliseconds(), Full: p.Full,
	}
}

// Problem reads a refusal from a message.
func Problem(r *peerrpc.Refusal) *problem.Error {
	return &problem.Error{
		Kind: problem.Kind(r.GetKind()), Detail: r.GetDetail(), Execution: problem.Execution(r.GetRun()),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond, Full: r.GetFull(),
	}
}

func headers(h http.Header) []*peerrpc.Header {
	list := make([]*peerrpc.Header, 0, len(h))
	for name, values := range h {
		list = append(list, &peerrpc.Header{Name: name, Values: values})
	}
	return list
}

func fromHeaders(list []*peerrpc.Header) http.Header {
	h := make(http.Header, len(list))
	for _, header := range list {
		h[header.GetName()] = header.GetValues()
	}
	return h
}
