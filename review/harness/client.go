package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	method, path, id, body string
	key                    string
	deadlineMs             int
	prompt                 string // parts, empty for plain services
	resumes                string
	lastEvent              int
}

// reply is what came of a client attempt.
type reply struct {
	status   int // 0: no answer
	header   http.Header
	events   []string // complete events of a stream
	body     string
	complete bool
	err      error
}

const host = "quotes.example"

// send makes one client attempt on a connection of its own.
func send(address string, c call) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(c.deadlineMs) * time.Millisecond))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\n", c.method, c.path, host, c.id, c.deadlineMs, c.key)
	if c.prompt != "" {
		fmt.Fprintf(&text, "X-Model: m\r\nX-Token-Count: 800,80\r\nX-Prompt-Prefix: %s\r\n", c.prompt)
	}
	if c.resumes != "" {
		fmt.Fprintf(&text, "Resumes: %s\r\nLast-Event-Id: %d\r\n", c.resumes, c.lastEvent)
	}
	if c.body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(c.body))
	}
	if _, err := io.WriteString(conn, text.String()+"\r\n"+c.body); err != nil {
		return reply{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return reply{err: err}
	}
	content, err := io.ReadAll(response.Body)
	result := reply{status: response.StatusCode, header: response.Header, body: string(content), complete: err == nil, err: err}
	pieces := strings.Split(string(content), "\n\n")
	if response.Header.Get("Content-Type") == "text/event-stream" {
		result.events = pieces[:len(pieces)-1]
	}
	return result
}

// retryAfter returns how long the answer tells the client to wait.
func (r reply) retryAfter() string {
	if r.header == nil {
		return ""
	}
	return r.header.Get("Retry-After")
}
