// Package chat parses the fields of a chat completions request that routing needs. The
// request's body is forwarded to the engine unchanged.
package chat

import (
	"encoding/json"
	"fmt"
)

// Request holds the fields of a chat completions request that routing needs.
type Request struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream"`
	Messages []Message `json:"messages"`
}

// Message is one message of the chat. Content is a JSON string or list of parts; routing
// only hashes it.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse parses the body of a request.
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

// StartsChat reports whether the request is the first one of its chat, that is, whether its
// messages contain no answer of the model.
func (r *Request) StartsChat() bool {
	for _, message := range r.Messages {
		if message.Role == "assistant" {
			return false
		}
	}
	return true
}

// FirstMessages returns a text that identifies a chat without a name. It consists of the
// messages up to and including the first one that is neither the system's nor the
// developer's.
func (r *Request) FirstMessages() string {
	var text []byte
	for _, message := range r.Messages {
		text = append(text, message.Role...)
		text = append(text, 0)
		text = append(text, message.Content...)
		text = append(text, 0)
		if message.Role != "system" && message.Role != "developer" {
			break
		}
	}
	return string(text)
}
