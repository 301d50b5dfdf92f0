package acceptance

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// States of a relay.
const (
	relayOpen = "open"
	// relaySilent keeps the connections that stand and carries nothing more on
	// them; new ones work.
	relaySilent = "silent"
	// relayLate holds what comes on the connections that stand, until open; new
	// ones work.
	relayLate = "late"
	// relayCut refuses to carry anything, on old and new connections.
	relayCut = "cut"
)

// relay carries connections to an address and can lose track of them.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs []*pair
	cut   bool
	// late is closed when what is held may go on; nil while nothing is held.
	late chan struct{}
}

// pair is one connection through the relay.
type pair struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
	late           chan struct{}
}

func newRelay(listen, to string) *relay {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	r := &relay{listener: l, to: to}
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		p := &pair{client: client}
		r.mu.Lock()
		p.silent = r.cut
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go r.carry(p)
	}
}

func (r *relay) carry(p *pair) {
	server, err := net.Dial("tcp", r.to)
	if err != nil {
		// As seen from outside: nothing listens.
		if tcp, ok := p.client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = p.client.Close()
		return
	}
	p.server = server
	go p.copy(p.client, server)
	p.copy(server, p.client)
}

func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent, late := p.silent, p.late
		p.mu.Unlock()
		if late != nil {
			<-late
		}
		if silent {
			continueSilent(from, buffer, err)
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = p.client.Close()
			_ = p.server.Close()
			return
		}
	}
}

// continueSilent swallows what still comes, so that the sender notices nothing.
func continueSilent(from net.Conn, _ []byte, err error) {
	if err == nil {
		_, _ = io.Copy(io.Discard, from)
	}
}

func (r *relay) set(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = state == relayCut
	if state == relayOpen {
		r.release()
		return
	}
	if state == relayLate {
		r.late = make(chan struct{})
	}
	for _, p := range r.pairs {
		p.mu.Lock()
		p.silent = state != relayLate
		p.late = r.late
		p.mu.Unlock()
	}
	r.pairs = nil
}

// release lets go on what was held.
func (r *relay) release() {
	if r.late != nil {
		close(r.late)
		r.late = nil
	}
}

func (r *relay) close() {
	if r == nil {
		return
	}
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release()
	for _, p := range r.pairs {
		_ = p.client.Close()
	}
}

// setRelay: relay NAME open|silent|late|cut changes the connections that come from
// other nodes to NAME.
func (w *world) setRelay(args []string) error {
	w.at(args[0]).relay.set(args[1])
	return nil
}

// cut: cut NAME log|peers|open cuts a node's way to the log, or the way of peers
// to it.
func (w *world) cut(args []string) error {
	in := w.at(args[0])
	switch args[1] {
	case "log":
		in.logRelay.set(relayCut)
	case "peers":
		in.relay.set(relayCut)
	case relayOpen:
		in.relay.set(relayOpen)
		in.logRelay.set(relayOpen)
	default:
		return fmt.Errorf("cut what? %s", args[1])
	}
	return nil
}
