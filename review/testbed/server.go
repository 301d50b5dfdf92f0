package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a stand-in of an application server. Set the exported fields before
// Start. It executes at most Slots requests at once and rejects others, drops a request when
// its connection closes, and echoes the request id.
type Server struct {
	ID, Service, Zone string
	Slots             int
	// Work is the execution time of a request, and AnswerBytes the size of its answer.
	Work        time.Duration
	AnswerBytes int
	// SmallPath is a path with an answer of one byte.
	SmallPath string
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval time.Duration

	bed     *Bed
	node    *Node
	started time.Time
	server  *http.Server

	mu       sync.Mutex
	inFlight int
	sequence int
	// silent ends the periodic heartbeats.
	silent bool
	// runs counts the executions of each request id.
	runs map[string]int
}

// Start serves at the address that the settings of a node name, and sends heartbeats to it.
func (s *Server) Start(b *Bed, n *Node) error {
	s.bed, s.node, s.started, s.runs = b, n, time.Now(), map[string]int{}
	s.server = &http.Server{Addr: n.Instance, Handler: s}
	failed := make(chan error, 1)
	go func() { failed <- s.server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(50 * time.Millisecond):
	}
	go s.beat()
	return nil
}

// Exit ends the server with all its connections.
func (s *Server) Exit() {
	s.bed.Record("server %s exits", s.ID)
	_ = s.server.Close()
}

// StopBeats ends the periodic heartbeats.
func (s *Server) StopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *Server) beat() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		_ = s.Heartbeat(s.NextHeartbeat())
		time.Sleep(s.HeartbeatInterval)
	}
}

// NextHeartbeat returns the body of a new heartbeat in state ready.
func (s *Server) NextHeartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.Service, "address": s.node.Instance, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": "ready",
		"cold_remaining": "0ms", "sequence": s.sequence, "born": s.started.UnixMilli(),
	})
	return body
}

// Heartbeat delivers a heartbeat and returns an error unless it is acknowledged.
func (s *Server) Heartbeat(body []byte) error {
	return s.post("/Instances.Heartbeat/"+s.ID, body)
}

// Deregister tells the node that the server leaves, and returns an error unless that is
// acknowledged.
func (s *Server) Deregister() error {
	body, _ := json.Marshal(map[string]any{"born": s.started.UnixMilli()})
	return s.post("/Instances.Deregister/"+s.ID, body)
}

func (s *Server) post(path string, body []byte) error {
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.node.Heartbeats+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// Runs returns how often each request id was executed.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for id, n := range s.runs {
		counts[id] = n
	}
	return counts
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Plantainramp-Request-Id")
	w.Header().Set("Plantainramp-Request-Id", id)
	w.Header().Set("Plantainramp-Instance-Id", s.ID)
	if expected := r.Header.Get("Plantainramp-Expected-Instance"); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.begin(id) {
		w.Header().Set("Plantainramp-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.bed.Record("server %s runs %s", s.ID, id)
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		s.bed.Record("server %s drops %s: its connection was closed", s.ID, id)
		return
	}
	w.Header().Set("Plantainramp-Response-Signature", "signed-"+id)
	size := max(s.AnswerBytes, 1)
	if r.URL.Path == s.SmallPath {
		size = 1
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, err := w.Write(bytes.Repeat([]byte{'x'}, size))
	s.bed.Record("server %s has answered %s (%v)", s.ID, id, err)
}

func (s *Server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.Slots {
		return false
	}
	s.inFlight++
	s.runs[id]++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
