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
	target   string

	mu          sync.Mutex
	connections []*connection
	partitioned bool
	// resume is closed when what is held may go on; nil while nothing is held.
	resume chan struct{}
}

// connection is one connection through the relay.
type connection struct {
	client, server net.Conn
	mu             sync.Mutex
	discard        bool
	resume         chan struct{}
}

func newRelay(listen, target string) *relay {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		panic(err)
	}
	r := &relay{listener: l, target: target}
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		c := &connection{client: client}
		r.mu.Lock()
		c.discard = r.partitioned
		r.connections = append(r.connections, c)
		r.mu.Unlock()
		go r.forward(c)
	}
}

func (r *relay) forward(c *connection) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		// As seen from outside: nothing listens.
		if tcp, ok := c.client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.client.Close()
		return
	}
	c.server = server
	go c.copy(c.client, server)
	c.copy(server, c.client)
}

func (c *connection) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		discard, resume := c.discard, c.resume
		c.mu.Unlock()
		if resume != nil {
			<-resume
		}
		if discard {
			discardRest(from, buffer, err)
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = c.client.Close()
			_ = c.server.Close()
			return
		}
	}
}

// discardRest swallows what still comes, so that the sender notices nothing.
func discardRest(from net.Conn, _ []byte, err error) {
	if err == nil {
		_, _ = io.Copy(io.Discard, from)
	}
}

func (r *relay) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = state == relayCut
	if state == relayOpen {
		r.resumeHeld()
		return
	}
	if state == relayLate {
		r.resume = make(chan struct{})
	}
	for _, c := range r.connections {
		c.mu.Lock()
		c.discard = state != relayLate
		c.resume = r.resume
		c.mu.Unlock()
	}
	r.connections = nil
}

// resumeHeld lets go on what was held.
func (r *relay) resumeHeld() {
	if r.resume != nil {
		close(r.resume)
		r.resume = nil
	}
}

func (r *relay) close() {
	if r == nil {
		return
	}
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumeHeld()
	for _, c := range r.connections {
		_ = c.client.Close()
	}
}

// setRelayState: relay NAME open|silent|late|cut changes the connections that come from
// other nodes to NAME.
func (h *harness) setRelayState(args []string) error {
	h.instanceNamed(args[0]).relay.setState(args[1])
	return nil
}

// setPartition: setPartition NAME log|peers|open cuts a node's way to the log, or the way of peers
// to it.
func (h *harness) setPartition(args []string) error {
	in := h.instanceNamed(args[0])
	switch args[1] {
	case "log":
		in.logRelay.setState(relayCut)
	case "peers":
		in.relay.setState(relayCut)
	case relayOpen:
		in.relay.setState(relayOpen)
		in.logRelay.setState(relayOpen)
	default:
		return fmt.Errorf("cut what? %s", args[1])
	}
	return nil
}
