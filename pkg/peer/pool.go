package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// dialTimeout limits the time to establish a connection.
	dialTimeout = 500 * time.Millisecond
	// clockTimeout limits a request for a peer's clock, so that a call has time left
	// for another instance if the peer is unresponsive.
	clockTimeout = 500 * time.Millisecond
	// maxIdleConns limits the idle connections to one peer.
	maxIdleConns = 64
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
)

// Peer is the client of one node. It is safe for concurrent use.
type Peer struct {
	Address string
	// client reuses connections. uncached opens a new connection for each request.
	client, uncached peerrpc.Peer
	// transport holds the connections of client.
	transport    *http.Transport
	ignoreStalls bool
	clock        peerClock
}

// Pool holds a client for each address. Secret must be set. It is safe for concurrent
// use.
type Pool struct {
	Secret Secret
	Clock  clock.Clock
	// IgnoreStalls disables the recovery of replies over new connections: a call on a
	// stalled connection ends only at its deadline.
	IgnoreStalls bool
	// peers holds a *Peer for each address.
	peers sync.Map
}

// Get returns the client of the node at an address, and creates it on first use.
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
	created.client = peerrpc.NewPeerProtobufClient("http://"+address, &signer{secret: p.Secret, next: transport})
	created.uncached = peerrpc.NewPeerProtobufClient("http://"+address, &signer{secret: p.Secret, next: uncached})
	found, _ := p.peers.LoadOrStore(address, created)
	return found.(*Peer)
}

// Remove removes the client of an address whose member has ended, and closes its idle
// connections.
func (p *Pool) Remove(address string) {
	if found, ok := p.peers.LoadAndDelete(address); ok {
		found.(*Peer).transport.CloseIdleConnections()
	}
}

// Client returns the Twirp client that reuses connections. It does not recover lost
// replies, unlike Run.
func (p *Peer) Client() peerrpc.Peer { return p.client }

// UncachedClient returns the Twirp client that opens a new connection for each request.
func (p *Peer) UncachedClient() peerrpc.Peer { return p.uncached }

// CloseIdleConnections closes the idle connections of Client, so that the next request
// opens a new one.
func (p *Peer) CloseIdleConnections() { p.transport.CloseIdleConnections() }

// SetClock records the peer's clock in the reply to a request that was sent at sent. The
// reply arrived at received. A peerNanos of 0 means that the reply had no reading, and is
// ignored.
func (p *Peer) SetClock(sent, received time.Time, peerNanos int64) {
	if peerNanos != 0 {
		p.clock.record(sent, received, peerNanos)
	}
}

// ToPeerClock converts a local time to the peer's clock, in nanoseconds. The result may
// be early, by the time that the best of the recent readings took to arrive, but not
// late. It reports false until the peer's clock is known.
func (p *Peer) ToPeerClock(t time.Time) (int64, bool) { return p.clock.convert(t) }

// EnsureClock requests the peer's clock if it is not known yet.
func (p *Peer) EnsureClock(ctx context.Context, c clock.Clock) error {
	if _, known := p.ToPeerClock(c.Now()); known {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	sent := c.Now()
	reply, err := p.client.Exchange(ctx, &peerrpc.ExchangeRequest{})
	if err != nil {
		p.CloseIdleConnections()
		return err
	}
	p.SetClock(sent, c.Now(), reply.GetClock())
	return nil
}
