// Package engine is a fake model engine, for tests and the demo. It runs requests
// concurrently at a token rate that decreases with its load, caches prompt prefixes
// in limited memory, resumes and cancels streams, and drains. It records every
// request and can inject faults.
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

// Config is an engine's capacity and speed.
type Config struct {
	Capacity         int           // maximum number of concurrent requests
	CacheTokens      int           // capacity of the prefix cache in prompt tokens
	TokenInterval    time.Duration // time between tokens when the engine is idle
	PrefillTime      time.Duration // per 1,000 uncached prompt tokens
	LoadReportAge    time.Duration // maximum age of the load report
	DefaultMaxTokens int           // number of tokens generated if the request sets no max_tokens
	// OnChat is called with the first user message of each request that starts; nil: not.
	OnChat func(firstUserMessage string)
}

// Fault holds the faults to inject. The zero value injects none.
type Fault struct {
	// Draining refuses new requests, as an engine does before it shuts down.
	Draining bool `json:"draining"`
	// ReportDraining makes the load report say that the engine is draining, while it
	// still accepts requests.
	ReportDraining bool `json:"report_draining"`
	// AbortStreams is the number of streams whose connections are aborted in the middle.
	AbortStreams int `json:"cut_streams"`
	// TruncateStreams is the number of streams that end cleanly but without their terminal
	// event.
	TruncateStreams int `json:"end_early"`
	// WrongRequestIDs is the number of requests whose responses carry the id of another
	// request.
	WrongRequestIDs int `json:"wrong_ids"`
	// StallStreams makes all streams stall.
	StallStreams bool `json:"frozen"`
	// ClearCache empties the prefix cache when the fault is set, as a restart does.
	ClearCache bool `json:"clear_cache"`
}

// Record describes one request that the engine has started.
type Record struct {
	RequestID        string `json:"request_id"`
	FirstUserMessage string `json:"chat"` // first user message of the prompt
	Generation       string `json:"generation"`
	Priority         string `json:"priority"`
	StartMS          int64  `json:"start_ms"` // Unix time
	EndMS            int64  `json:"end_ms"`   // 0 while the request runs
	Cancelled        bool   `json:"cancelled"`
	PromptTokens     int    `json:"prompt_tokens"`
	CachedTokens     int    `json:"cached_tokens"`
	ResumeCount      int    `json:"resumed"`
}

// chatRequest holds the fields of a chat completion request that the engine reads.
type chatRequest struct {
	chat.Request
	MaxTokens int `json:"max_tokens"`
}

// Server is the fake engine.
type Server struct {
	config Config

	mu      sync.Mutex
	cache   *prefixCache
	events  eventLog
	records []*Record
	streams map[string]*stream
	running int
	// runningByPriority counts the running requests by their Priority header.
	runningByPriority map[string]int
	fault             Fault
	loadReport        targetapi.LoadReport
	loadReportAt      time.Time
}

// New returns a fake engine.
func New(config Config) *Server {
	return &Server{
		config:            config,
		cache:             newPrefixCache(config.CacheTokens),
		records:           []*Record{},
		streams:           make(map[string]*stream),
		runningByPriority: make(map[string]int),
	}
}

// Handler serves the engine's API, and the endpoints for tests under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathChat, s.handleChat)
	mux.HandleFunc("GET "+targetapi.PathStreams+"{id}", s.handleResume)
	mux.HandleFunc("DELETE "+targetapi.PathStreams+"{id}", s.handleCancel)
	mux.HandleFunc("GET "+targetapi.PathLoad, s.handleLoad)
	mux.HandleFunc("GET "+targetapi.PathEvents, s.handleCacheEvents)
	mux.HandleFunc("POST /standin/fault", control.FaultHandler(s.setFault))
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

