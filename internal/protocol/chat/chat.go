// Package chat reads the parts of a chat completions request that routing
// needs. The request's body itself goes to the engine unchanged.
package chat

import (
	"encoding/json"
	"fmt"
)

// Request is the routed part of a chat completions request.
type Request struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []Message `json:"messages"`
}

// Message is one message of the conversation. Content is a string or a list of
// parts; routing only hashes it.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse reads a request's body.
func Parse(body []byte) (*Request, error) {
	request := new(Request)
	if err := json.Unmarshal(body, request); err != nil {
		return nil, fmt.Errorf("parse chat request: %w", err)
	}
	if request.Model == "" {
		return nil, fmt.Errorf("parse chat request: model is missing")
	}
	if len(request.Messages) == 0 {
		return nil, fmt.Errorf("parse chat request: messages is missing or empty")
	}
	return request, nil
}

// Opens reports whether the request is its conversation's first: it holds no
// answer yet.
func (r *Request) Opens() bool {
	for _, message := range r.Messages {
		if message.Role == "assistant" {
			return false
		}
	}
	return true
}

// Opening returns the text that names a conversation that has no name: its
// messages up to and including the first one that is not the system's.
func (r *Request) Opening() string {
	var opening []byte
	for _, message := range r.Messages {
		opening = append(opening, message.Role...)
		opening = append(opening, 0)
		opening = append(opening, message.Content...)
		opening = append(opening, 0)
		if message.Role != "system" && message.Role != "developer" {
			break
		}
	}
	return string(opening)
}
