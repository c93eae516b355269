package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/transport/caller"
)

// callerTimeout limits one request of a test caller.
const callerTimeout = 60 * time.Second

// callResult is the response that a test caller received, or its error.
type callResult struct {
	status       int
	header       http.Header
	text         string // generated text of a stream, or the body
	tokens       int    // content chunks received
	cachedTokens int    // prompt tokens found in the engine's prefix cache
	complete     bool   // the terminal event or the whole body was received
	refusal      *refusal.BodyError
	err          error
}

// engine returns the name of the engine that served the request.
func (r callResult) engine() string { return r.header.Get(caller.HeaderEngine) }

// chatRequest is a test caller's chat completions request.
type chatRequest struct {
	model     string
	chat      string // chat name; also the first user message
	turns     int    // further answers and questions in the conversation
	maxTokens int
	stream    bool
	key       string // API key, sent as bearer token
	class     string
	onToken   func(n int) // called after each token with the number so far; may be nil
}

// body returns the JSON body of the request.
func (c chatRequest) body() string {
	messages := []map[string]string{{"role": "user", "content": c.chat}}
	for turn := range c.turns {
		messages = append(messages,
			map[string]string{"role": "assistant", "content": fmt.Sprintf("answer %d of %s", turn, c.chat)},
			map[string]string{"role": "user", "content": fmt.Sprintf("question %d of %s %s", turn, c.chat, strings.Repeat("x", 400))})
	}
	encoded, err := json.Marshal(map[string]any{
		"model": c.model, "messages": messages, "stream": c.stream, "max_tokens": c.maxTokens,
	})
	if err != nil {
		panic(err) // maps of strings always encode
	}
	return string(encoded)
}

// send sends the chat request to a daemon and reads the whole response.
func (c chatRequest) send(ctx context.Context, daemon *process) callResult {
	header := http.Header{"Content-Type": {"application/json"}, "Authorization": {"Bearer " + c.key}}
	header.Set(caller.HeaderChat, c.chat)
	if c.class != "" {
		header.Set(caller.HeaderClass, c.class)
	}
	return callWithTokenHook(ctx, daemon, http.MethodPost, targetapi.PathChat, header, c.body(), c.onToken)
}

// call sends a request to a daemon's port for callers.
func call(ctx context.Context, daemon *process, method, path string, header http.Header, body string) callResult {
	return callWithTokenHook(ctx, daemon, method, path, header, body, nil)
}

// callWithTokenHook is like call, and calls onToken, if it is not nil, after each
// token of a stream.
func callWithTokenHook(ctx context.Context, daemon *process, method, path string, header http.Header, body string, onToken func(int)) callResult {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+daemon.addresses["callers"]+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	return readResponse(response, onToken)
}

// readResponse reads the body of a response and calls onToken, if it is not nil, after each
// token of a stream.
func readResponse(response *http.Response, onToken func(int)) callResult {
	defer func() { _ = response.Body.Close() }()
	result := callResult{status: response.StatusCode, header: response.Header}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		result.readStream(response.Body, onToken)
		return result
	}
	text, err := io.ReadAll(response.Body)
	result.text, result.err, result.complete = string(text), err, err == nil
	if response.Header.Get(refusal.HeaderReason) != "" {
		result.readRefusal(text)
	}
	return result
}

// readRefusal decodes the body of a refusal or of an error event.
func (r *callResult) readRefusal(text []byte) {
	var body refusal.Body
	if err := json.Unmarshal(text, &body); err != nil {
		r.err = err
		return
	}
	r.refusal, r.complete = &body.Error, false
}

// streamChunk holds the fields of a stream event that test callers read.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readStream reads server-sent events until the terminal event or an error event.
func (r *callResult) readStream(body io.Reader, onToken func(int)) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			r.err = err
			return
		}
		if event.Type == "error" {
			r.readRefusal([]byte(event.Data))
			return
		}
		if event.Data == targetapi.StreamDone {
			r.complete = true
			return
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			r.err = err
			return
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				r.tokens++
				r.text += choice.Delta.Content
				if onToken != nil {
					onToken(r.tokens)
				}
			}
		}
		if chunk.Usage != nil {
			r.cachedTokens = chunk.Usage.PromptTokensDetails.CachedTokens
		}
	}
}

// expectedText returns the text that a stand-in engine generates for a chat.
func expectedText(chat string, tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		fmt.Fprintf(&text, "%s-%d ", chat, n)
	}
	return text.String()
}
