// Package engine is a small stand-in for a model engine, for tests and the
// demo: it batches requests at a token rate that falls with its load, caches
// prompt prefixes in limited memory, and resumes, cancels and drains. It records
// every request and can be made to fail.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockknot/internal/protocol/chat"
	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/standin/control"
)

// Config is an engine's size and speed.
type Config struct {
	Capacity     int           // requests that run at once
	CacheTokens  int           // prompt tokens that the cache holds
	TokenTime    time.Duration // between tokens, when the engine is idle
	PrefillTime  time.Duration // for each 1,000 prompt tokens that are not cached
	LoadLag      time.Duration // age of the load report
	DefaultToken int           // tokens of an answer whose request names no number
}

// Fault is how the stand-in misbehaves. The zero value is no fault.
type Fault struct {
	// Draining refuses new requests as the engine does before it leaves.
	Draining bool `json:"draining"`
	// ReportDraining reports a drain but takes what it is sent.
	ReportDraining bool `json:"report_draining"`
	// CutStreams breaks the connection of that many streams in the middle.
	CutStreams int `json:"cut_streams"`
	// EndEarly ends that many streams cleanly but without their last event.
	EndEarly int `json:"end_early"`
	// WrongIDs answers that many requests with another request's id.
	WrongIDs int `json:"wrong_ids"`
	// Frozen stops all tokens.
	Frozen bool `json:"frozen"`
	// ClearCache empties the prefix cache at once, as a restart does.
	ClearCache bool `json:"clear_cache"`
}

// Record is one request that the engine has started.
type Record struct {
	RequestID    string `json:"request_id"`
	Chat         string `json:"chat"` // the prompt's first user message
	Generation   string `json:"generation"`
	Priority     string `json:"priority"`
	StartMS      int64  `json:"start_ms"` // Unix time
	EndMS        int64  `json:"end_ms"`   // 0 while it runs
	Cancelled    bool   `json:"cancelled"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	Resumed      int    `json:"resumed"`
}

// request is the part of a chat request that the stand-in reads.
type request struct {
	chat.Request
	MaxTokens int `json:"max_tokens"`
}

// Server is the stand-in.
type Server struct {
	config Config

	mu      sync.Mutex
	cache   *prefixCache
	events  eventLog
	records []*Record
	streams map[string]*stream
	running int
	// urgencies counts the running requests by their Priority header.
	urgencies map[string]int
	fault     Fault
	report    targetapi.Load
	reportT   time.Time
}

// New returns a stand-in.
func New(config Config) *Server {
	return &Server{
		config:    config,
		cache:     newPrefixCache(config.CacheTokens),
		records:   []*Record{},
		streams:   make(map[string]*stream),
		urgencies: make(map[string]int),
	}
}

// Handler serves the engine's interface, and the test controls under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathChat, s.chat)
	mux.HandleFunc("GET "+targetapi.PathStreams+"{id}", s.resume)
	mux.HandleFunc("DELETE "+targetapi.PathStreams+"{id}", s.cancel)
	mux.HandleFunc("GET "+targetapi.PathLoad, s.load)
	mux.HandleFunc("GET "+targetapi.PathEvents, s.cacheEvents)
	mux.HandleFunc("POST /standin/fault", control.Fault(s.setFault))
	mux.HandleFunc("GET /standin/records", s.getRecords)
	return mux
}

func (s *Server) setFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	if fault.ClearCache {
		s.cache = newPrefixCache(s.config.CacheTokens)
	}
}

func (s *Server) getRecords(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.records)
}

// load reports the engine's load, up to LoadLag late.
func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reportT) >= s.config.LoadLag {
		s.reportT = time.Now()
		s.report = targetapi.Load{Running: s.running, Capacity: s.config.Capacity, Draining: s.fault.Draining || s.fault.ReportDraining}
	}
	_ = json.NewEncoder(w).Encode(s.report)
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(targetapi.HeaderRequestID)
	var parsed request
	if err := json.NewDecoder(r.Body).Decode(&parsed); err != nil {
		w.Header().Set(targetapi.HeaderRequestID, id)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	running, refused := s.start(r, id, &parsed)
	if refused != "" {
		w.Header().Set(targetapi.HeaderRequestID, id)
		w.Header().Set(targetapi.HeaderRefused, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if parsed.Stream {
		s.write(w, r, running, 0)
		return
	}
	s.writeWhole(w, r, running, &parsed)
}

// start begins a generation, or says why the engine refuses it.
func (s *Server) start(r *http.Request, id string, parsed *request) (*stream, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Draining {
		return nil, targetapi.RefusedDraining
	}
	if s.running >= s.config.Capacity {
		return nil, targetapi.RefusedBusy
	}
	total, cached, evicted := s.cache.use(parsed.Messages)
	s.events.removed(evicted, time.Now())
	record := &Record{
		RequestID:    id,
		Chat:         firstUserMessage(parsed.Messages),
		Generation:   r.Header.Get(targetapi.HeaderGeneration),
		Priority:     r.Header.Get(targetapi.HeaderPriority),
		StartMS:      time.Now().UnixMilli(),
		PromptTokens: total,
		CachedTokens: cached,
	}
	s.records = append(s.records, record)
	running := newStream(record)
	s.streams[id] = running
	s.running++
	s.urgencies[record.Priority]++
	go s.generate(running, parsed)
	return running, ""
}

func firstUserMessage(messages []chat.Message) string {
	for _, message := range messages {
		if message.Role == "user" {
			return strings.Trim(string(message.Content), `"`)
		}
	}
	return ""
}

