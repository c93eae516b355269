// Package client is a small caller of the chat completions interface, for the
// demo. It speaks as any usual client does.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/tmaxmax/go-sse"
)

// Request is one question to a model.
type Request struct {
	BaseURL  string // of a daemon's callers' port, with /v1
	Key      string // bearer key
	Model    string
	Chat     string // the chat's name
	Messages []Message
}

// Message is one message of the conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Answer is what the model answered.
type Answer struct {
	Text         string
	Engine       string
	PromptTokens int
	CachedTokens int
}

// errIncomplete says that a stream ended without its terminal event.
var errIncomplete = errors.New("the stream is incomplete")

// Ask sends a request and writes the answer's text to out as it comes.
func Ask(ctx context.Context, request Request, out io.Writer) (Answer, error) {
	response, err := send(ctx, request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return Answer{}, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	answer := Answer{Engine: response.Header.Get("X-Hemlockknot-Engine")}
	return answer, answer.read(response.Body, out)
}

func send(ctx context.Context, request Request) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model":    request.Model,
		"messages": request.Messages,
		"stream":   true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, request.BaseURL+"/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	call.Header.Set("Content-Type", "application/json")
	call.Header.Set("Authorization", "Bearer "+request.Key)
	call.Header.Set("X-Hemlockknot-Chat", request.Chat)
	return http.DefaultClient.Do(call)
}

// chunk is the part of a stream's event that is read here.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// read takes in a stream up to its terminal event.
func (a *Answer) read(body io.Reader, out io.Writer) error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
		if event.Type == "error" {
			return fmt.Errorf("%w: %s", errIncomplete, event.Data)
		}
		if event.Data == "[DONE]" {
			return nil
		}
		if err := a.take(event.Data, out); err != nil {
			return err
		}
	}
	return errIncomplete
}

func (a *Answer) take(data string, out io.Writer) error {
	var part chunk
	if err := json.Unmarshal([]byte(data), &part); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	for _, choice := range part.Choices {
		a.Text += choice.Delta.Content
		_, _ = io.WriteString(out, choice.Delta.Content)
	}
	if part.Usage != nil {
		a.PromptTokens = part.Usage.PromptTokens
		a.CachedTokens = part.Usage.PromptTokensDetails.CachedTokens
	}
	return nil
}
