// Package logservice stands in for the platform's append-only log in tests and
// the demo. It keeps records in memory and can be told to fail.
package logservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

// maxPollWait bounds one long poll.
const maxPollWait = 10 * time.Second

// Faults are the switches of the stand-in.
type Faults struct {
	// Outage refuses every request.
	Outage bool `json:"outage"`
	// ResponseDelay holds back every answer.
	ResponseDelay time.Duration `json:"delay"`
	// LostResponses makes that many coming appends take effect unanswered.
	LostResponses int `json:"loseAnswers"`
	// LostAppendDelay is how long after the lost answer the append takes effect.
	LostAppendDelay time.Duration `json:"lateEffect"`
	// AppendsPerSecond caps appends; 0 means no cap.
	AppendsPerSecond int `json:"appendsPerSecond"`
	// Retention drops records older than this; 0 keeps all.
	Retention time.Duration `json:"retention"`
}

// Stats counts what the stand-in served.
type Stats struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	Records int64 `json:"records"`
	Bytes   int64 `json:"bytes"`
}

type entry struct {
	record platformlog.Record
	appendedAt     time.Time
}

type stream struct {
	first   platformlog.Offset
	entries []entry
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// Service is the stand-in. It needs Clock.
type Service struct {
	Clock clock.Clock

	mu      sync.Mutex
	streams map[platformlog.Stream]*stream
	faults  Faults
	stats   Stats
	currentSecond  time.Time
	appendsThisSecond   int
}

// Handler returns the HTTP face of the stand-in.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}", s.handleAppend)
	mux.HandleFunc("GET /streams/{stream}", s.handleRead)
	mux.HandleFunc("PUT /faults", s.handleSetFaults)
	mux.HandleFunc("GET /stats", s.handleStats)
	return mux
}

func (s *Service) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

func (s *Service) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(stats)
}

func (s *Service) streamNamed(name platformlog.Stream) *stream {
	if s.streams == nil {
		s.streams = map[platformlog.Stream]*stream{}
	}
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// admit applies outage and cap; it returns the faults in force.
func (s *Service) admit(isAppend bool) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Outage {
		return f, false
	}
	if !isAppend {
		s.stats.Reads++
		return f, true
	}
	now := s.Clock.Now().Truncate(time.Second)
	if now != s.currentSecond {
		s.currentSecond, s.appendsThisSecond = now, 0
	}
	s.appendsThisSecond++
	if f.AppendsPerSecond > 0 && s.appendsThisSecond > f.AppendsPerSecond {
		return f, false
	}
	s.stats.Appends++
	if f.LostResponses > 0 {
		s.faults.LostResponses--
	}
	return f, true
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	f, ok := s.admit(true)
	if !ok {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	var records []platformlog.Record
	if err := json.NewDecoder(r.Body).Decode(&records); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := platformlog.Stream(r.PathValue("stream"))
	if f.LostResponses > 0 {
		go func() {
			<-s.Clock.After(f.LostAppendDelay)
			s.addRecords(name, records)
		}()
		panic(http.ErrAbortHandler)
	}
	<-s.Clock.After(f.ResponseDelay)
	offset := s.addRecords(name, records)
	_ = json.NewEncoder(w).Encode(map[string]platformlog.Offset{"offset": offset})
}

func (s *Service) addRecords(name platformlog.Stream, records []platformlog.Record) platformlog.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamNamed(name)
	offset := st.first + platformlog.Offset(len(st.entries))
	for _, rec := range records {
		st.entries = append(st.entries, entry{record: rec, appendedAt: s.Clock.Now()})
		s.stats.Records++
		s.stats.Bytes += int64(len(rec.Body))
	}
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	f, ok := s.admit(false)
	if !ok {
		http.Error(w, "out of service", http.StatusServiceUnavailable)
		return
	}
	<-s.Clock.After(f.ResponseDelay)
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("max"))
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := s.Clock.After(min(wait, maxPollWait))
	for {
		batch, appended := s.readBatch(platformlog.Stream(r.PathValue("stream")), platformlog.Offset(from), limit)
		if len(batch.Records) > 0 || wait == 0 || limit == 0 || platformlog.Offset(from) < batch.FirstOffset {
			_ = json.NewEncoder(w).Encode(batch)
			return
		}
		select {
		case <-appended:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) readBatch(name platformlog.Stream, from platformlog.Offset, limit int) (platformlog.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streamNamed(name)
	s.expire(st)
	next := st.first + platformlog.Offset(len(st.entries))
	batch := platformlog.Batch{FirstOffset: st.first, NextOffset: next, From: from, Records: []platformlog.Record{}}
	for o := from; o >= st.first && o < next && len(batch.Records) < limit; o++ {
		batch.Records = append(batch.Records, st.entries[o-st.first].record)
	}
	return batch, st.appended
}

func (s *Service) expire(st *stream) {
	if s.faults.Retention == 0 {
		return
	}
	oldest := s.Clock.Now().Add(-s.faults.Retention)
	for len(st.entries) > 0 && st.entries[0].appendedAt.Before(oldest) {
		st.entries = st.entries[1:]
		st.first++
	}
}
