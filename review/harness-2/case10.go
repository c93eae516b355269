package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = fatalPartAfterARestart }

// fatalPartAfterARestart: requests with one part of their prompts crash the model runners. After the
// fifth crash all processes of the system are killed once, and start again.
func fatalPartAfterARestart(w *world) verdict {
	const (
		contact   = 3 * time.Second
		between   = 2 * time.Second // two such requests
		runnerOff = 3 * time.Second
		playFor   = 75 * time.Second
	)
	w.store.putConfig(1, ordinaryRoutes())
	const fatal = "dead07a2"
	var mu sync.Mutex
	var runs []execution // of requests with the part
	for i := range 9 {
		r := w.addRunner(engines, string("abc"[i%3]), true)
		r.crashOn = func(m *message) bool { return strings.HasPrefix(m.get("X-Prompt-Prefix"), fatal) }
		r.onRun = func(e execution) {
			if e.tenant == otherTenant {
				mu.Lock()
				runs = append(runs, e)
				mu.Unlock()
				w.note("request %s with the part reaches %s and crashes it", e.id, e.runner.id)
				go func() { time.Sleep(runnerOff); r.restart() }()
			}
		}
	}
	for i := range 3 {
		w.addRunner(application, string("abc"[i]), false)
	}
	w.addMachines(3)
	for _, d := range w.daemons {
		d.start()
	}
	w.awaitReady(w.daemons...)
	time.Sleep(contact)
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	others := w.runOrdinary(ctx, 25*time.Millisecond)
	count := func() int { mu.Lock(); defer mu.Unlock(); return len(runs) }
	sendOne := func(n int) {
		id := newID()
		d := w.daemons[rand.IntN(len(w.daemons))]
		result := send(d.front(), requestText("POST", fmt.Sprintf("/lohu930/%x", n), id, otherKey, fmt.Sprintf("%s:800,a1%06x:410,e4%06x:250", fatal, n, n), 6000, ""), 7*time.Second)
		w.note("request %s at %s: status %d %s", id, d.machine.name, result.status, strings.TrimSpace(result.body))
	}
	n := 0
	began := time.Now()
	for count() < 5 && time.Since(began) < 30*time.Second {
		n++
		sendOne(n)
		time.Sleep(between)
	}
	if count() < 5 {
		return verdict{invalid: "fewer than five crashes"}
	}
	mu.Lock()
	fifth := runs[4].at
	mu.Unlock()
	w.note("the fifth crash was %.1f s ago", time.Since(fifth).Seconds())
	time.Sleep(5 * time.Second)
	var inTouchFrom time.Time = fifth.Add(contact)
	if w.trouble {
		w.note("all processes are killed")
		for _, d := range w.daemons {
			d.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, d := range w.daemons {
			d.start()
		}
		w.awaitReady(w.daemons...)
		inTouchFrom = time.Now().Add(contact)
		w.note("all processes are ready again")
	}
	time.Sleep(contact + time.Second)
	for ctx.Err() == nil && time.Since(began) < 65*time.Second {
		n++
		sendOne(n)
		time.Sleep(between)
	}
	cancel()
	after := 0
	mu.Lock()
	for _, e := range runs {
		if e.at.After(inTouchFrom) && e.at.After(fifth.Add(contact)) {
			after++
		}
	}
	mu.Unlock()
	ok, refused, failed := others.counts()
	w.note("ordinary requests: %d served, %d refused, %d failed; the first: %s", ok, refused, failed, strings.Join(others.firstFailures, "; "))
	summary := fmt.Sprintf("%d requests with the part, of %d sent, reached runners later than %s after the fifth crash, from machines in touch", after, n, contact)
	if after > 3 {
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}
