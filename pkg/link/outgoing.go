package link

import (
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// outgoing is one connection to the peer.
type outgoing struct {
	*framer
	incarnation uint64
	// lastRead is the clock.Moment at which the peer was last heard.
	lastRead atomic.Int64
	// asked is when the peer was last asked for a sign of life; only Check uses it.
	asked clock.Monotonic

	streams struct {
		sync.Mutex
		next    Stream
		waiting map[Stream]*waiting
	}
}

type waiting struct {
	reply chan Reply
	// sent tells that bytes of the message may have been written.
	sent bool
}

func (c *outgoing) open() (Stream, *waiting) {
	w := &waiting{reply: make(chan Reply, 1)}
	c.streams.Lock()
	defer c.streams.Unlock()
	c.streams.next++
	c.streams.waiting[c.streams.next] = w
	return c.streams.next, w
}

// forget stops waiting for a reply and tells whether it was still waited for.
func (c *outgoing) forget(stream Stream) bool {
	c.streams.Lock()
	defer c.streams.Unlock()
	_, waits := c.streams.waiting[stream]
	delete(c.streams.waiting, stream)
	return waits
}

func (c *outgoing) owes() bool {
	c.streams.Lock()
	defer c.streams.Unlock()
	return len(c.streams.waiting) > 0
}

func (c *outgoing) markSent(streams []Stream) {
	c.streams.Lock()
	defer c.streams.Unlock()
	for _, s := range streams {
		if w := c.streams.waiting[s]; w != nil {
			w.sent = true
		}
	}
}

func (c *outgoing) answer(stream Stream, r Reply) {
	c.streams.Lock()
	w := c.streams.waiting[stream]
	delete(c.streams.waiting, stream)
	c.streams.Unlock()
	if w != nil {
		w.reply <- r
	}
}

// abandon tells everyone who waits that the connection is gone.
func (c *outgoing) abandon(cause error) {
	c.streams.Lock()
	left := c.streams.waiting
	c.streams.waiting = map[Stream]*waiting{}
	c.streams.Unlock()
	for _, w := range left {
		if w.sent {
			w.reply <- Reply{Incarnation: c.incarnation, err: &LostError{Incarnation: c.incarnation, Cause: cause}}
		} else {
			w.reply <- Reply{Incarnation: c.incarnation, err: &NotSentError{Cause: cause}}
		}
	}
}
