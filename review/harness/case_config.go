package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["config"] = staleConfig }

// Figures of the stale configuration.
const (
	powerOff     = 3500 * time.Millisecond // how long machines lose power, as on the sheet's days
	killAfter    = 4 * time.Second         // from the start of the added machines
	pollInterval = 25 * time.Millisecond
	observeTime  = 6 * time.Second // from the power loss
)

// lookup is a request on the route that is moved, and where it ran.
type lookup struct {
	sentAt  time.Time
	machine string
	service string
}

// staleConfig: two machines are added. Four seconds later the three others lose power, and the
// operator moves a route to another service. The added machines must follow within configApply.
func staleConfig(r *run) (broken bool, err error) {
	var mu sync.Mutex
	ranAt := make(map[string]string) // service by request
	handle := func(engine *target, conn net.Conn, request *http.Request, _ string) bool {
		id := request.Header.Get(named("request-id"))
		mu.Lock()
		ranAt[id] = engine.service
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		return engine.answer(conn, request, "status of "+id)
	}
	status := func(service string) routeSpec {
		return route("status-read", "/status/", "idempotent", service, 2, false)
	}
	book := route("deposit-book", "/book/", "non_idempotent", "quote-app", 1, false)
	r.writeConfig(1, status("quote-app"), book)
	for _, service := range []string{"quote-app", "quote-app-next"} {
		for i := range 3 {
			if _, err := startTarget(r.store, r.record, fmt.Sprintf("%s-%d", service, i+1), service, zones[i], "v1", "127.21.9.1", handle); err != nil {
				return false, err
			}
		}
	}
	old, err := r.startFleet()
	if err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // the system is in steady state
	added := []*daemon{
		r.addDaemon("front-lhr-a-2", "lhr-a", "127.21.1.2", old[0].seeds...),
		r.addDaemon("front-lhr-b-2", "lhr-b", "127.21.2.2", old[0].seeds...),
	}
	for _, d := range added {
		if err := d.start(false); err != nil {
			return false, err
		}
		r.logf("%s is added", d.name)
	}
	for _, d := range added {
		if err := d.awaitReady(3 * time.Second); err != nil {
			return false, err
		}
		r.logf("%s is ready", d.name)
	}
	// Usual changes just before: a further route, and a further target.
	time.Sleep(time.Until(added[1].startedAt.Add(killAfter - 300*time.Millisecond)))
	r.writeConfig(2, status("quote-app"), book, route("status-read-2", "/status2/", "idempotent", "quote-app", 2, false))
	if _, err := startTarget(r.store, r.record, "quote-app-4", "quote-app", zones[0], "v1", "127.21.9.1", handle); err != nil {
		return false, err
	}
	time.Sleep(time.Until(added[1].startedAt.Add(killAfter)))
	if r.trouble {
		r.logf("the three other machines lose power")
		for _, d := range old {
			d.kill()
		}
	}
	r.writeConfig(3, status("quote-app-next"), book, route("status-read-2", "/status2/", "idempotent", "quote-app", 2, false))
	acknowledged := time.Now()
	var lookups []lookup
	var clients sync.WaitGroup
	restarted := false
	for n := 0; time.Since(acknowledged) < observeTime; n++ {
		if r.trouble && !restarted && time.Since(acknowledged) > powerOff {
			restarted = true
			for _, d := range old {
				if err := d.start(false); err != nil {
					return false, err
				}
			}
			r.logf("the three other machines have power again")
		}
		clients.Go(func() {
			d := added[n%2]
			id, sentAt := fmt.Sprintf("status-%d", n), time.Now()
			got := send(d.front(), call{method: "GET", path: "/status/7", id: id, key: "key-of-callers", deadlineMs: 4000})
			mu.Lock()
			defer mu.Unlock()
			lookups = append(lookups, lookup{sentAt, d.name, ranAt[id]})
			r.logf("%s, sent to %s at %.3f, %.3f s after the acknowledgement, is answered %d, run by %q", id, d.name, r.at(sentAt), sentAt.Sub(acknowledged).Seconds(), got.status, ranAt[id])
		})
		time.Sleep(pollInterval)
	}
	clients.Wait()
	stale, total, last := 0, 0, time.Duration(0)
	for _, l := range lookups {
		if after := l.sentAt.Sub(acknowledged); after > configApply {
			total++
			if l.service == "quote-app" {
				stale++
				last = max(last, after)
			}
		}
	}
	r.sayf("of %d requests that were sent later than %s after the acknowledgement of version 3, %d were run by the service of version 2, the last one sent %.3f s after it", total, configApply, stale, last.Seconds())
	return stale > 0, nil
}