// handleLoad responds with the engine's load report, which is renewed if it is at
// least Config.LoadReportAge old.
func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.loadReportAt) >= s.config.LoadReportAge {
		s.loadReportAt = time.Now()
		s.loadReport = targetapi.LoadReport{Running: s.running, Capacity: s.config.Capacity, Draining: s.fault.Draining || s.fault.ReportDraining}
	}
	_ = json.NewEncoder(w).Encode(s.loadReport)
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(targetapi.HeaderRequestID)
	var body chatRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.Header().Set(targetapi.HeaderRequestID, id)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	stream, refusal := s.startStream(r, id, &body)
	if refusal != "" {
		w.Header().Set(targetapi.HeaderRequestID, id)
		w.Header().Set(targetapi.HeaderRefused, refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.config.OnChat != nil {
		s.config.OnChat(stream.record.FirstUserMessage)
	}
	if body.Stream {
		s.writeStream(w, r, stream, 0)
		return
	}
	s.waitAndWriteCompletion(w, r, stream, &body)
}

// startStream starts to generate the response to a request. If the engine refuses the
// request, startStream returns the reason.
func (s *Server) startStream(r *http.Request, id string, body *chatRequest) (*stream, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Draining {
		return nil, targetapi.RefusedDraining
	}
	if s.running >= s.config.Capacity {
		return nil, targetapi.RefusedBusy
	}
	total, cached, evicted := s.cache.lookupAndInsert(body.Messages)
	s.events.addRemoved(evicted, time.Now())
	record := &Record{
		RequestID:        id,
		FirstUserMessage: firstUserMessage(body.Messages),
		Generation:       r.Header.Get(targetapi.HeaderGeneration),
		Priority:         r.Header.Get(targetapi.HeaderPriority),
		StartMS:          time.Now().UnixMilli(),
		PromptTokens:     total,
		CachedTokens:     cached,
	}
	s.records = append(s.records, record)
	stream := newStream(record)
	s.streams[id] = stream
	s.running++
	s.runningByPriority[record.Priority]++
	go s.generate(stream, body)
	return stream, ""
}

func firstUserMessage(messages []chat.Message) string {
	for _, message := range messages {
		if message.Role == "user" {
			return strings.Trim(string(message.Content), `"`)
		}
	}
	return ""
}

// generate generates a request's tokens. The interval between tokens grows with the
// number of running requests.
func (s *Server) generate(stream *stream, body *chatRequest) {
	defer s.finishStream(stream)
	tokens := body.MaxTokens
	if tokens == 0 {
		tokens = s.config.DefaultMaxTokens
	}
	const prefillUnit = 1000 // tokens
	uncachedTokens := stream.record.PromptTokens - stream.record.CachedTokens
	time.Sleep(s.config.PrefillTime * time.Duration(uncachedTokens) / prefillUnit)
	for n := 1; n <= tokens; n++ {
		if stream.isCancelled() {
			return
		}
		time.Sleep(s.tokenInterval(stream.record.Priority))
		stream.appendEvent(textChunk(stream.record, body.Model, tokenText(stream.record.FirstUserMessage, n)))
	}
	stream.appendEvent(finalChunk(stream.record, body.Model, tokens))
	stream.appendEvent(targetapi.StreamDone)
}

// tokenInterval returns the time between a request's tokens. It is twice as long at
// full load as when idle, and almost three times as long at full load if all other
// requests are more urgent.
func (s *Server) tokenInterval(priority string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := s.running
	for otherPriority, count := range s.runningByPriority {
		if otherPriority < priority { // "u=0" is the most urgent
			slowdown += count
		}
	}
	return s.config.TokenInterval + s.config.TokenInterval*time.Duration(slowdown)/time.Duration(s.config.Capacity)
}

// finishStream records the end of a request.
func (s *Server) finishStream(stream *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runningByPriority[stream.record.Priority]--
	stream.record.EndMS = time.Now().UnixMilli()
	stream.record.Cancelled = stream.isCancelled()
}

// consumeFault decrements the counter of a fault. It returns false if the counter was
// already 0.
func (s *Server) consumeFault(counter func(*Fault) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.fault)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// writeStream writes a stream's events after an offset until the stream ends.
func (s *Server) writeStream(w http.ResponseWriter, r *http.Request, stream *stream, offset int) {
	const faultAfterEvents = 3
	id := stream.record.RequestID
	if s.consumeFault(func(f *Fault) *int { return &f.WrongRequestIDs }) {
		id = "another-request"
	}
	abort := s.consumeFault(func(f *Fault) *int { return &f.AbortStreams })
	truncate := !abort && s.consumeFault(func(f *Fault) *int { return &f.TruncateStreams })
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/event-stream")
	for written := 0; ; {
		events, ended, changed := stream.eventsAfter(offset)
		for _, event := range events {
			if abort && written >= faultAfterEvents {
				panic(http.ErrAbortHandler)
			}
			if truncate && written >= faultAfterEvents {
				return
			}
			if !s.waitWhileStalled(r) {
				return
			}
			offset++
			written++
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, event)
		}
		_ = http.NewResponseController(w).Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// waitWhileStalled waits while the fault StallStreams is set. It returns false if the
// client has disconnected.
func (s *Server) waitWhileStalled(r *http.Request) bool {
	const pollInterval = 20 * time.Millisecond
	for {
		s.mu.Lock()
		stalled := s.fault.StallStreams
		s.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-time.After(pollInterval):
		case <-r.Context().Done():
			return false
		}
	}
}

// waitAndWriteCompletion waits until a response is complete and writes it as one
// completion, for a request that does not ask for a stream.
func (s *Server) waitAndWriteCompletion(w http.ResponseWriter, r *http.Request, stream *stream, body *chatRequest) {
	for {
		events, ended, changed := stream.eventsAfter(0)
		if ended {
			s.writeCompletion(w, stream, body, len(events))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			stream.cancel()
			return
		}
	}
}

// writeCompletion writes the whole text of a finished stream as one completion.
func (s *Server) writeCompletion(w http.ResponseWriter, stream *stream, body *chatRequest, events int) {
	const nonTokenEvents = 2 // the final chunk and the terminal event
	tokens := max(0, events-nonTokenEvents)
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		text.WriteString(tokenText(stream.record.FirstUserMessage, n))
	}
	id := stream.record.RequestID
	if s.consumeFault(func(f *Fault) *int { return &f.WrongRequestIDs }) {
		id = "another-request"
	}
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(completion{
		ID: "chatcmpl-" + stream.record.RequestID, Object: "chat.completion",
		Created: time.Now().Unix(), Model: body.Model,
		Choices: []completionChoice{{Message: message{Role: "assistant", Content: text.String()}, FinishReason: "stop"}},
		Usage:   usageOf(stream.record, tokens),
	})
}

// handleResume continues a stream after the last event that the client has received.
func (s *Server) handleResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	offset, err := strconv.Atoi(r.Header.Get(targetapi.HeaderLastEventID))
	s.mu.Lock()
	stream := s.streams[id]
	if stream != nil {
		stream.record.ResumeCount++
	}
	s.mu.Unlock()
	if stream == nil || err != nil {
		w.Header().Set(targetapi.HeaderRequestID, id)
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.writeStream(w, r, stream, offset)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mu.Lock()
	stream := s.streams[id]
	s.mu.Unlock()
	if stream != nil {
		stream.cancel()
	}
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.WriteHeader(http.StatusNoContent)
}
