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

// outcome is what a caller received.
type outcome struct {
	complete   bool
	status     int
	firstToken time.Duration // from the request's sending
}

// newCallerClient returns a client that keeps its connections.
func newCallerClient() *http.Client {
	const idleConns = 512
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
}

// send makes one streamed chat request to a daemon or straight to an engine.
func send(ctx context.Context, client *http.Client, address, chat string, messages []message, tokens int) (outcome, error) {
	body, err := json.Marshal(map[string]any{
		"model": serviceName, "messages": messages, "stream": true, "max_tokens": tokens,
	})
	if err != nil {
		return outcome{}, err
	}
	url := "http://" + address + targetapi.PathChat
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return outcome{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+workspaceKey)
	request.Header.Set(targetapi.HeaderRequestID, xid.New().String())
	request.Header.Set(caller.HeaderChat, chat)
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return outcome{}, fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	received := outcome{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return received, nil
	}
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			return received, fmt.Errorf("read answer of %s: %w", address, err)
		}
		if received.firstToken == 0 {
			received.firstToken = time.Since(begun)
		}
		received.complete = event.Data == targetapi.StreamDone
	}
	return received, nil
}
