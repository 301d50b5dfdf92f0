package harness

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// HeaderRequestID is the header with the id of a request.
	HeaderRequestID = "Plantainramp-Request-Id"
	// HeaderExpected is the header with the id of the server that a request is meant for.
	HeaderExpected = "Plantainramp-Expected-Instance"
	// HeaderSignature is the header with which a server signs an answer.
	HeaderSignature = "Plantainramp-Response-Signature"
	// HeaderNotExecuted is the header of a server that has not run a request.
	HeaderNotExecuted = "Plantainramp-Not-Executed"
	// HealthPath is the path of health checks.
	HealthPath = "/health"

	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
)

// Run is one execution of a request at a server.
type Run struct {
	Server, RequestID, Method, Target, Caller, Tenant string
	At                                                time.Time
}

// Server is a stand-in of an application server. Set the exported fields before Start.
type Server struct {
	ID    string
	Node  *Node
	Slots int
	Born  int64
	// Quiet keeps executions out of the record.
	Quiet bool
	// Answer returns the bytes of the answer to a request that has begun to run; nil, or an
	// empty result, means a small success.
	Answer func(s *Server, r *http.Request, body []byte) []byte

	fleet     *Fleet
	listener  net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]bool
	runs      []Run
	sequence  int
	state     string
	isCrashed bool
	// silent reports whether heartbeats have ended.
	silent bool
	// leaving reports whether health checks fail, as the server leaves.
	leaving bool
	stop    chan struct{}
}

// AddServer adds a server beside a node. It is not started.
func (f *Fleet) AddServer(n *Node, id string) *Server {
	s := &Server{ID: id, Node: n, Slots: 50, fleet: f, conns: map[net.Conn]bool{}, state: "ready", stop: make(chan struct{})}
	f.servers = append(f.servers, s)
	return s
}

// Start serves and sends heartbeats.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.Node.Instance)
	if err != nil {
		return err
	}
	s.listener = l
	if s.Born == 0 {
		s.Born = time.Now().UnixMilli()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	go s.beat()
	return nil
}

// Crash ends the server at once.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCrashed || s.listener == nil {
		return
	}
	s.isCrashed = true
	close(s.stop)
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) beat() {
	for {
		if !s.isSilent() {
			s.Heartbeat()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (s *Server) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// SetState sets the state that heartbeats name.
func (s *Server) SetState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// Delay makes a heartbeat that is sent now arrive when the function that it returns is called, which
// returns the status of the answer, or 0. No other heartbeat follows.
func (s *Server) Delay() (arrive func() int) {
	body := s.nextHeartbeat()
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	return func() int { return s.tell("/Instances.Heartbeat/", body) }
}

// Heartbeat sends a heartbeat and returns the status of its answer, or 0.
func (s *Server) Heartbeat() int { return s.tell("/Instances.Heartbeat/", s.nextHeartbeat()) }

func (s *Server) nextHeartbeat() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.Node.Service, "address": s.Node.Instance, "zone": s.Node.Zone, "version": "v1", "slots": s.Slots,
		"state": s.state, "cold_remaining": "0ms", "sequence": s.sequence, "born": s.Born,
	}
}

// Deregister says that the server leaves and returns the status of the answer, or 0.
func (s *Server) Deregister() int {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	return s.tell("/Instances.Deregister/", map[string]any{"born": s.Born})
}

func (s *Server) tell(path string, body map[string]any) int {
	text, _ := json.Marshal(body)
	client := http.Client{Timeout: heartbeatTimeout}
	response, err := client.Post("http://"+s.Node.Heartbeats+path+s.ID, "application/json", bytes.NewReader(text))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Runs returns the executions so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if _, err := c.Write(s.answer(r, body)); err != nil {
			return
		}
	}
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) answer(r *http.Request, body []byte) []byte {
	id := r.Header.Get(HeaderRequestID)
	if r.URL.Path == HealthPath && s.isLeaving() {
		return []byte("HTTP/1.1 503 Service Unavailable\r\nPlantainramp-Instance-Id: " + s.ID + "\r\nContent-Length: 0\r\n\r\n")
	}
	if r.URL.Path == HealthPath {
		return []byte("HTTP/1.1 200 OK\r\nPlantainramp-Instance-Id: " + s.ID + "\r\nContent-Length: 0\r\n\r\n")
	}
	if expected := r.Header.Get(HeaderExpected); expected != "" && expected != s.ID {
		return []byte("HTTP/1.1 421 Misdirected Request\r\n" + HeaderNotExecuted + ": 1\r\n" + HeaderRequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n")
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Server: s.ID, RequestID: id, Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get("Plantainramp-Caller-Service"), Tenant: r.Header.Get("Plantainramp-Tenant-Name"), At: time.Now()})
	s.mu.Unlock()
	if !s.Quiet {
		s.fleet.Record.Printf("server %s runs request %s %s %s", s.ID, id, r.Method, r.RequestURI)
	}
	if s.Answer != nil {
		if raw := s.Answer(s, r, body); raw != nil {
			return raw
		}
	}
	return s.Success(id, []byte("done "+id))
}

// Success returns the bytes of a success.
func (s *Server) Success(id string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\nContent-Length: %d\r\n\r\n", HeaderRequestID, id, HeaderSignature, s.ID, len(body))
	b.Write(body)
	return b.Bytes()
}

// Request returns the bytes of a client's request.
func Request(method, host, target, id string, deadline time.Duration, headers ...string) []byte {
	lines := []string{
		method + " " + target + " HTTP/1.1", "Host: " + host, HeaderRequestID + ": " + id,
		fmt.Sprintf("Plantainramp-Deadline-Remaining: %d", deadline.Milliseconds()),
	}
	if method == http.MethodPost || method == http.MethodPut {
		lines = append(lines, "Content-Length: 0")
	}
	lines = append(lines, headers...)
	return []byte(strings.Join(lines, "\r\n") + "\r\n\r\n")
}
