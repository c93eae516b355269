package engine

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"hemlockknot/internal/protocol/targetapi"
)

// stream is the response to one request. It keeps all events, so that clients can
// resume it.
type stream struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each event and at cancellation
	events    []string
	done      bool
	cancelled bool
	record    *Record
}

func newStream(record *Record) *stream {
	return &stream{changed: make(chan struct{}), record: record}
}

// appendEvent appends an event. The event targetapi.StreamDone ends the stream.
func (s *stream) appendEvent(data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, data)
	s.done = data == targetapi.StreamDone
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsAfter returns the events after an offset, whether the stream has ended, and a
// channel that is closed at the next event or at cancellation.
func (s *stream) eventsAfter(offset int) ([]string, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset > len(s.events) {
		offset = len(s.events)
	}
	return s.events[offset:], s.done || s.cancelled, s.changed
}

// cancel ends the stream without a terminal event.
func (s *stream) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done || s.cancelled {
		return
	}
	s.cancelled = true
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) isCancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancelled
}

// chunk is one event of a chat completions stream.
type chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// completion is the response to a request that does not ask for a stream.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage"`
}

type completionChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// tokenText returns the text of a response's n-th token. It contains the first user
// message of the prompt, so that a test detects a response to another request.
func tokenText(userMessage string, n int) string { return fmt.Sprintf("%s-%d ", userMessage, n) }

func textChunk(record *Record, model, text string) string {
	return encodeJSON(chunk{
		ID: "chatcmpl-" + record.RequestID, Object: "chat.completion.chunk",
		Created: time.Now().Unix(), Model: model,
		Choices: []chunkChoice{{Delta: delta{Role: "assistant", Content: text}}},
	})
}

func finalChunk(record *Record, model string, tokens int) string {
	reason := "stop"
	return encodeJSON(chunk{
		ID: "chatcmpl-" + record.RequestID, Object: "chat.completion.chunk",
		Created: time.Now().Unix(), Model: model,
		Choices: []chunkChoice{{FinishReason: &reason}},
		Usage:   usageOf(record, tokens),
	})
}

func usageOf(record *Record, tokens int) *usage {
	return &usage{
		PromptTokens:        record.PromptTokens,
		CompletionTokens:    tokens,
		TotalTokens:         record.PromptTokens + tokens,
		PromptTokensDetails: promptDetails{CachedTokens: record.CachedTokens},
	}
}

func encodeJSON(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types above always encode
	}
	return string(encoded)
}
