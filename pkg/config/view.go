package config

import (
	"cmp"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// View is an immutable state with the indexes used to serve requests.
type View struct {
	State *state.State
	// ByService holds the members of each service, sorted by id.
	ByService map[fleet.ServiceName][]*state.Member
	// ByDataCentre holds the members of each data centre, sorted by id.
	ByDataCentre map[fleet.DataCentre][]*state.Member
	// Members holds all members, sorted by data centre and id.
	Members []*state.Member
	// serviceByHost maps Host headers to services.
	serviceByHost map[string]fleet.ServiceName
}

func newView(s *state.State) *View {
	v := &View{
		State:         s,
		ByService:     map[fleet.ServiceName][]*state.Member{},
		ByDataCentre:  map[fleet.DataCentre][]*state.Member{},
		serviceByHost: map[string]fleet.ServiceName{},
	}
	for _, m := range s.Members {
		v.Members = append(v.Members, &m)
	}
	slices.SortFunc(v.Members, func(a, b *state.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range v.Members {
		v.ByService[m.Service] = append(v.ByService[m.Service], m)
		v.ByDataCentre[m.DataCentre] = append(v.ByDataCentre[m.DataCentre], m)
	}
	for name, service := range s.Services {
		if service.Value.Host != "" {
			v.serviceByHost[service.Value.Host] = name
		}
	}
	return v
}

// Ready reports whether at least one config record has been applied.
func (v *View) Ready() bool { return v.State.NextOffset > 0 }

// Member returns the member with the given id, or nil.
func (v *View) Member(id fleet.MemberID) *state.Member {
	m, known := v.State.Members[id]
	if !known {
		return nil
	}
	return &m
}

// Service returns the service with the given name, or nil.
func (v *View) Service(name fleet.ServiceName) *ticket.Service {
	s, known := v.State.Services[name]
	if !known {
		return nil
	}
	return &s.Value
}

// ServiceOfHost returns the service that is configured for a Host header, and false
// if there is none.
func (v *View) ServiceOfHost(host string) (fleet.ServiceName, bool) {
	name, known := v.serviceByHost[host]
	return name, known
}

// Organisation returns the organisation with the given id, or nil.
func (v *View) Organisation(id fleet.OrganisationID) *ticket.Organisation {
	o, known := v.State.Organisations[id]
	if !known {
		return nil
	}
	return &o.Value
}

// Authenticate returns the organisation of a presented API key, and false if the key
// is unknown, malformed, withdrawn or has a wrong secret.
func (v *View) Authenticate(presented string) (fleet.OrganisationID, bool) {
	id, secret, ok := ticket.SplitKey(presented)
	if !ok {
		return "", false
	}
	key, known := v.State.Keys[id]
	if !known || key.Value.State != ticket.KeyActive || !key.Value.Digest.Matches(secret) {
		return "", false
	}
	return key.Value.Organisation, true
}

// Leaving reports whether a ticket has taken the instance out of service.
func (v *View) Leaving(instance fleet.InstanceName) bool {
	return v.State.Upstreams[instance].Value.State == ticket.UpstreamLeaving
}
