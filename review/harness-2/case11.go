package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["11"] = runnersThatStartAgainAtAnotherVersion }

// runnersThatStartAgainAtAnotherVersion: four of six runners crash, two at a time, and start again a second
// later under their ids with another software version, which crashes once more a second after. Streams
// are taken up by their clients. TROUBLE=0 leaves the second crash out.
func runnersThatStartAgainAtAnotherVersion(w *world) verdict {
	const allowed = 2
	w.store.putConfig(1, ordinaryRoutes())
	var all []*runner
	for i := range 6 {
		r := w.addRunnerOf(engines, string("abc"[i%3]), true, "v1")
		r.events, r.pause = 40, 60*time.Millisecond
		all = append(all, r)
	}
	w.addRunner(application, "a", false)
	w.addMachines(3)
	for _, d := range w.daemons {
		d.start()
	}
	w.awaitReady(w.daemons...)
	time.Sleep(10 * time.Second)
	ctx, stop := context.WithTimeout(context.Background(), 14*time.Second)
	defer stop()
	var mu sync.Mutex
	var tries []*streamTry
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			t := &streamTry{first: newID(), session: n % 60, versions: make(map[string]bool)}
			mu.Lock()
			tries = append(tries, t)
			mu.Unlock()
			group.Go(func() {
				t.read(w.daemons[n%3].front(), t.first)
				for again := 0; again < 1 && !t.whole && t.last > 0; again++ {
					t.read(w.daemons[(n+1)%3].front(), newID())
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	for i := 0; i < 4; i += 2 {
		for _, r := range all[i : i+2] {
			go func() {
				r.crash()
				time.Sleep(time.Second)
				r.version = "v2"
				r.restart()
				w.note("%s is v2 now", r.id)
				if w.trouble {
					time.Sleep(time.Second)
					r.crash()
					w.note("%s crashes", r.id)
					time.Sleep(time.Second)
					r.restart()
				}
			}()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
	}
	group.Wait()
	mixed, whole := 0, 0
	for _, t := range tries {
		if len(t.versions) > 1 {
			mixed++
			w.note("mixed: %+v", *t)
		}
		if t.whole {
			whole++
		}
	}
	summary := fmt.Sprintf("%d streams, %d whole, %d hold events of two versions, %d allowed", len(tries), whole, mixed, allowed)
	if mixed > allowed {
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}
