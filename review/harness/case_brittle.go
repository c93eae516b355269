package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["brittle"] = brittleTargets }

// Figures of brittle targets.
const (
	deskTargets    = 4
	bornRejections = 3                      // N of Server-Brittle: rejections in a second that a target bears
	deskSlots      = 6                      // requests at the same time, as on the users' sheet
	deskQueue      = 24                     // requests that wait, while the target is not brittle
	deskWork       = 100 * time.Millisecond // of each request
	deskInterval   = 5 * time.Millisecond   // between requests of all clients: 83% of what the targets can do
	quietTime      = 5 * time.Second        // before the targets say that they are brittle
	brittleTime    = 30 * time.Second
	releaseTime    = 6 * time.Second // from the beginning of the brittle time
	drainTime      = 3 * time.Second // drainMs and a little longer
	entryLifetime  = 3600 * time.Millisecond
)

// desk is a service whose targets may be brittle.
type desk struct {
	*run
	mu           sync.Mutex
	brittleSince time.Time // zero: sound
	states       map[*target]*deskState
	falls        int
	started      int
	leaving      *target // that drains
}

// deskState is the load of one target.
type deskState struct {
	held     int
	rejected []time.Time
	slots    chan struct{}
}

// start starts a target, under a new id.
func (d *desk) start() (*target, error) {
	d.mu.Lock()
	d.started++
	id := fmt.Sprintf("desk-%d", d.started)
	d.mu.Unlock()
	return startTarget(d.store, d.record, id, "quote-app", zones[d.started%3], "v1", "127.21.9.1", d.handle)
}

func (d *desk) handle(engine *target, conn net.Conn, request *http.Request, _ string) bool {
	d.mu.Lock()
	state := d.states[engine]
	if state == nil {
		state = &deskState{slots: make(chan struct{}, deskSlots)}
		d.states[engine] = state
	}
	now := time.Now()
	brittle := !d.brittleSince.IsZero()
	room := deskSlots + deskQueue
	if brittle && now.Sub(d.brittleSince) > contact {
		room = deskSlots
	}
	if state.held >= room {
		falls := d.reject(engine, state, brittle, now)
		header := d.header(engine, state, request)
		d.mu.Unlock()
		if falls {
			return false
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", header+head("not-run", "1"))
		return err == nil
	}
	state.held++
	d.mu.Unlock()
	state.slots <- struct{}{}
	time.Sleep(deskWork)
	<-state.slots
	d.mu.Lock()
	state.held--
	header := d.header(engine, state, request)
	d.mu.Unlock()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", header+head("stamp", engine.id))
	return err == nil
}

// header returns the header lines that all answers of a target have. The caller holds mu.
func (d *desk) header(engine *target, state *deskState, request *http.Request) string {
	load := fmt.Sprintf("%d,%d,%d", min(state.held, deskSlots), max(0, state.held-deskSlots), deskSlots)
	header := head("request-id", request.Header.Get(named("request-id")), "instance", engine.id, "load", load)
	if !d.brittleSince.IsZero() {
		header += head("brittle", fmt.Sprint(bornRejections))
	}
	if d.leaving == engine {
		header += head("leaving", "1")
	}
	return header
}

// reject counts a request that is turned away for want of room, and reports whether the
// target falls over. It is back after some seconds, under a new id.
func (d *desk) reject(engine *target, state *deskState, brittle bool, now time.Time) (falls bool) {
	recent := state.rejected[:0]
	for _, at := range state.rejected {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	state.rejected = append(recent, now)
	d.logf("target %s turns a request away: %d in the last second", engine.id, len(state.rejected))
	if !brittle || now.Sub(d.brittleSince) < contact || len(state.rejected) <= bornRejections || !engine.crash() {
		return false
	}
	d.falls++
	d.logf("target %s falls over: fall %d", engine.id, d.falls)
	d.replace(engine, engineDown)
	return true
}

// replace starts a target that has ended again after a while, under a new id. The entry of the old
// one lapses after three heartbeats.
func (d *desk) replace(ended *target, down time.Duration) {
	time.AfterFunc(entryLifetime, func() { d.store.remove("servers", ended.id) })
	time.AfterFunc(down, func() {
		started, err := d.start()
		if err != nil {
			d.logf("a target cannot start: %v", err)
			return
		}
		d.logf("it is back as target %s", started.id)
	})
}

// brittleTargets: the targets of a service say that they are brittle. During that time one of
// them is replaced by a new one, as planned.
func brittleTargets(r *run) (broken bool, err error) {
	d := &desk{run: r, states: make(map[*target]*deskState)}
	r.writeConfig(1, route("status-read", "/status/", "idempotent", "quote-app", 2, false))
	var last *target
	for range deskTargets {
		if last, err = d.start(); err != nil {
			return false, err
		}
	}
	fleet, err := r.startFleet()
	if err != nil {
		return false, err
	}
	for i := range 3 {
		more := r.addDaemon(fmt.Sprintf("front-%s-2", zones[i]), zones[i], fmt.Sprintf("127.21.%d.2", i+1), fleet[0].seeds...)
		if err := more.start(true); err != nil {
			return false, err
		}
		if err := more.awaitReady(5 * time.Second); err != nil {
			return false, err
		}
		fleet = append(fleet, more)
	}
	time.Sleep(10 * time.Second)
	stop := time.Now().Add(quietTime + brittleTime)
	if r.trouble {
		time.AfterFunc(quietTime, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.brittleSince = time.Now()
			r.logf("the targets say that they are brittle")
		})
	}
	if os.Getenv("RELEASE") != "0" { // RELEASE=0: no target is replaced
		time.AfterFunc(quietTime+releaseTime, func() {
			next, err := d.start()
			if err != nil {
				r.logf("a target cannot start: %v", err)
				return
			}
			r.logf("target %s starts, and %s, which it replaces, drains", next.id, last.id)
			d.mu.Lock()
			d.leaving = last
			d.mu.Unlock()
			last.register("draining")
			time.AfterFunc(drainTime, func() {
				d.store.remove("servers", last.id)
				last.crash()
				r.logf("target %s has left", last.id)
			})
		})
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[int]int)
	for n := 0; time.Now().Before(stop); n++ {
		clients.Go(func() {
			got := send(fleet[n%len(fleet)].front(), call{method: "GET", path: "/status/7", id: fmt.Sprintf("status-%d", n), key: "key-of-callers", deadlineMs: 4000})
			mu.Lock()
			defer mu.Unlock()
			answers[got.status]++
		})
		time.Sleep(deskInterval)
	}
	clients.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	allowed := 2 + deskTargets/10.0
	r.sayf("answers by status: %v; the targets fell over %d times, %.1f are allowed", answers, d.falls, allowed)
	return float64(d.falls) > allowed, nil
}
