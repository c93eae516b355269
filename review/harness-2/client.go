package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// requestNumber numbers the requests of a run.
var requestNumber atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+requestNumber.Add(1)) }

// outcome is how a client attempt ended.
type outcome struct {
	status int // 0: no answer
	whole  bool
	body   string
	err    error
	took   time.Duration
}

// send sends a request on a connection of its own and reads the answer.
func send(address, text string, limit time.Duration) outcome {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return outcome{err: err, took: time.Since(began)}
	}
	defer func() { _ = conn.Close() }()
	return sendOn(conn, bufio.NewReader(conn), text, limit)
}

// sendOn sends a request on a connection and reads the answer.
func sendOn(conn net.Conn, reader *bufio.Reader, text string, limit time.Duration) (result outcome) {
	began := time.Now()
	defer func() { result.took = time.Since(began) }()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, text); err != nil {
		return outcome{err: err}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return outcome{status: response.StatusCode, whole: err == nil, body: string(body), err: err}
}

// requestText returns a request as clients send it.
func requestText(method, target, id, key, prefix string, deadlineMs int, more string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", method, target, host, id)
	if prefix != "" {
		text += named("X-Model: m\r\n{token-count}: 1460,80\r\n{prompt}: ") + prefix + "\r\n"
	}
	text += fmt.Sprintf(named("{deadline}: %d\r\n{key}: %s\r\n%s"), deadlineMs, key, more)
	if method == http.MethodPost {
		return text + "Content-Length: 5\r\n\r\nhello"
	}
	return text + "\r\n"
}

// ordinary counts what ordinary clients get.
type ordinary struct {
	mu                      sync.Mutex
	served, refused, failed int
	firstFailures           []string
	lastServed              time.Time     // the beginning, before the first
	unserved                time.Duration // the longest time in which none was served
}

// runOrdinary sends ordinary requests of all kinds to the daemons in turn until the context ends.
func (w *world) runOrdinary(ctx context.Context, every time.Duration) *ordinary {
	o := &ordinary{lastServed: time.Now()}
	go func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			d := w.daemons[n%len(w.daemons)]
			go o.count(w, d, n)
		}
	}()
	return o
}

func (o *ordinary) count(w *world, d *daemon, n int) {
	id := newID()
	var text string
	switch n % 4 {
	case 0:
		text = requestText("POST", fmt.Sprintf("/lohu930/%x", n%40), id, workspaceKey, fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e4%06x:250", n%90, n), 12000, "")
	case 1:
		text = requestText("POST", fmt.Sprintf("/pufi791/%x", n%40), id, workspaceKey, fmt.Sprintf("77aa07a2:119,31bd%04x:580,f4%06x:130", n%190, n), 10000, "")
	case 2:
		text = requestText("POST", fmt.Sprintf("/puxa403/%x", n%40), id, workspaceKey, "", 4000, "")
	default:
		text = requestText("GET", fmt.Sprintf("/cufi504/%x", n%40), id, workspaceKey, "", 4000, "")
	}
	result := send(d.front(), text, 5*time.Second)
	line, _, _ := strings.Cut(text, " HTTP/")
	w.note("ordinary request %s, %s, at %s: answered %d, whole %t", id, line, d.machine.name, result.status, result.whole)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case result.status == 200 && result.whole:
		o.served++
		o.unserved, o.lastServed = max(o.unserved, time.Since(o.lastServed)), time.Now()
	case result.status == 503 || result.status == 429:
		o.refused++
	default:
		o.failed++
		if len(o.firstFailures) < 20 {
			o.firstFailures = append(o.firstFailures, fmt.Sprintf("%s at %s: status %d, %v", id, d.machine.name, result.status, result.err))
		}
	}
}

func (o *ordinary) counts() (served, refused, failed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served, o.refused, o.failed
}

// longestUnserved returns the longest time in which no ordinary request was served.
func (o *ordinary) longestUnserved() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(o.unserved, time.Since(o.lastServed))
}
