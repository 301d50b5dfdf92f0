package action

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/standin/logservice"
	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// newWriter returns a writer whose intents are recorded in the stand-in of the log.
func newWriter(t *testing.T) *Writer {
	t.Helper()
	server := httptest.NewServer((&logservice.Service{Clock: clock.System{}}).Handler())
	t.Cleanup(server.Close)
	log := &platformlog.Client{URL: server.URL}
	recorder := &Recorder{Log: log, Clock: clock.System{}, Logger: logs.Discard()}
	w := &Writer{
		Self: "w1", Follower: &config.Follower{Log: log, Clock: clock.System{}, Logger: logs.Discard()}, Clock: clock.System{}, Logger: logs.Discard(),
		Intend: func(ctx context.Context, _ fleet.MemberID, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
			return recorder.HandleIntend(ctx, req), nil
		},
	}
	t.Cleanup(w.Flush)
	return w
}

// newAction returns an action of an organisation, with the same key and body for all.
func newAction(organisation fleet.OrganisationID) *call.Call {
	return &call.Call{
		Organisation: organisation, Service: "calendar", Route: &ticket.Route{}, Method: "POST", Path: "/note",
		IdempotencyKey: "k1", Body: []byte("same"), Deadline: time.Now().Add(5 * time.Second),
	}
}

// runForOrganisation is a handler whose response names the call's organisation.
func runForOrganisation(_ context.Context, c *call.Call) (*call.Response, error) {
	return &call.Response{Status: 200, Body: []byte(c.Organisation)}, nil
}

// TestKeyOfOtherOrganisationHasItsOwnResponse guards against a stored response that goes
// to another organisation, which uses the same key for the same request.
func TestKeyOfOtherOrganisationHasItsOwnResponse(t *testing.T) {
	is := is.New(t)
	handle := newWriter(t).Middleware()(runForOrganisation)
	for range 2 { // the second time, the responses are stored ones
		for _, organisation := range []fleet.OrganisationID{"dakar", "lima"} {
			response, err := handle(t.Context(), newAction(organisation))
			is.NoErr(err)
			is.Equal(string(response.Body), string(organisation))
		}
	}
}

// TestVerdictOnOtherIntentIsNotUsed guards against an action that is answered with the
// stored response of another organisation's: the recorder's reply to an earlier message,
// which arrives as that to the next one, names another intent.
func TestVerdictOnOtherIntentIsNotUsed(t *testing.T) {
	is := is.New(t)
	w := newWriter(t)
	intend := w.Intend
	var earlier *peerrpc.IntendReply
	w.Intend = func(ctx context.Context, recorder fleet.MemberID, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
		if len(req.GetIntents()) > 0 && earlier != nil {
			late := earlier
			earlier = nil
			return late, nil
		}
		return intend(ctx, recorder, req)
	}
	handle := w.Middleware()(runForOrganisation)
	_, err := handle(t.Context(), newAction("dakar"))
	is.NoErr(err)
	w.Flush() // the response of dakar's action is recorded

	// The recorder's reply to a repeat of dakar's action at another node.
	key, body := keyDigest(newAction("dakar")), bodyDigest(newAction("dakar"))
	earlier, err = intend(t.Context(), "", &peerrpc.IntendRequest{
		Partition: int32(PartitionOf(key)),
		Intents:   []*peerrpc.Intent{{Id: "repeat", KeyDigest: string(key), BodyDigest: string(body), Writer: "w2"}},
	})
	is.NoErr(err)
	response, err := handle(t.Context(), newAction("lima"))
	is.NoErr(err)
	is.Equal(string(response.Body), "lima")
}
