package entrance

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// usedRatio and usedSlack are the parts of the operator's budget that entrances
	// use; the rest is for calls of repeated runs that are not seen as repeats.
	usedRatio = 0.65
	usedSlack = 0.8
	// mostOwed bounds what calls of repeated runs take from later repeats.
	mostOwed = 10.0
	// borrowFrom is how many peers are asked for tokens at once.
	borrowFrom = 5
	// borrowWanted is how many tokens are asked for, so that the next requests have theirs.
	borrowWanted = 3
	// borrowTimeout bounds the wait for a peer's tokens.
	borrowTimeout = 30 * time.Millisecond
)

// Repeats bounds the requests that are sent to a further instance, over all
// nodes together.
type Repeats struct {
	// Ratio is the part of a service's requests that may be sent once more.
	Ratio float64
	// Slack is what may be sent once more beside that in a window, over all nodes.
	Slack float64
}

// budget ties sending requests once more to the requests of each service at
// this entrance, so that the sum over all nodes stays within the operator's
// budget. The zero value allows none.
type budget struct {
	mu    sync.Mutex
	saved map[fleet.ServiceName]float64
	// share is earned by each request; most bounds what is saved.
	share, most float64
}

// set brings the budget up to the number of nodes that share it.
func (b *budget) set(r Repeats, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = r.Ratio * usedRatio
	b.most = 0
	if b.share > 0 {
		b.most = max(1, r.Slack*usedSlack/float64(max(nodes, 1)))
	}
}

func (b *budget) requested(service fleet.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved == nil {
		b.saved = map[fleet.ServiceName]float64{}
	}
	b.saved[service] = min(b.saved[service]+b.share, b.most)
}

// spent counts calls that repeat others because the run that makes them does.
func (b *budget) spent(service fleet.ServiceName, calls float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved == nil {
		b.saved = map[fleet.ServiceName]float64{}
	}
	b.saved[service] = max(b.saved[service]-calls, -mostOwed)
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

// service returns the service that the request goes to.
func (r *Request) service() fleet.ServiceName { return fleet.ServiceName(r.run.Service) }

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
		granted, err := peer.Borrow(ctx, id, borrowWanted)
		if err != nil && e.NotLent != nil {
			e.NotLent(r, peer, err)
		}
		e.Shares.AddBorrowed(id, granted)
		if e.Shares.Take(id) {
			return true
		}
	}
	e.Shares.PauseBorrowing(id)
	return false
}