// generate produces a request's tokens, slower the more requests run.
func (s *Server) generate(running *stream, parsed *request) {
	defer s.finish(running)
	tokens := parsed.MaxTokens
	if tokens == 0 {
		tokens = s.config.DefaultToken
	}
	const prefillUnit = 1000
	cold := running.record.PromptTokens - running.record.CachedTokens
	time.Sleep(s.config.PrefillTime * time.Duration(cold) / prefillUnit)
	for n := 1; n <= tokens; n++ {
		if running.isCancelled() {
			return
		}
		time.Sleep(s.tokenTime(running.record.Priority))
		running.add(textChunk(running.record, parsed.Model, token(running.record.Chat, n)))
	}
	running.add(finalChunk(running.record, parsed.Model, tokens))
	running.add(targetapi.StreamDone)
}

// tokenTime is the time between a request's tokens: twice as long at full load as
// when idle, and up to twice as long again while more urgent requests run.
func (s *Server) tokenTime(priority string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowing := s.running
	for urgency, count := range s.urgencies {
		if urgency < priority { // "u=0" is the most urgent
			slowing += count
		}
	}
	return s.config.TokenTime + s.config.TokenTime*time.Duration(slowing)/time.Duration(s.config.Capacity)
}

func (s *Server) finish(running *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.urgencies[running.record.Priority]--
	running.record.EndMS = time.Now().UnixMilli()
	running.record.Cancelled = running.isCancelled()
}

// take uses up one count of a fault.
func (s *Server) take(count func(*Fault) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := count(&s.fault)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// write streams a generation's events after an offset.
func (s *Server) write(w http.ResponseWriter, r *http.Request, running *stream, offset int) {
	const cutAfterEvents = 3
	id := running.record.RequestID
	if s.take(func(f *Fault) *int { return &f.WrongIDs }) {
		id = "another-request"
	}
	cut := s.take(func(f *Fault) *int { return &f.CutStreams })
	endEarly := !cut && s.take(func(f *Fault) *int { return &f.EndEarly })
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	for written := 0; ; {
		events, last, changed := running.after(offset)
		for _, event := range events {
			if cut && written >= cutAfterEvents {
				panic(http.ErrAbortHandler)
			}
			if endEarly && written >= cutAfterEvents {
				return
			}
			if !s.waitThawed(r) {
				return
			}
			offset++
			written++
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, event)
		}
		_ = http.NewResponseController(w).Flush()
		if last {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// waitThawed waits while the engine is frozen; false says that the reader is
// gone.
func (s *Server) waitThawed(r *http.Request) bool {
	const pollInterval = 20 * time.Millisecond
	for {
		s.mu.Lock()
		frozen := s.fault.Frozen
		s.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-time.After(pollInterval):
		case <-r.Context().Done():
			return false
		}
	}
}

// writeWhole answers a request without a stream.
func (s *Server) writeWhole(w http.ResponseWriter, r *http.Request, running *stream, parsed *request) {
	for {
		events, last, changed := running.after(0)
		if last {
			s.writeCompletion(w, running, parsed, len(events))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			running.cancel()
			return
		}
	}
}

func (s *Server) writeCompletion(w http.ResponseWriter, running *stream, parsed *request, events int) {
	const otherEvents = 2 // the final chunk and the terminal event
	tokens := max(0, events-otherEvents)
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		text.WriteString(token(running.record.Chat, n))
	}
	id := running.record.RequestID
	if s.take(func(f *Fault) *int { return &f.WrongIDs }) {
		id = "another-request"
	}
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: "chatcmpl-" + running.record.RequestID, Object: "chat.completion",
		Created: time.Now().Unix(), Model: parsed.Model,
		Choices: []completionChoice{{Message: message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   usageOf(running.record, tokens),
	})
}

// resume goes on with a stream after the event that the reader has last seen.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	offset, err := strconv.Atoi(r.Header.Get(targetapi.HeaderLastEventID))
	s.mu.Lock()
	running := s.streams[id]
	if running != nil {
		running.record.Resumed++
	}
	s.mu.Unlock()
	if running == nil || err != nil {
		w.Header().Set(targetapi.HeaderRequestID, id)
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.write(w, r, running, offset)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	running := s.streams[id]
	s.mu.Unlock()
	if running != nil {
		running.cancel()
	}
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.WriteHeader(http.StatusNoContent)
}
