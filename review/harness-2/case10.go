package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["10"] = pathsOfTwoSlashes }

// pathsOfTwoSlashes: a client sends requests whose paths begin with two slashes, on a route with the
// prefix "/". Runners must get the paths as they were sent.
func pathsOfTwoSlashes(w *world) verdict {
	const requests = 20
	routes := append(ordinaryRoutes(),
		route("other reads", "/", "idempotent", application, map[string]any{"host": "zoqa17.example", "latencyTargetMs": 300, "timeoutMs": 2000, "priority": 2}),
		route("other bookings", "/", "non_idempotent", application, map[string]any{"host": "yuva55.example", "latencyTargetMs": 300, "timeoutMs": 2000, "maxAttempts": 1, "priority": 2}))
	w.store.putConfig(1, routes)
	var mu sync.Mutex
	ran := make(map[string]string) // target by request id
	for i := range 3 {
		r := w.addRunner(application, string("abc"[i]), false)
		r.onRun = func(e execution) { mu.Lock(); ran[e.id] = e.target; mu.Unlock() }
		w.addRunner(engines, string("abc"[i]), true)
	}
	w.addMachines(2)
	for _, d := range w.daemons {
		d.start()
	}
	w.awaitReady(w.daemons...)
	time.Sleep(3 * time.Second)
	var changed []string
	served := 0
	for n := range requests {
		id, method, to := newID(), "GET", "zoqa17.example"
		if n%2 == 1 {
			method, to = "POST", "yuva55.example"
		}
		target := fmt.Sprintf("/lots/%x/status?day=%d", n, n)
		if w.trouble {
			target = "/" + target
		}
		text := strings.Replace(requestText(method, target, id, tenantKey, "", 4000, ""), "Host: "+host, "Host: "+to, 1)
		result := send(w.daemons[n%2].front(), text, 5*time.Second)
		mu.Lock()
		got, found := ran[id]
		mu.Unlock()
		if result.status == 200 && result.whole {
			served++
		}
		w.note("request %s: sent %s %s, answered %d, run as %q", id, method, target, result.status, got)
		if found && got != target {
			changed = append(changed, fmt.Sprintf("%s for %s", got, target))
		}
	}
	summary := fmt.Sprintf("%d of %d requests ran with another path than the client's, such as %s; %d served", len(changed), requests, strings.Join(changed[:min(1, len(changed))], ""), served)
	switch {
	case len(changed) > 0:
		return verdict{broken: summary}
	case served == 0:
		return verdict{invalid: "nothing was served"}
	}
	return verdict{held: summary}
}
