package testbed

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy passes connections on to an address. While it is cut, nothing passes in either
// direction and nobody is told. Create it with NewProxy.
type Proxy struct {
	// Address is where the proxy listens.
	Address string

	target string
	mu     sync.Mutex
	// healed is closed when the cut ends; nil while there is none.
	healed chan struct{}
	// lastByte is when the last data passed from the caller to the target.
	lastByte time.Time
}

// NewProxy starts a proxy to an address.
func (b *Bed) NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.listeners = append(b.listeners, l)
	p := &Proxy{Address: l.Addr().String(), target: target}
	go p.accept(l)
	return p, nil
}

// Cut begins a cut.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

// Heal ends the cut.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}

// LastByte returns when data passed from the caller to the target last.
func (p *Proxy) LastByte() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastByte
}

func (p *Proxy) accept(l net.Listener) {
	for {
		caller, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(caller)
	}
}

func (p *Proxy) serve(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	p.await()
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() {
		p.pass(target, caller, true)
		_ = target.Close()
	}()
	p.pass(caller, target, false)
}

// await waits for the end of a cut.
func (p *Proxy) await() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

// pass copies data until either side fails. Data and the end of a side wait for the end of a
// cut.
func (p *Proxy) pass(to io.Writer, from io.Reader, fromCaller bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.await()
		if n > 0 {
			if fromCaller {
				p.mu.Lock()
				p.lastByte = time.Now()
				p.mu.Unlock()
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
