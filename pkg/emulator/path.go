package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// begin has a call run; ended is told once.
func (f *Fleet) begin(c *call) {
	c.timer = f.after(c.expires-f.now, func() { f.end(c, fateFailed) })
	f.place(c)
}

// end settles a call and ends whatever still runs for it.
func (f *Fleet) end(c *call, how fate) {
	if c.over {
		return
	}
	c.over = true
	c.timer()
	if c.place != nil {
		c.at.sent[c.place]--
	}
	if c.waiter != nil {
		c.place.line.Remove(c.waiter)
	}
	if c.run != nil {
		f.release(c, 0)
	}
	c.ended(how)
}

// place offers a call to the best instance that has not had it yet.
func (f *Fleet) place(c *call) {
	n := f.choose(c)
	if n == nil {
		f.end(c, fateRefused)
		return
	}
	c.tried[n], c.place = true, n
	c.at.sent[n]++
	f.after(f.distance(c.at, n), func() {
		if !c.over {
			f.offer(c, n)
		}
	})
}

func (f *Fleet) distance(a, b *Node) time.Duration {
	if a == b {
		return 0
	}
	return hop
}

func (f *Fleet) choose(c *call) *Node {
	if len(c.tried) >= maxPlacements {
		return nil
	}
	var left []*Node
	var candidates []balancer.Candidate
	fastest := time.Duration(0)
	for _, n := range f.places[c.class.Service] {
		if c.tried[n] {
			continue
		}
		load := c.at.load(n)
		if load.MeanSlotTime > 0 && (fastest == 0 || load.MeanSlotTime < fastest) {
			fastest = load.MeanSlotTime
		}
		left = append(left, n)
		candidates = append(candidates, balancer.Candidate{
			InFlight: max(c.at.sent[n], load.InFlight+load.Queued), Limit: load.Limit, OtherDataCentre: n.DataCentre != c.at.DataCentre, Slowdown: load.MeanSlotTime.Seconds(),
		})
	}
	for i := range candidates {
		if fastest > 0 {
			candidates[i].Slowdown /= fastest.Seconds()
		}
	}
	if best := balancer.Choose(candidates, f.random.Float64); best >= 0 {
		return left[best]
	}
	return nil
}

// load returns what a node knows of another one.
func (n *Node) load(o *Node) waitqueue.Load {
	if n == o {
		return o.line.Load()
	}
	if load, known := n.known[o]; known {
		return load
	}
	return waitqueue.Load{Limit: o.Service.Slots}
}

// handBack places a call elsewhere that an instance did not take.
func (f *Fleet) handBack(c *call, n *Node) {
	load := n.line.Load()
	f.after(f.distance(c.at, n), func() {
		c.at.known[n] = load
		if c.over {
			return
		}
		c.at.sent[n]--
		c.place = nil
		f.place(c)
	})
}

// offer asks for a slot.
func (f *Fleet) offer(c *call, n *Node) {
	if f.way.Gate != nil && !f.way.Gate(n, c.class, c.request) {
		f.handBack(c, n)
		return
	}
	patience := innerPatience
	if !c.inner {
		patience = c.class.Target / patiencePart
	}
	arrived := f.now
	w, verdict := n.line.Acquire(waitqueue.RankOf(f.Now(), patience, uint32(c.class.Priority)), patience)
	switch verdict {
	case waitqueue.VerdictAdmitted:
		f.start(c, n, 0)
	case waitqueue.VerdictQueued:
		c.waiter = w
		w.Notify = func(bool) {
			c.waiter = nil
			f.start(c, n, f.now-arrived)
		}
		f.after(patience, func() {
			if c.waiter == w && n.line.Remove(w) {
				c.waiter = nil
				n.noteWait(patience)
				f.handBack(c, n)
			}
		})
	default:
		n.noteWait(patience)
		f.handBack(c, n)
	}
}

// noteWait counts how long a call waited, whether it got its slot or not.
func (n *Node) noteWait(d time.Duration) {
	n.waited += d
	n.calls++
}
