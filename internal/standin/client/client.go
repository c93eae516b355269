// Package client is a minimal client of the chat completions API, for the demo. It
// makes the same calls as common clients of that API.
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

// Request is a chat completion request.
type Request struct {
	BaseURL  string // of a daemon's caller port, including /v1
	APIKey   string // bearer key
	Model    string
	Chat     string // name of the chat, sent as a header
	Messages []Message
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is a model's response to a request.
type Completion struct {
	Text         string
	Engine       string
	PromptTokens int
	CachedTokens int
}

// errIncompleteStream means that a stream ended without its terminal event.
var errIncompleteStream = errors.New("the stream is incomplete")

// Complete sends a request and writes the text of the response to out as it is received.
func Complete(ctx context.Context, request Request, out io.Writer) (Completion, error) {
	response, err := sendRequest(ctx, request)
	if err != nil {
		return Completion{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return Completion{}, fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	completion := Completion{Engine: response.Header.Get("X-Hemlockknot-Engine")}
	return completion, completion.readStream(response.Body, out)
}

func sendRequest(ctx context.Context, request Request) (*http.Response, error) {
	body, err := json.Marshal(map[string]any{
		"model":    request.Model,
		"messages": request.Messages,
		"stream":   true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, request.BaseURL+"/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("Authorization", "Bearer "+request.APIKey)
	httpRequest.Header.Set("X-Hemlockknot-Chat", request.Chat)
	return http.DefaultClient.Do(httpRequest)
}

// chunk holds the fields of a stream event that this client reads.
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

// readStream reads a stream up to its terminal event and adds its chunks to the
// completion.
func (c *Completion) readStream(body io.Reader, out io.Writer) error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
		if event.Type == "error" {
			return fmt.Errorf("%w: %s", errIncompleteStream, event.Data)
		}
		if event.Data == "[DONE]" {
			return nil
		}
		if err := c.addChunk(event.Data, out); err != nil {
			return err
		}
	}
	return errIncompleteStream
}

// addChunk decodes a chunk, adds it to the completion and writes its text to out.
func (c *Completion) addChunk(data string, out io.Writer) error {
	var received chunk
	if err := json.Unmarshal([]byte(data), &received); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	for _, choice := range received.Choices {
		c.Text += choice.Delta.Content
		_, _ = io.WriteString(out, choice.Delta.Content)
	}
	if received.Usage != nil {
		c.PromptTokens = received.Usage.PromptTokens
		c.CachedTokens = received.Usage.PromptTokensDetails.CachedTokens
	}
	return nil
}
