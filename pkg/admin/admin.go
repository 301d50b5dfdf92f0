// Package admin serves the read-only HTTP API of a node for operators: its status, the
// configuration in effect, and metrics. The OpenAPI description is served at
// /openapi.json.
package admin

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

type (
	// Status is the status of one node.
	Status struct {
		Member     fleet.MemberID     `json:"member"`
		Instance   fleet.InstanceName `json:"instance"`
		Service    fleet.ServiceName  `json:"service"`
		DataCentre fleet.DataCentre   `json:"dataCentre"`
		// Next is the offset of the first record of the config stream that the node has
		// not applied.
		Next          platformlog.Offset `json:"next"`
		Digest        string             `json:"digest" doc:"digest of the folded state; equal on nodes with equal next"`
		LogSeenMs     int64              `json:"logSeenMs" doc:"age of the last read of the log, -1 for never"`
		InFlight      int                `json:"inFlight"`
		Limit         int                `json:"limit"`
		Queued        int                `json:"queued"`
		Shed          int64              `json:"shed"`
		RateSlots     int                `json:"rateSlots"`
		Leaving       bool               `json:"leaving"`
		UpstreamReady bool               `json:"upstreamReady"`
	}
	// Objects is the configuration in effect. Each object names the ticket that set it
	// and the ticket that was in effect before.
	Objects struct {
		Organisations []state.InForce[ticket.Organisation] `json:"organisations"`
		Keys          []state.InForce[ticket.Key]          `json:"keys"`
		Services      []state.InForce[ticket.Service]      `json:"services"`
		Upstreams     []state.InForce[ticket.Upstream]     `json:"upstreams"`
	}

	statusOutput  struct{ Body Status }
	objectsOutput struct{ Body Objects }
	membersOutput struct{ Body []state.Member }
	ticketsOutput struct{ Body []state.Verdict }
	slotsOutput   struct{ Body []state.Slot }
	verdictOutput struct{ Body state.Verdict }
	verdictInput  struct {
		Number uint64 `path:"number"`
		Digest string `query:"digest" doc:"digest of the ticket's content; without it, the first ticket of the number"`
	}
)

// API is the admin API of one node. All fields must be set. It is safe for concurrent
// use.
type API struct {
	Follower *config.Follower
	// Status returns the current status of the node.
	Status func() Status
	// Metrics serves the metrics in the Prometheus text format.
	Metrics http.Handler
	Version string
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("plantainramp node", a.Version))
	huma.Get(api, "/status", a.status)
	huma.Get(api, "/objects", a.objects)
	huma.Get(api, "/members", a.members)
	huma.Get(api, "/slots", a.slots)
	huma.Get(api, "/tickets", a.tickets)
	huma.Get(api, "/tickets/{number}", a.ticket)
	mux.Handle("GET /metrics", a.Metrics)
	mux.HandleFunc("GET /ready", a.ready)
	return mux
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Follower.View().Ready() {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	}
}

func (a *API) status(context.Context, *struct{}) (*statusOutput, error) {
	return &statusOutput{Body: a.Status()}, nil
}

func (a *API) objects(context.Context, *struct{}) (*objectsOutput, error) {
	current := a.Follower.View().State
	return &objectsOutput{Body: Objects{
		Organisations: sortedValues(current.Organisations), Keys: sortedValues(current.Keys),
		Services: sortedValues(current.Services), Upstreams: sortedValues(current.Upstreams),
	}}, nil
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	return lo.Map(slices.Sorted(maps.Keys(values)), func(key K, _ int) V { return values[key] })
}

func (a *API) members(context.Context, *struct{}) (*membersOutput, error) {
	members := lo.Map(a.Follower.View().Members, func(m *state.Member, _ int) state.Member { return *m })
	return &membersOutput{Body: members}, nil
}

func (a *API) slots(context.Context, *struct{}) (*slotsOutput, error) {
	return &slotsOutput{Body: a.Follower.View().State.Slots}, nil
}

func (a *API) tickets(context.Context, *struct{}) (*ticketsOutput, error) {
	return &ticketsOutput{Body: sortedValues(a.Follower.View().State.Verdicts)}, nil
}

func (a *API) ticket(_ context.Context, input *verdictInput) (*verdictOutput, error) {
	current := a.Follower.View().State
	number := fleet.TicketNumber(input.Number)
	verdict, found := current.Verdicts[number]
	if input.Digest != "" {
		verdict, found = current.VerdictOn(number, ticket.Digest(input.Digest))
	}
	if !found {
		return nil, huma.Error404NotFound("this node has read no such ticket from the log")
	}
	return &verdictOutput{Body: verdict}, nil
}
