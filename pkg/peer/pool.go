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
	// maxIdleConns bounds kept connections to one peer.
	maxIdleConns = 64
	// idleTimeout closes connections without use.
	idleTimeout = 30 * time.Second
)

// clockReading ties a peer's clock to ours: when we read ours, theirs was at least
// theirs.
type clockReading struct {
	local     time.Time
	peerNanos int64
}

// Peer is the client of one node.
type Peer struct {
	Address string
	// client uses kept connections, uncached a new connection each time.
	client, uncached peerrpc.Peer
	transport        *http.Transport
	ignoreStalls     bool
	clockReading     atomic.Pointer[clockReading]
}

// Pool makes and keeps clients by address. It needs Secret and Clock.
type Pool struct {
	Secret Secret
	Clock  clock.Clock
	// IgnoreStalls leaves silent connections alone: only the deadline ends a call.
	IgnoreStalls bool
	peers        sync.Map
}

// Get returns the client of the node at an address.
func (p *Pool) Get(address string) *Peer {
	if found, ok := p.peers.Load(address); ok {
		return found.(*Peer)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	uncached := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	created := &Peer{Address: address, transport: transport, ignoreStalls: p.IgnoreStalls}
	created.client = peerrpc.NewPeerProtobufClient("http://"+address, &signer{p.Secret, transport})
	created.uncached = peerrpc.NewPeerProtobufClient("http://"+address, &signer{p.Secret, uncached})
	found, _ := p.peers.LoadOrStore(address, created)
	return found.(*Peer)
}

// Remove drops the client of an address whose member has ended.
func (p *Pool) Remove(address string) {
	if found, ok := p.peers.LoadAndDelete(address); ok {
		found.(*Peer).transport.CloseIdleConnections()
	}
}

// Client returns the plain Twirp client over kept connections.
func (p *Peer) Client() peerrpc.Peer { return p.client }

// UncachedClient returns the plain Twirp client over a new connection for each request.
func (p *Peer) UncachedClient() peerrpc.Peer { return p.uncached }

// CloseIdleConnections closes the kept connections that are idle, so that the next
// request opens a new one.
func (p *Peer) CloseIdleConnections() { p.transport.CloseIdleConnections() }

// SetClock notes the peer's clock, as it stood in an answer that has just come.
func (p *Peer) SetClock(now time.Time, peerNanos int64) {
	if peerNanos != 0 {
		p.clockReading.Store(&clockReading{local: now, peerNanos: peerNanos})
	}
}

// ToPeerClock converts a time of ours to the peer's clock. The result is never
// later than the true one. It reports false until the peer's clock is known.
func (p *Peer) ToPeerClock(t time.Time) (int64, bool) {
	reading := p.clockReading.Load()
	if reading == nil {
		return 0, false
	}
	return reading.peerNanos + int64(t.Sub(reading.local)), true
}

// EnsureClock asks for the peer's clock if it is not known yet.
func (p *Peer) EnsureClock(ctx context.Context, c clock.Clock) error {
	if p.clockReading.Load() != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	reply, err := p.client.Exchange(ctx, &peerrpc.ExchangeRequest{})
	if err != nil {
		p.CloseIdleConnections()
		return err
	}
	p.SetClock(c.Now(), reply.GetClock())
	return nil
}
