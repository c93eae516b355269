package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["request"] = fatalRequest }

// fatalBody is the body of the request that crashes each runner that begins to run it.
const fatalBody = "the survey that crashes runners"

// Figures of the fatal request.
const (
	runsUntilKnown  = 3 // crashes, by the rule
	allowedRetries  = 3 // by the rule
	rounds          = 3 // in which the request comes again after the restart
	platformRestart = time.Second
)

// fatalRequest: one request crashes each runner that begins to run it, and comes again. All
// daemons know it. Then the processes of all daemons are killed and started again.
func fatalRequest(r *run) (broken bool, err error) {
	var seen arrivals
	handle := func(engine *runner, conn net.Conn, request *http.Request, body string) bool {
		if body != fatalBody {
			time.Sleep(prefillTime)
			return engine.stream(conn, request, 3, 10*time.Millisecond)
		}
		seen.mu.Lock()
		seen.fatal = append(seen.fatal, time.Now())
		r.logf("%s reaches runner %s, which begins to run it", request.Header.Get("X-Request-Id"), engine.id)
		seen.mu.Unlock()
		time.Sleep(prefillTime)
		if engine.crashFor(engineDown) {
			seen.mu.Lock()
			seen.crashes = append(seen.crashes, time.Now())
			r.logf("runner %s crashes: crash %d", engine.id, len(seen.crashes))
			seen.mu.Unlock()
		}
		return false
	}
	r.writeConfig(1, route("survey-sum", "/survey/", "streaming", "hk-model", 2, true))
	for i := range engineCount {
		if _, err := startRunner(r.store, r.record, fmt.Sprintf("i-%02d", i+1), "hk-model", zones[i%3], "v1", "127.21.9.1", handle); err != nil {
			return false, err
		}
	}
	fleet, err := r.startFleet()
	if err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	sent := 0
	sendFatal := func(d *daemon) int {
		seen.mu.Lock()
		sent++
		id := fmt.Sprintf("fatal-%d", sent)
		r.logf("%s is sent to %s", id, d.name)
		seen.mu.Unlock()
		got := send(d.front(), call{
			method: "POST", path: "/survey/42", id: id, body: fatalBody, key: "key-of-surveyors", deadlineMs: 2500,
			prompt: fmt.Sprintf("bb01:341,5e5501:1700,%s:360", "fa7a1"),
		})
		r.logf("%s is answered %d %.40q, Retry-After %q", id, got.status, got.body, got.retryAfter())
		return got.status
	}
	refused := 0
	for n := 0; n < 20 && refused < len(fleet); n++ {
		if sendFatal(fleet[n%len(fleet)]) == http.StatusServiceUnavailable {
			refused++
		} else {
			refused = 0
		}
		time.Sleep(time.Second)
	}
	if refused < len(fleet) || len(seen.crashes) < runsUntilKnown {
		return false, fmt.Errorf("the request is not held back after %d crashes", len(seen.crashes))
	}
	r.sayf("after %d crashes each daemon refuses the request", len(seen.crashes))
	time.Sleep(contact)
	if r.trouble {
		r.logf("the processes of all daemons are killed")
		for _, d := range fleet {
			d.kill()
		}
		time.Sleep(platformRestart)
		for _, d := range fleet {
			if err := d.start(false); err != nil {
				return false, err
			}
		}
		for _, d := range fleet {
			if err := d.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			r.logf("%s is ready again", d.name)
		}
	}
	time.Sleep(contact + time.Second) // all machines are in touch again
	for range rounds {
		var clients sync.WaitGroup
		for _, d := range fleet {
			clients.Go(func() { sendFatal(d) })
		}
		clients.Wait()
		time.Sleep(time.Second)
	}
	seen.mu.Lock()
	defer seen.mu.Unlock()
	known := seen.crashes[runsUntilKnown-1].Add(contact)
	late := len(slices.DeleteFunc(slices.Clone(seen.fatal), func(at time.Time) bool { return !at.After(known) }))
	r.sayf("third crash at %.3f; later than %.3f, the request reached runners %d times, sent by machines in touch; %d are allowed", r.at(seen.crashes[runsUntilKnown-1]), r.at(known), late, allowedRetries)
	return late > allowedRetries, nil
}
