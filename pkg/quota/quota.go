// Package quota keeps organisations within their rate over all nodes. Each node
// holds a share of every organisation's rate and burst. Tokens move between
// nodes and are never in two places: who gives deducts first, and a grant that is
// lost is lost. So the sum stays within rate and burst through cuts, kills,
// pauses and restarts, without a call to the store.
package quota

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// borrowPause is how long an organisation whose tokens no peer could lend is
	// refused without asking again.
	borrowPause = 150 * time.Millisecond
	// mostBorrowed bounds the tokens of a node whose share is smaller.
	mostBorrowed = 3.0
	// lendPart is the part of its whole tokens that a node lends at once.
	lendPart = 0.5
)

// Bound is what an organisation may send over all nodes.
type Bound struct {
	Rate  fleet.Rate
	Burst fleet.Tokens
}

// Shares holds this node's share of the bounds. Set Clock before use.
type Shares struct {
	Clock clock.Clock
	// Full tells that the shares start full: nothing was spent before this node started.
	Full bool

	mu     sync.Mutex
	shares map[fleet.OrganisationID]*share
	parts  int
}

type share struct {
	bound Bound
	// tokens is never above depth.
	tokens      float64
	rate, depth float64
	at          time.Time
	// dryUntil is when peers may be asked for tokens again.
	dryUntil time.Time
}

// Update sets the bounds and the number of nodes that share them. Organisations
// without a bound are left out by the caller.
func (s *Shares) Update(bounds map[fleet.OrganisationID]Bound, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if s.shares == nil {
		s.shares = map[fleet.OrganisationID]*share{}
	}
	s.parts = max(nodes, 1)
	for id, b := range bounds {
		h := s.shares[id]
		if h == nil {
			h = &share{at: now}
			s.shares[id] = h
			h.set(b, s.parts)
			if s.Full {
				h.tokens = h.depth
			}
			continue
		}
		h.refill(now)
		h.set(b, s.parts)
	}
	for id := range s.shares {
		if _, bounded := bounds[id]; !bounded {
			delete(s.shares, id)
		}
	}
	s.Full = false
}

func (h *share) set(b Bound, parts int) {
	h.bound = b
	h.rate = float64(b.Rate) / float64(parts)
	h.depth = float64(b.Burst) / float64(parts)
	h.tokens = min(h.tokens, h.depth)
}

func (h *share) refill(now time.Time) {
	if passed := now.Sub(h.at); passed > 0 {
		h.tokens = min(h.tokens+h.rate*passed.Seconds(), max(h.depth, h.tokens))
	}
	h.at = now
}

// Take uses a token of an organisation and tells whether there was one. An
// organisation without a bound always has one.
func (s *Shares) Take(id fleet.OrganisationID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shares[id]
	if h == nil {
		return true
	}
	h.refill(s.Clock.Now())
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}

// Return hands back the token of a request that did not run.
func (s *Shares) Return(id fleet.OrganisationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.shares[id]; h != nil {
		h.tokens = min(h.tokens+1, max(h.depth, 1))
	}
}

// MayBorrow tells whether it is worth asking peers for tokens now.
func (s *Shares) MayBorrow(id fleet.OrganisationID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shares[id]
	return h != nil && !s.Clock.Now().Before(h.dryUntil)
}

// Dry notes that peers had no tokens.
func (s *Shares) Dry(id fleet.OrganisationID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.shares[id]; h != nil {
		h.dryUntil = s.Clock.Now().Add(borrowPause)
	}
}

// Lend deducts tokens for a peer and returns how many.
func (s *Shares) Lend(id fleet.OrganisationID, wanted float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shares[id]
	if h == nil {
		return 0
	}
	h.refill(s.Clock.Now())
	// Less than a whole token is of no use here, and may complete one elsewhere.
	spare := h.tokens
	if spare >= 1 {
		spare *= lendPart
	}
	granted := min(wanted, spare)
	if granted <= 0 {
		return 0
	}
	h.tokens -= granted
	return granted
}

// Add takes tokens that a peer has deducted. What exceeds the share by more
// than a few is dropped: hoarded tokens would let a later window overflow.
func (s *Shares) Add(id fleet.OrganisationID, granted float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.shares[id]; h != nil && granted > 0 {
		h.tokens = min(h.tokens+granted, max(h.depth, mostBorrowed))
	}
}

// RetryAfter estimates when this node's share yields a token again.
func (s *Shares) RetryAfter(id fleet.OrganisationID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shares[id]
	if h == nil || h.rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - min(h.tokens, 1)) / h.rate * float64(time.Second))
}
