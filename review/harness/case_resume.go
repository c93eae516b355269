package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume"] = resumedStreams }

// Figures of the streams that are taken up.
const (
	longStreams   = 24
	longEvents    = 120
	patience      = 2400 * time.Millisecond // gap after which a client abandons its stream: eight times 300 ms
	releaseDelay  = time.Second             // from the power loss until the new version registers
	judgedAtLeast = 12                      // by the rule
)

// resumedStreams: a machine loses power. Before its clients notice, the first target of another
// software version joins the service. The clients take their streams up at the other machines.
func resumedStreams(r *run) (broken bool, err error) {
	handle := func(engine *target, conn net.Conn, request *http.Request, _ string) bool {
		r.logf("%s reaches target %s of version %s, Last-Event-Id %q", request.Header.Get(named("request-id")), engine.id, engine.version, request.Header.Get(named("last-event")))
		time.Sleep(prefillTime)
		return engine.stream(conn, request, longEvents, eventGap)
	}
	r.writeConfig(1, route("quote-draft", "/draft/", "streaming", "hk-model", 2, true))
	for i := range 4 {
		if _, err := startTarget(r.store, r.record, fmt.Sprintf("old-%d", i+1), "hk-model", zones[i%3], "v1", "127.21.9.1", handle); err != nil {
			return false, err
		}
	}
	fleet, err := r.startFleet()
	if err != nil {
		return false, err
	}
	lost, others := fleet[0], fleet[1:]
	entry, err := newProxy("127.21.8.1", lost.front()) // through which the clients of the lost machine come
	if err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // the system is in steady state, all machines are in touch
	var mu sync.Mutex
	var clients sync.WaitGroup
	taken, goneOn, begun, tried := 0, 0, 0, 0
	for n := range longStreams {
		clients.Go(func() {
			c := call{
				method: "POST", path: "/draft/q", id: fmt.Sprintf("draft-%d", n), body: fmt.Sprintf("draft %d", n), key: "key-of-surveyors", deadlineMs: 12000,
				prompt: fmt.Sprintf("cc01:512,5e55%02d:1000,%x:300", n%8, 0x40000+n),
			}
			last, complete := readUntilSilent(entry.address, c)
			r.logf("%s, sent to %s, ends after event %d, complete: %t", c.id, lost.name, last, complete)
			if complete || last == 0 {
				return
			}
			again := c
			again.id, again.resumes, again.lastEvent = c.id+"-again", c.id, last
			got := send(others[n%len(others)].front(), again)
			r.logf("%s, sent to %s, takes up %s after event %d: answered %d %.60q with %d events, Retry-After %q", again.id, others[n%len(others)].name, c.id, last, got.status, got.body, len(got.events), got.retryAfter())
			mu.Lock()
			defer mu.Unlock()
			taken++
			if got.status == http.StatusOK && len(got.events) > 0 {
				goneOn++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		entry.setCut(true)
		lost.kill()
		r.logf("%s loses power", lost.name)
	}
	time.Sleep(releaseDelay)
	if os.Getenv("RELEASE") != "0" {
		if _, err := startTarget(r.store, r.record, "new-1", "hk-model", zones[0], "v2", "127.21.9.1", handle); err != nil {
			return false, err
		}
		r.logf("the first target of version v2 registers")
	}
	for n := range longStreams { // new streams meanwhile
		clients.Go(func() {
			c := call{
				method: "POST", path: "/draft/q", id: fmt.Sprintf("fresh-%d", n), body: fmt.Sprintf("fresh %d", n), key: "key-of-surveyors", deadlineMs: 12000,
				prompt: fmt.Sprintf("cc01:512,5e55%02d:1000,%x:300", n%8, 0x50000+n),
			}
			got := send(others[n%len(others)].front(), c)
			mu.Lock()
			defer mu.Unlock()
			tried++
			if got.status == http.StatusOK && len(got.events) > 0 {
				begun++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	r.sayf("%d streams were taken up while 4 targets of their version served, %d of them went on; %d of %d new streams began", taken, goneOn, begun, tried)
	if taken < judgedAtLeast {
		return false, nil
	}
	return float64(goneOn)/float64(taken) < 0.5*float64(begun)/float64(tried), nil
}

// readUntilSilent begins a stream and reads it until it ends or is silent for longer than a client
// waits. It returns the id of the last event, and whether the stream was complete.
func readUntilSilent(address string, c call) (last int, complete bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, c.text())
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	lines := bufio.NewScanner(response.Body)
	pending := 0
	for lines.Scan() {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		if strings.HasPrefix(lines.Text(), "id: ") {
			_, _ = fmt.Sscanf(lines.Text(), "id: %d", &pending)
		}
		if lines.Text() == "" {
			last = pending
		}
	}
	return last, lines.Err() == nil && last == longEvents
}
