package entrance

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/recovery"
)

const (
	// maxBorrowPeers is the number of peers that are asked for rate limit tokens for
	// one request.
	maxBorrowPeers = 5
	// borrowTimeout bounds the time that one request waits for borrowed tokens.
	borrowTimeout = 30 * time.Millisecond
	// loanTimeout bounds the time of one loan. What comes after borrowTimeout serves later
	// requests.
	loanTimeout = 2 * time.Second
)

// takeRateToken uses one rate limit token of the request's organisation and
// reports whether there was one. If this node has none, it borrows from the home of the
// organisation, or from other peers if that does not answer.
func (e *Entrance) takeRateToken(ctx context.Context, r *Request) bool {
	if r.Organisation == nil || r.Organisation.Rate <= 0 {
		return true
	}
	id := r.Organisation.ID
	if e.RateLimiter.Take(id) {
		return true
	}
	if !e.RateLimiter.MayBorrow(id) {
		return false
	}
	if e.borrow(ctx, r) {
		return true
	}
	e.RateLimiter.PauseBorrowing(id)
	return false
}

// borrow borrows tokens from peers and uses one of them. It reports whether there was one.
func (e *Entrance) borrow(ctx context.Context, r *Request) bool {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	peers := e.lenders(r.Organisation.ID)
	for i := 0; i < len(peers) && ctx.Err() == nil; i++ {
		if err := e.awaitLoan(ctx, r.Organisation.ID, peers[i]); err != nil && e.OnBorrowError != nil {
			e.OnBorrowError(r, peers[i], err)
		}
		if e.RateLimiter.TakeBorrowed(r.Organisation.ID) {
			return true
		}
	}
	return false
}

// awaitLoan borrows tokens from a peer and adds them to those of this node. It returns the
// error of ctx if that ends first.
func (e *Entrance) awaitLoan(ctx context.Context, id fleet.OrganisationID, peer *peering.Peer) error {
	loanCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), loanTimeout)
	ended := make(chan error, 1)
	go func() { ended <- e.takeLoan(loanCtx, id, peer) }()
	select {
	case err := <-ended:
		cancel()
		return err
	case <-ctx.Done():
		e.keepLoan(id, ended, cancel)
		return ctx.Err()
	}
}

// keepLoan lets a loan go on that nobody waits for: the peer may have deducted the tokens,
// which would be lost. One for each organisation brings all that a node may hold, so that
// others are cancelled.
func (e *Entrance) keepLoan(id fleet.OrganisationID, ended <-chan error, cancel context.CancelFunc) {
	if _, kept := e.lateLoans.LoadOrStore(id, true); kept {
		cancel()
		return
	}
	go func() {
		defer cancel()
		<-ended
		e.lateLoans.Delete(id)
	}()
}

// takeLoan asks a peer for tokens and adds them to those of this node.
func (e *Entrance) takeLoan(ctx context.Context, id fleet.OrganisationID, peer *peering.Peer) (err error) {
	panicked := recovery.Run("a loan", func() {
		var granted float64
		granted, err = peer.Borrow(ctx, id, e.RateLimiter.Wanted(id))
		e.RateLimiter.AddBorrowed(id, granted)
	})
	if panicked != nil {
		return panicked
	}
	return err
}

// lenders returns the peers to borrow from, in order. What the home of an organisation does
// not have, others hardly do.
func (e *Entrance) lenders(id fleet.OrganisationID) []*peering.Peer {
	if e.TokenHome == nil {
		return e.Peers.ReachablePeers(maxBorrowPeers)
	}
	home := e.TokenHome(id)
	if home == nil {
		return e.Peers.ReachablePeers(1)
	}
	return append([]*peering.Peer{home}, e.Peers.ReachablePeers(1)...)
}
