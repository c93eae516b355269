package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["version"] = softwareVersions }

// Figures of the software versions.
const (
	takenUpStreams  = 6
	allowedMixed    = 2 // by the rule
	eventsOfStream  = 40
	eventGap        = 50 * time.Millisecond
	releaseAfter    = 3 * time.Second // from the start of the second machine
	storeCutAfter   = 2 * time.Second
	streamsAfter    = 5 * time.Second
	crashAfter      = 6 * time.Second
	clientPause     = 50 * time.Millisecond // before a client takes its stream up
	takeUpAttempts  = 3                     // of a client whose stream is refused
	versionDeadline = 10000
)

// softwareVersions: one of three machines is cut off from the others, and then from the store.
// Meanwhile a target of another software version joins, begins streams by way of another
// machine, and crashes. The clients take their streams up at the machine that is cut off.
func softwareVersions(r *run) (broken bool, err error) {
	handle := func(engine *target, conn net.Conn, request *http.Request, _ string) bool {
		r.logf("%s reaches target %s of version %s, Last-Event-Id %q, Resumes %q", request.Header.Get(named("request-id")), engine.id, engine.version, request.Header.Get(named("last-event")), request.Header.Get(named("resumes")))
		time.Sleep(prefillTime)
		return engine.stream(conn, request, eventsOfStream, eventGap)
	}
	r.writeConfig(1, route("quote-draft", "/draft/", "streaming", "hk-model", 2, true))
	for i := range 3 {
		if _, err := startTarget(r.store, r.record, fmt.Sprintf("old-%d", i+1), "hk-model", zones[i], "v1", "127.21.9.1", handle); err != nil {
			return false, err
		}
	}
	// All paths between the second machine and the others, and to the store, are proxies.
	const firstIP, secondIP, thirdIP = "127.21.1.1", "127.21.2.1", "127.21.3.1"
	control := func(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(r.ports.control)) }
	var proxies []*proxy // from and to the second machine
	for _, target := range []string{control(firstIP), control(thirdIP), control(secondIP)} {
		p, err := newProxy("127.21.8.1", target)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
	}
	toFirst, toThird, toSecond := proxies[0].address, proxies[1].address, proxies[2].address
	toStore, err := newProxy("127.21.8.1", r.store.address)
	if err != nil {
		return false, err
	}
	first := r.addDaemon("front-lhr-a-1", "lhr-a", firstIP, control(firstIP), toSecond, control(thirdIP))
	second := r.addDaemon("front-lhr-b-1", "lhr-b", secondIP, toFirst, control(secondIP), toThird)
	third := r.addDaemon("front-lhr-c-1", "lhr-c", thirdIP, control(firstIP), toSecond, control(thirdIP))
	second.storeAddress = toStore.address
	if r.trouble {
		r.logf("%s is cut off from the other machines", second.name)
		for _, p := range proxies {
			p.setCut(true)
		}
	}
	for _, d := range []*daemon{first, second, third} {
		if err := d.start(true); err != nil {
			return false, err
		}
	}
	for _, d := range []*daemon{first, second, third} {
		if err := d.awaitReady(5 * time.Second); err != nil {
			return false, err
		}
		r.logf("%s is ready", d.name)
	}
	since := func(after time.Duration) { time.Sleep(time.Until(second.startedAt.Add(after))) }
	since(storeCutAfter)
	if r.trouble {
		r.logf("%s is cut off from the store too", second.name)
		toStore.setCut(true)
	}
	since(releaseAfter)
	canary, err := startTarget(r.store, r.record, "new-1", "hk-model", zones[0], "v2", "127.21.9.1", handle)
	if err != nil {
		return false, err
	}
	r.logf("target %s of version %s registers", canary.id, canary.version)
	since(streamsAfter)
	var mu sync.Mutex
	var clients sync.WaitGroup
	mixed, began := 0, 0
	// Streams go to the target of their session: enough are begun that some are at the new one.
	for n := range 6 * takenUpStreams {
		clients.Go(func() {
			c := call{
				method: "POST", path: "/draft/q", id: fmt.Sprintf("draft-%d", n), body: fmt.Sprintf("draft %d", n), key: "key-of-surveyors", deadlineMs: versionDeadline,
				prompt: fmt.Sprintf("cc01:512,5e55%02d:1000,%x:300", n, 0x40000+n),
			}
			got := send(first.front(), c)
			r.logf("%s, sent to %s, is answered %d with %d events by %q, complete: %t", c.id, first.name, got.status, len(got.events), got.header.Get(named("stamp")), got.complete)
			if got.complete || len(got.events) == 0 {
				return
			}
			mu.Lock()
			began++
			mu.Unlock()
			all := got.events
			for attempt := range takeUpAttempts {
				time.Sleep(clientPause)
				again := c
				again.id, again.resumes, again.lastEvent = fmt.Sprintf("%s-again-%d", c.id, attempt+1), c.id, lastEventOf(all)
				next := send(second.front(), again)
				r.logf("%s, sent to %s, takes up %s after event %d: answered %d with %d events, complete: %t, Retry-After %q", again.id, second.name, c.id, again.lastEvent, next.status, len(next.events), next.complete, next.retryAfter())
				all = append(all, next.events...)
				if next.status == http.StatusOK {
					break
				}
			}
			versions := versionsOf(all)
			r.logf("%s: %d events from targets of versions %v", c.id, len(all), versions)
			if len(versions) > 1 {
				mu.Lock()
				mixed++
				mu.Unlock()
			}
		})
	}
	since(crashAfter)
	canary.crash()
	r.logf("target %s crashes", canary.id)
	clients.Wait()
	r.sayf("%d streams were begun by the target of version v2 and broke off; %d of them hold events of both versions, %d are allowed", began, mixed, allowedMixed)
	if began <= allowedMixed {
		return false, fmt.Errorf("only %d streams were at the new target", began)
	}
	return mixed > allowedMixed, nil
}

// lastEventOf returns the id of the last event.
func lastEventOf(events []string) int {
	var id int
	_, _ = fmt.Sscanf(events[len(events)-1], "id: %d", &id)
	return id
}

// versionsOf returns the software versions of the targets that wrote the events.
func versionsOf(events []string) []string {
	var versions []string
	seen := make(map[string]bool)
	for _, event := range events {
		version := event[strings.LastIndex(event, " ")+1:]
		if !seen[version] {
			seen[version] = true
			versions = append(versions, version)
		}
	}
	return versions
}
