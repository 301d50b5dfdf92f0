package instance

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"github.com/plantainramp/plantainramp/pkg/socket"
)

// conn is a connection to the instance. It carries one call at a time.
type conn struct {
	net.Conn
	// header bounds the bytes that reader reads while it reads a header.
	header headerLimiter
	reader *bufio.Reader
	// reused reports whether the connection was idle in the pool before this call.
	reused  bool
	carried carriedIDs
	// lastUsed is when the connection was opened or the last response was read.
	lastUsed time.Time
	// expiresAt is the time from which the connection must not carry another call.
	expiresAt time.Time
}

// acquire returns an idle connection that is still usable and has not carried the id of the
// call, or a new one. A call without an id gets a new one.
func (c *Client) acquire(ctx context.Context, call *Call) (*conn, error) {
	if call.RequestID == "" {
		return c.connect(ctx)
	}
	id := digestOf(call.RequestID)
	noted := false
	for {
		k, repeated := c.popIdle(id)
		if repeated && !noted && c.OnRepeatedID != nil {
			noted = true
			c.OnRepeatedID(call.RequestID)
		}
		if k == nil {
			return c.connect(ctx)
		}
		now := c.Clock.Now()
		skipCheck := call.Idempotent && now.Sub(k.lastUsed) < skipCheckWithin
		unexpired := now.Before(k.expiresAt)
		if unexpired && (skipCheck || socket.IsOpenAndIdle(k.Conn)) {
			k.reused = true
			return k, nil
		}
		if unexpired && c.OnBroken != nil && !socket.HasData(k.Conn) {
			c.OnBroken(&IdleConnClosedError{})
		}
		_ = k.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(dialCtx, c.Address)
	if err != nil {
		c.noteNotConnected(ctx, err)
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect()
	}
	now := c.Clock.Now()
	k := &conn{Conn: raw, header: headerLimiter{source: raw}, lastUsed: now, expiresAt: now.Add(defaultIdleTimeout)}
	k.reader = bufio.NewReaderSize(&k.header, readBufferBytes)
	return k, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// popIdle removes the most recently used idle connection that has not carried the id, or
// returns nil. It reports whether it passed over one that has.
func (c *Client) popIdle(id idDigest) (k *conn, repeated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		k := c.idle[i]
		if k.carried.has(id) {
			repeated = true
			continue
		}
		c.idle = slices.Delete(c.idle, i, i+1)
		return k, repeated
	}
	return nil, repeated
}

// putIdle keeps a connection for further calls, unless it has carried as many as it may.
func (c *Client) putIdle(k *conn) {
	if k.carried.count() >= maxCallsPerConn {
		_ = k.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// CloseExpired closes the idle connections that have expired.
func (c *Client) CloseExpired() {
	now := c.Clock.Now()
	c.mu.Lock()
	kept := c.idle[:0]
	var expired []*conn
	for _, k := range c.idle {
		if now.Before(k.expiresAt) {
			kept = append(kept, k)
		} else {
			expired = append(expired, k)
		}
	}
	c.idle = kept
	c.mu.Unlock()
	for _, k := range expired {
		_ = k.Close()
	}
}
