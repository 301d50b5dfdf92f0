package mesh

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
)

// missedHeartbeats is how many heartbeats may be missing before the instance
// is taken for gone.
const missedHeartbeats = 3

// Heartbeat is what an instance says of itself.
type Heartbeat struct {
	Instance fleet.InstanceName
	Service  fleet.ServiceName
	Address  string
	Slots    int
	Draining bool
	// Born is the instance's start in milliseconds since 1970, by its own
	// clock; 0 where it does not say.
	Born int64
	// Sequence grows with each heartbeat of one start.
	Sequence uint64
}

// incarnation is one start of an instance.
type incarnation struct {
	id   fleet.InstanceName
	born int64
}

// Presence turns heartbeats, which may be late or out of order, into what the
// gate knows of its instance. Set the exported fields before use.
type Presence struct {
	Clock   clock.Clock
	Service fleet.ServiceName
	Period  time.Duration
	// Announce is told of each change, before the heartbeat is acknowledged.
	Announce func(*gate.LocalInstance)

	mu      sync.Mutex
	current incarnation
	last    uint64
	heard   time.Time
	self    gate.LocalInstance
	// left holds the starts that have said that they leave; they never come back.
	left map[incarnation]bool
}

// Heard takes a heartbeat and tells whether it was the newest.
func (p *Presence) Heard(h Heartbeat) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	from := incarnation{id: h.Instance, born: h.Born}
	if !p.newer(from, h.Sequence) || h.Service != p.Service {
		return false
	}
	p.current, p.last, p.heard = from, h.Sequence, now
	self := gate.LocalInstance{
		ID: h.Instance, Service: h.Service, Slots: h.Slots, Open: !h.Draining && !p.left[from],
	}
	if h.Draining {
		p.leave(from)
	}
	p.announce(self)
	return true
}

// newer tells whether a heartbeat says more than what is known.
func (p *Presence) newer(from incarnation, sequence uint64) bool {
	if from == p.current {
		return sequence > p.last
	}
	return from.born >= p.current.born && !p.left[from]
}

func (p *Presence) leave(i incarnation) {
	if p.left == nil {
		p.left = map[incarnation]bool{}
	}
	p.left[i] = true
}

// Left takes the word of an instance that it leaves.
func (p *Presence) Left(id fleet.InstanceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != p.current.id {
		return
	}
	p.leave(p.current)
	self := p.self
	self.Open = false
	p.announce(self)
}

// Check closes the gate of an instance that has fallen silent.
func (p *Presence) Check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.self.Open && p.Clock.Now().Sub(p.heard) > missedHeartbeats*p.Period {
		self := p.self
		self.Open = false
		p.announce(self)
	}
}

// Silent notes that the instance's address refuses connections: it is taken
// for gone until its next heartbeat.
func (p *Presence) Silent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.self.Open {
		self := p.self
		self.Open = false
		p.announce(self)
	}
}

func (p *Presence) announce(self gate.LocalInstance) {
	if p.self.ID == self.ID && p.self.Open == self.Open && p.self.Slots == self.Slots {
		return
	}
	p.self = self
	p.Announce(&self)
}
