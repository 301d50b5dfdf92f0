package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// secondShare is the share of answers that a stuttering server sends twice, brokenShare
	// the part of the second ones that break off, and failureShare the share of requests
	// that it fails.
	secondShare, brokenShare, failureShare = 0.2, 0.5, 0.1
	// stutterPeriod is the number of seeds of which stutterSeeds have servers that stutter.
	stutterPeriod, stutterSeeds = 5, 2
)

// stutters reports whether the servers stutter with this seed.
func stutters(seed uint64) bool { return seed%stutterPeriod < stutterSeeds }

// stutterSeed returns the seed for the second answers and failures of machine i.
func stutterSeed(seed uint64, i int) uint64 { return seed<<8 + uint64(i) }

// stutter makes servers stutter and fail some requests while it is set.
type stutter struct {
	active atomic.Bool
	// count is the number of second answers.
	count atomic.Int64
}

func (s *stutter) set(active bool) { s.active.Store(active) }

// prepare makes a server stutter while s is set.
func (s *stutter) prepare(server *platformtest.Server, seed uint64) {
	random := platformtest.RandomStutter(seed, secondShare, brokenShare)
	server.Stutter = func(answer []byte) platformtest.Second {
		if !s.active.Load() {
			return platformtest.Second{}
		}
		second := random(answer)
		if len(second.Bytes) > 0 {
			s.count.Add(1)
		}
		return second
	}
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	server.Failure = func(string) int {
		mu.Lock()
		defer mu.Unlock()
		if !s.active.Load() || r.Float64() >= failureShare {
			return 0
		}
		return []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusServiceUnavailable}[r.IntN(3)]
	}
}

// checkNestedCalls records a violation for each response to a nested call that is not
// what a server gave to it.
func (c *cluster) checkNestedCalls() {
	r := c.records()
	for _, m := range c.machines {
		for id, response := range m.server.NestedResponses() {
			got := result{status: response.Status, body: response.Body, signature: response.Header.Get(platformtest.SignatureHeader)}
			if (got.status == http.StatusOK || got.signature != "") && !r.Gave(id, got.answer(), got.signature) {
				c.addViolation("call %s got status %d and body %q with signature %q, but servers gave %v", id, got.status, got.body, got.signature, r.Answers[id])
			}
		}
	}
}
