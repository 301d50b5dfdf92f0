package acceptance

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// States of a relay. The names are those of the relay command.
const (
	relayOpen = "open"
	// relaySilent keeps the existing connections open but forwards nothing more on
	// them; new connections work.
	relaySilent = "silent"
	// relayLate holds back the data on existing connections until the relay is
	// set to open; new connections work.
	relayLate = "late"
	// relayCut simulates a network partition: connections are accepted, but
	// nothing is forwarded on old or new ones.
	relayCut = "cut"
)

// relay is a TCP proxy to a target address that can simulate network faults.
type relay struct {
	listener net.Listener
	target   string

	// mu guards the fields below. connections holds those accepted since the last
	// fault.
	mu          sync.Mutex
	connections []*connection
	partitioned bool
	// resume is closed when the data held back may be forwarded; nil if none is
	// held back.
	resume chan struct{}
}

// connection is a client's connection through the relay and its server side.
type connection struct {
	client, server net.Conn

	// mu guards the fields below.
	mu sync.Mutex
	// discard drops all further data; resume, unless nil, holds back data until it
	// is closed.
	discard bool
	resume  chan struct{}
}

// newRelay starts a relay that listens at a free address and forwards to target.
func newRelay(target string) *relay {
	r := &relay{listener: listenFree(), target: target}
	go r.accept()
	return r
}

// address returns the address that the relay listens at.
func (r *relay) address() string { return r.listener.Addr().String() }

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

// forward connects to the target and forwards data in both directions.
func (r *relay) forward(c *connection) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		// A reset lets the client see that nothing listens at the target.
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

// copy forwards data in one direction, subject to the faults of the connection.
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

// discardRest reads and discards all further data, so that the sender does not
// notice the fault.
func discardRest(from net.Conn, _ []byte, err error) {
	if err == nil {
		_, _ = io.Copy(io.Discard, from)
	}
}

// setState changes the state of the relay and of the connections that it applies to.
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

// resumeHeld forwards the data held back. The caller holds mu.
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

// setRelayState implements relay NAME open|silent|late|cut, which sets the state of
// the relay for connections from other nodes to NAME.
func (h *harness) setRelayState(args []string) error {
	h.instanceNamed(args[0]).relay.setState(args[1])
	return nil
}

// setPartition implements cut NAME log|peers|open, which partitions a node from the
// log, or its peers from the node, or ends both partitions.
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
		return fmt.Errorf("cut: unknown target %q, want log, peers or open", args[1])
	}
	return nil
}
