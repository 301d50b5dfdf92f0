package instance

import (
	"bufio"
	"context"
	"net"
	"time"
)

// conn is a connection to the instance. It carries one call at a time.
type conn struct {
	net.Conn
	// header bounds the bytes that reader reads while it reads a header.
	header headerLimiter
	reader *bufio.Reader
	// reused reports whether the connection was idle in the pool before this call.
	reused bool
	// calls is the number of calls sent on the connection.
	calls int
	// lastUsed is when the connection was opened or the last response was read.
	lastUsed time.Time
	// expiresAt is the time from which the connection must not carry another call.
	expiresAt time.Time
}

// acquire returns an idle connection that is still usable, or a new one.
func (c *Client) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		k := c.popIdle()
		if k == nil {
			return c.connect(ctx)
		}
		now := c.Clock.Now()
		skipCheck := idempotent && now.Sub(k.lastUsed) < skipCheckWithin
		if now.Before(k.expiresAt) && (skipCheck || isOpenAndIdle(k.Conn)) {
			k.reused = true
			return k, nil
		}
		_ = k.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, c.Address)
	if err != nil {
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

// popIdle removes the most recently used idle connection, or returns nil.
func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	k := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return k
}

func (c *Client) putIdle(k *conn) {
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
