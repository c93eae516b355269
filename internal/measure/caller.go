package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rs/xid"
	"github.com/tmaxmax/go-sse"

	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/transport/caller"
)

// chatResult is the response to a chat request.
type chatResult struct {
	complete   bool // the stream reached its end marker
	status     int
	firstToken time.Duration // since the request was sent
}

// newCallerClient returns a client that keeps idle connections for reuse.
func newCallerClient() *http.Client {
	const maxIdleConnsPerHost = 512
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}
}

// sendChat sends a streaming chat request to a daemon or directly to an engine and
// reads the response to its end. A status other than 200 is not an error.
func sendChat(ctx context.Context, client *http.Client, address, chat string, messages []message, answerTokens int) (chatResult, error) {
	body, err := json.Marshal(map[string]any{
		"model": serviceName, "messages": messages, "stream": true, "max_tokens": answerTokens,
	})
	if err != nil {
		return chatResult{}, err
	}
	url := "http://" + address + targetapi.PathChat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return chatResult{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	request.Header.Set(targetapi.HeaderRequestID, xid.New().String())
	request.Header.Set(caller.HeaderChat, chat)
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return chatResult{}, fmt.Errorf("send chat request to %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	result := chatResult{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return result, nil
	}
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return result, fmt.Errorf("read response of %s: %w", address, err)
		}
		if result.firstToken == 0 {
			result.firstToken = time.Since(start)
		}
		result.complete = event.Data == targetapi.StreamDone
	}
	return result, nil
}
