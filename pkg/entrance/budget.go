package entrance

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// repeatShare is the part of a service's requests that may be sent once more.
	repeatShare = 0.13
	// repeatCap bounds saved repeats.
	repeatCap = 4.0
	// borrowFrom is how many peers are asked for tokens at once.
	borrowFrom = 5
	// borrowWanted is how many tokens are asked for, so that the next requests have theirs.
	borrowWanted = 3
	// borrowTimeout bounds the wait for a peer's tokens.
	borrowTimeout = 30 * time.Millisecond
)

// budget ties sending requests once more to the requests of each service at
// this entrance, so that the sum over all nodes stays a part of all requests.
// The zero value works.
type budget struct {
	mu    sync.Mutex
	saved map[fleet.ServiceName]float64
}

func (b *budget) requested(service fleet.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved == nil {
		b.saved = map[fleet.ServiceName]float64{}
	}
	b.saved[service] = min(b.saved[service]+repeatShare, repeatCap)
}

// spent counts calls that repeat others because the run that makes them does.
func (b *budget) spent(service fleet.ServiceName, calls float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[service] = max(b.saved[service]-calls, -repeatCap)
}

func (b *budget) take(service fleet.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved[service] < 1 {
		return false
	}
	b.saved[service]--
	return true
}

func fleetService(r *Request) fleet.ServiceName { return fleet.ServiceName(r.run.Service) }

// spend uses a token of the request's organisation, borrowing from peers where
// this node has none left.
func (e *Entrance) spend(ctx context.Context, r *Request) bool {
	if r.Organisation == nil || r.Organisation.Rate <= 0 {
		return true
	}
	id := r.Organisation.ID
	if e.Shares.Take(id) {
		return true
	}
	if !e.Shares.MayBorrow(id) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for _, peer := range e.Peers.Others(borrowFrom) {
		e.Shares.Add(id, peer.Borrow(ctx, id, borrowWanted))
		if e.Shares.Take(id) {
			return true
		}
	}
	e.Shares.Dry(id)
	return false
}
