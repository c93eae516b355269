package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["part"] = fatalPart }

// Figures of the fatal part.
const (
	fatalPartID       = "dead0001"
	fatalInterval     = time.Second // between two requests with the part
	fatalRequests     = 32          // sent in all
	soundInterval     = 50 * time.Millisecond
	crashesUntilKnown = 5 // by the rule
	allowedAfter      = 3 // by the rule
)

// fatalPart: one part of a prompt crashes each target that begins to write an answer on it,
// before a byte of the answer has left the target. No two of the requests are alike.
func fatalPart(r *run) (broken bool, err error) {
	var seen arrivals
	handle := func(engine *target, conn net.Conn, request *http.Request, _ string) bool {
		id := request.Header.Get(named("request-id"))
		fatal := hasSharedPart(request, fatalPartID)
		seen.mu.Lock()
		if fatal {
			seen.fatal = append(seen.fatal, time.Now())
		} else {
			seen.sound++
		}
		seen.mu.Unlock()
		if fatal {
			r.logf("%s reaches target %s", id, engine.id)
		}
		time.Sleep(prefillTime)
		if fatal && r.trouble {
			seen.mu.Lock()
			seen.crashes = append(seen.crashes, time.Now())
			r.logf("target %s crashes as it begins to write the answer to %s: crash %d", engine.id, id, len(seen.crashes))
			seen.mu.Unlock()
			engine.crashFor(engineDown)
			return false
		}
		return engine.stream(conn, request, 10, 10*time.Millisecond)
	}
	r.writeConfig(1, route("cust-answer", "/answer/", "streaming", "hk-model", 1, false))
	for i := range engineCount {
		if _, err := startTarget(r.store, r.record, fmt.Sprintf("i-%02d", i+1), "hk-model", zones[i%3], "v1", "127.21.9.1", handle); err != nil {
			return false, err
		}
	}
	fleet, err := r.startFleet()
	if err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, unserved int
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundInterval):
			}
			clients.Go(func() {
				got := send(fleet[n%3].front(), call{
					method: "POST", path: "/answer/q", id: fmt.Sprintf("sound-%d", n), body: fmt.Sprintf("ask %d", n), key: "key-of-callers", deadlineMs: 10000,
					prompt: fmt.Sprintf("aa01:119,5e55%02d:580,%x:130", n%8, 0x10000+n),
				})
				seen.mu.Lock()
				defer seen.mu.Unlock()
				if got.status == http.StatusOK && got.complete {
					served++
				} else {
					unserved++
				}
			})
		}
	})
	for n := range fatalRequests {
		id := fmt.Sprintf("with-part-%d", n+1)
		r.logf("%s is sent to %s", id, fleet[n%3].name)
		clients.Go(func() {
			got := send(fleet[n%3].front(), call{
				method: "POST", path: "/answer/q", id: id, body: fmt.Sprintf("other question %d", n), key: "key-of-callers", deadlineMs: 10000,
				prompt: fmt.Sprintf("aa01:119,%s:60,5e55%02d:580,%x:130", fatalPartID, n%8, 0x90000+n),
			})
			r.logf("%s is answered %d %.40q, Retry-After %q", id, got.status, got.body, got.retryAfter())
		})
		time.Sleep(fatalInterval)
	}
	close(stop)
	clients.Wait()
	seen.mu.Lock()
	defer seen.mu.Unlock()
	r.sayf("%d requests with the part were sent, %d reached targets, %d crashes; sound: %d served, %d not", fatalRequests, len(seen.fatal), len(seen.crashes), served, unserved)
	if len(seen.crashes) < crashesUntilKnown {
		return false, nil
	}
	known := seen.crashes[crashesUntilKnown-1].Add(contact)
	late := 0
	for _, at := range seen.fatal {
		if at.After(known) {
			late++
		}
	}
	r.sayf("fifth crash at %.3f; later than %.3f, %d requests with the part reached targets, %d are allowed", r.at(seen.crashes[crashesUntilKnown-1]), r.at(known), late, allowedAfter)
	return late > allowedAfter, nil
}
