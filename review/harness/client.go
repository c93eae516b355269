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

// text returns the request as it is sent.
func (c call) text() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", c.method, c.path, host) +
		head("request-id", c.id, "deadline", fmt.Sprint(c.deadlineMs), "key", c.key)
	if c.prompt != "" {
		text += head("model", "m", "token-count", "800,80", "prompt", c.prompt)
	}
	if c.resumes != "" {
		text += head("resumes", c.resumes, "last-event", fmt.Sprint(c.lastEvent))
	}
	if c.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	return text + "\r\n" + c.body
}

// send makes one client attempt on a connection of its own.
func send(address string, c call) reply {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(c.deadlineMs) * time.Millisecond))
	if _, err := io.WriteString(conn, c.text()); err != nil {
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
