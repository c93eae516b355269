package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = largeEntriesOfAnotherWriter }

// largeEntriesOfAnotherWriter: another writer puts entries that can't be read into the list of
// servers. Servers then leave one after the other, as at a release. No request may reach one later
// than drainMs after the store has accepted that it is draining.
func largeEntriesOfAnotherWriter(w *world) verdict {
	const (
		entries     = 20
		servers     = 9
		sessions    = 27
		eachSession = 18 * time.Second // time between two requests of a session
		drain       = 2 * time.Second
		serveFor    = 9 * time.Second // after the store has accepted that a server is draining
		gap         = 3 * time.Second // between the servers that leave
		leave       = 5
	)
	w.store.putConfig(1, ordinaryRoutes())
	var mu sync.Mutex
	drainingAt := make(map[string]time.Time)
	var late []string
	var all []*server
	var arrived atomic.Int64
	for i := range servers {
		r := w.addServer(engines, string("abc"[i%3]), true)
		r.onRun = func(e execution) {
			arrived.Add(1)
			mu.Lock()
			defer mu.Unlock()
			if at, draining := drainingAt[r.id]; draining {
				after := e.at.Sub(at)
				w.note("request %s reaches %s %.2f s after the store accepted that it is draining", e.id, r.id, after.Seconds())
				if after > drain {
					late = append(late, fmt.Sprintf("%s at %s after %.2f s", e.id, r.id, after.Seconds()))
				}
			}
		}
		all = append(all, r)
	}
	for i := range 3 {
		w.addServer(application, string("abc"[i]), false)
	}
	w.addMachines(3)
	for _, d := range w.daemons {
		d.start()
	}
	w.awaitReady(w.daemons...)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var served, failed atomic.Int64
	go func() { // returning chats
		ticker := time.NewTicker(eachSession / sessions)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			go func() {
				id := newID()
				d := w.daemons[n%len(w.daemons)]
				session := n % sessions
				result := send(d.front(), requestText("POST", fmt.Sprintf("/pufi791/%x", session), id, workspaceKey, fmt.Sprintf("77aa07a2:119,31bd%04x:580,f4%06x:130", session, n), 10000, ""), 10*time.Second)
				w.note("request %s of session %d at %s: answered %d, whole %t", id, session, d.machine.name, result.status, result.whole)
				if result.status == 200 && result.whole {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}()
		}
	}()
	time.Sleep(6 * time.Second)
	if w.trouble {
		large := []byte(`"` + strings.Repeat("x", valueBytes-100) + `"`)
		for i := range entries {
			w.store.putRaw("servers", fmt.Sprintf("x-other-%d", i), large)
			time.Sleep(10 * time.Millisecond)
		}
		w.note("another writer has put %d entries of %d bytes", entries, len(large))
	}
	time.Sleep(time.Second)
	for i := range leave {
		r := all[i]
		r.leaving.Store(true)
		mu.Lock()
		w.store.put("servers", r.id, r.entry("draining"))
		drainingAt[r.id] = time.Now()
		mu.Unlock()
		w.note("the store has accepted that %s is draining", r.id)
		go func() {
			time.Sleep(serveFor)
			w.store.remove("servers", r.id)
			r.crash()
		}()
		time.Sleep(gap)
	}
	time.Sleep(serveFor)
	cancel()
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	summary := fmt.Sprintf("%d requests reached servers later than %s after the store had accepted that they were draining (%s); %d served, %d not", len(late), drain, strings.Join(late, "; "), served.Load(), failed.Load())
	switch {
	case served.Load() == 0:
		return verdict{invalid: "nothing was served"}
	case len(late) > 0:
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}
