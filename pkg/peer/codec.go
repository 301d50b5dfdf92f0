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

// milliPerWeight converts weights to the thousandths in messages.
const milliPerWeight = 1000

// EncodeCall returns the message that sends a call to the member target at peer p, with
// an allowance of retries. The clock of the peer must be known; see EnsureClock.
func EncodeCall(p *Peer, id fleet.CallID, target fleet.MemberID, c *call.Call, allowance int) *peerrpc.RunRequest {
	startBy, _ := p.ToPeerClock(c.StartDeadline())
	deadline, _ := p.ToPeerClock(c.Deadline)
	return &peerrpc.RunRequest{
		CallId:         string(id),
		RequestId:      string(c.Request),
		Target:         string(target),
		Organisation:   string(c.Organisation),
		Service:        string(c.Service),
		Method:         c.Method,
		Path:           c.Path,
		Headers:        encodeHeaders(c.Header),
		Body:           c.Body,
		Class:          int32(c.Route.Class),
		Depth:          int32(c.Depth),
		Allowance:      int32(allowance),
		Idempotent:     c.Route.Idempotent,
		StartBy:        startBy,
		Deadline:       deadline,
		Route:          c.Route.Pattern,
		WeightMilli:    int64(c.Weight * milliPerWeight),
		IdempotencyKey: c.IdempotencyKey,
	}
}

// DecodeCall returns the call in a message. The times in messages count from start, the
// start of the clock of this process.
func DecodeCall(req *peerrpc.RunRequest, start time.Time) *call.Call {
	return &call.Call{
		Request:      fleet.RequestID(req.GetRequestId()),
		Organisation: fleet.OrganisationID(req.GetOrganisation()),
		Weight:       float64(req.GetWeightMilli()) / milliPerWeight,
		Service:      fleet.ServiceName(req.GetService()),
		Route: &ticket.Route{
			Method: req.GetMethod(), Pattern: req.GetRoute(),
			Class: fleet.Class(req.GetClass()), Idempotent: req.GetIdempotent(),
		},
		Method:         req.GetMethod(),
		Path:           req.GetPath(),
		Header:         decodeHeaders(req.GetHeaders()),
		Body:           req.GetBody(),
		Deadline:       start.Add(time.Duration(req.GetDeadline())),
		StartBy:        start.Add(time.Duration(req.GetStartBy())),
		Depth:          int(req.GetDepth()),
		Retries:        retry.NewAllowance(int(req.GetAllowance())),
		IdempotencyKey: req.GetIdempotencyKey(),
	}
}

// EncodeResult returns the message with the result of a call: err if it is not nil, and
// response otherwise.
func EncodeResult(id fleet.CallID, response *call.Response, err error) *peerrpc.RunReply {
	reply := &peerrpc.RunReply{CallId: string(id)}
	if err != nil {
		reply.Refusal = EncodeError(err)
	} else {
		reply.Status = int32(response.Status)
		reply.Headers = encodeHeaders(response.Header)
		reply.Body = response.Body
		reply.Shed = response.Shed
	}
	reply.BodyHash = xxhash.Sum64(reply.GetBody())
	return reply
}

// DecodeResponse returns the response in a message that has no refusal.
func DecodeResponse(reply *peerrpc.RunReply) *call.Response {
	return &call.Response{
		Status: int(reply.GetStatus()),
		Header: decodeHeaders(reply.GetHeaders()),
		Body:   reply.GetBody(),
		Shed:   reply.GetShed(),
	}
}

// EncodeError returns the message with an error of a call. An error that is not a
// *problem.Error becomes one of KindUncertain.
func EncodeError(err error) *peerrpc.Refusal {
	p, ok := err.(*problem.Error)
	if !ok {
		p = problem.NewUncertain(problem.KindUncertain, "the node failed")
	}
	return &peerrpc.Refusal{
		Kind: string(p.Kind), Detail: p.Detail, Run: string(p.Execution),
		RetryAfterMs: p.RetryAfter.Milliseconds(), Full: p.Full,
	}
}

// DecodeError returns the error in a message.
func DecodeError(r *peerrpc.Refusal) *problem.Error {
	return &problem.Error{
		Kind: problem.Kind(r.GetKind()), Detail: r.GetDetail(), Execution: problem.Execution(r.GetRun()),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond, Full: r.GetFull(),
	}
}

func encodeHeaders(h http.Header) []*peerrpc.Header {
	list := make([]*peerrpc.Header, 0, len(h))
	for name, values := range h {
		list = append(list, &peerrpc.Header{Name: name, Values: values})
	}
	return list
}

func decodeHeaders(list []*peerrpc.Header) http.Header {
	h := make(http.Header, len(list))
	for _, header := range list {
		h[header.GetName()] = header.GetValues()
	}
	return h
}
