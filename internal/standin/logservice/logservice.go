// Package logservice is an in-memory stand-in for the platform's append-only
// log, for tests and the demo. Failures can be switched on over HTTP.
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

// maxPollWait is the maximum duration of a long poll.
const maxPollWait = 10 * time.Second

// Faults configures the failures that the stand-in simulates. The zero value
// means no failures.
type Faults struct {
	// Outage rejects every append and read with status 503.
	Outage bool `json:"outage"`
	// ProcessingDelay delays every append and read before it is processed.
	ProcessingDelay time.Duration `json:"delay"`
	// LostResponses is the number of coming appends that take effect but whose
	// connection is closed without a response.
	LostResponses int `json:"loseAnswers"`
	// LostAppendDelay is the time from a lost response until its append takes
	// effect.
	LostAppendDelay time.Duration `json:"lateEffect"`
	// AppendsPerSecond limits the append requests accepted in each clock
	// second; 0 means no limit.
	AppendsPerSecond int `json:"appendsPerSecond"`
	// Retention is the age above which records are dropped; 0 keeps all.
	Retention time.Duration `json:"retention"`
}

// Stats holds counts since the start: accepted append and read requests, and
// the records and body bytes that were appended.
type Stats struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	Records int64 `json:"records"`
	Bytes   int64 `json:"bytes"`
}

// entry is a record with the time of its append.
type entry struct {
	record     platformlog.Record
	appendedAt time.Time
}

// stream holds the retained records of one stream.
type stream struct {
	// first is the offset of entries[0].
	first   platformlog.Offset
	entries []entry
	// appended is closed and replaced on each append.
	appended chan struct{}
}

// Service is the stand-in for the log. Clock must be set. It is safe for
// concurrent use.
type Service struct {
	Clock clock.Clock

	// mu guards the fields below.
	mu      sync.Mutex
	streams map[platformlog.Stream]*stream
	faults  Faults
	stats   Stats
	// appendsThisSecond counts the append requests in currentSecond, the clock
	// truncated to a second, including those over the limit.
	currentSecond     time.Time
	appendsThisSecond int
}

// Handler returns the HTTP API of the stand-in.
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

// streamNamed returns the stream with this name and creates it if needed. The
// caller holds mu.
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

// admit reports whether a request is accepted under the configured outage and
// append limit, counts it, and returns the faults that apply to it.
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
		http.Error(w, "log is out of service", http.StatusServiceUnavailable)
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
	<-s.Clock.After(f.ProcessingDelay)
	offset := s.addRecords(name, records)
	_ = json.NewEncoder(w).Encode(map[string]platformlog.Offset{"offset": offset})
}

// addRecords appends records to a stream and returns the offset of the first.
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
		http.Error(w, "log is out of service", http.StatusServiceUnavailable)
		return
	}
	<-s.Clock.After(f.ProcessingDelay)
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

// readBatch returns at most limit records from offset from, and a channel that
// is closed on the next append.
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

// expire drops the records older than the configured retention. The caller
// holds mu.
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
