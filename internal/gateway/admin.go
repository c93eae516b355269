package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hemlockknot/internal/protocol/restrictions"
)

// adminHandler serves metrics and the current restrictions.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.handler())
	mux.HandleFunc("GET "+restrictions.Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.restrictions())
	})
	return mux
}

// restrictions returns what this daemon holds back at the moment.
func (g *Gateway) restrictions() restrictions.Restrictions {
	current := restrictions.Restrictions{Host: g.settings.Host, Parts: []restrictions.HeldPart{}, Targets: []restrictions.LimitedTarget{}}
	c := g.coordinator
	c.do(func() {
		now := time.Now()
		for _, hold := range c.quarantine.Held(now) {
			held := restrictions.HeldPart{
				Part: partName(hold.Feature), WholeRequest: hold.IsRequest, Crashes: hold.Crashes, Engines: []string{},
				TrialInMs: hold.For.Milliseconds(), TrialIsHere: c.trialRank(hold.Feature) == 0,
			}
			for _, engine := range c.quarantine.CrashesOf(hold.Feature) {
				held.Engines = append(held.Engines, fmt.Sprintf("%08x", engine))
			}
			current.Parts = append(current.Parts, held)
		}
		for _, member := range c.roster.Members() {
			incarnation := c.incarnation(member.Target.ID)
			if limit, saidAt := c.limits.Limit(incarnation); limit > 0 {
				current.Targets = append(current.Targets, restrictions.LimitedTarget{
					Target: member.Target.ID, PerS: limit,
					WaitMs: c.limits.Wait(incarnation, now).Milliseconds(), AgeMs: now.Sub(saidAt).Milliseconds(),
				})
			}
		}
	})
	return current
}
