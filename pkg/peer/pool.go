package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// dialTimeout bounds a new connection.
	dialTimeout = 500 * time.Millisecond
	// clockTimeout bounds the question for a peer's clock, so that a silent peer
	// leaves a call time for another instance.
	clockTimeout = 500 * time.Millisecond
	// idleConnections bounds kept connections to one peer.
	idleConnections = 64
	// idleTimeout closes connections without use.
	idleTimeout = 30 * time.Second
)

// offset ties a peer's clock to ours: when we read ours, theirs was at least
// theirs.
type offset struct {
	ours   time.Time
	theirs int64
}

// Peer is the client of one node.
type Peer struct {
	Address string
	// client uses kept connections, fresh a new connection each time.
	client, fresh peerrpc.Peer
	kept          *http.Transport
	unwatched     bool
	offset        atomic.Pointer[offset]
}

// Pool makes and keeps clients by address. It needs Secret and Clock.
type Pool struct {
	Secret Secret
	Clock  clock.Clock
	// Unwatched leaves silent connections alone: only the deadline ends a call.
	Unwatched bool
	peers     sync.Map
}

// At returns the client of the node at an address.
func (p *Pool) At(address string) *Peer {
	if found, ok := p.peers.Load(address); ok {
		return found.(*Peer)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	kept := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	made := &Peer{Address: address, kept: kept, unwatched: p.Unwatched}
	made.client = peerrpc.NewPeerProtobufClient("http://"+address, &signer{p.Secret, kept})
	made.fresh = peerrpc.NewPeerProtobufClient("http://"+address, &signer{p.Secret, fresh})
	found, _ := p.peers.LoadOrStore(address, made)
	return found.(*Peer)
}

// Forget drops the client of an address whose member has ended.
func (p *Pool) Forget(address string) {
	if found, ok := p.peers.LoadAndDelete(address); ok {
		found.(*Peer).kept.CloseIdleConnections()
	}
}

// Client returns the plain Twirp client over kept connections.
func (p *Peer) Client() peerrpc.Peer { return p.client }

// Fresh returns the plain Twirp client over a new connection for each request.
func (p *Peer) Fresh() peerrpc.Peer { return p.fresh }

// DropConnections closes the kept connections that are idle, so that the next
// request opens a new one.
func (p *Peer) DropConnections() { p.kept.CloseIdleConnections() }

// Learn notes the peer's clock, as it stood in an answer that has just come.
func (p *Peer) Learn(now time.Time, theirs int64) {
	if theirs != 0 {
		p.offset.Store(&offset{ours: now, theirs: theirs})
	}
}

// OnTheirClock converts a time of ours to the peer's clock. The result is never
// later than the true one. It reports false until the peer's clock is known.
func (p *Peer) OnTheirClock(t time.Time) (int64, bool) {
	o := p.offset.Load()
	if o == nil {
		return 0, false
	}
	return o.theirs + int64(t.Sub(o.ours)), true
}

// EnsureClock asks for the peer's clock if it is not known yet.
func (p *Peer) EnsureClock(ctx context.Context, c clock.Clock) error {
	if p.offset.Load() != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	reply, err := p.client.Exchange(ctx, &peerrpc.ExchangeRequest{})
	if err != nil {
		p.DropConnections()
		return err
	}
	p.Learn(c.Now(), reply.GetClock())
	return nil
}
