package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// caseInPlace: while the store is away, targets crash and come back under their ids with a new software
// version. Streams that are broken off must not go on at them.
func caseInPlace(w *World, trouble bool) bool {
	w.PutConfig(7, []route{
		streamRoute("r-draft", "/lohu930/", "huvo11a", 2, true),
		plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2),
	}, []map[string]any{modelService("huvo11a"), plainService("wuno96b")})
	zones := []string{"lhr-a", "lhr-b", "lhr-c"}
	var engines []*Target
	for i := range 6 {
		engines = append(engines, w.AddTarget(&Target{ID: fmt.Sprintf("i-engine-%d", i+1), Service: "huvo11a", Zone: zones[i%3], Version: "v1",
			Events: 70, Work: 50 * time.Millisecond, EventGap: 100 * time.Millisecond}))
	}
	for i, zone := range zones {
		w.AddTarget(&Target{ID: fmt.Sprintf("i-app-%d", i+1), Service: "wuno96b", Zone: zone, Version: "v1", Slots: 6, Work: 60 * time.Millisecond})
	}
	w.PlanDaemons(6, zones...)
	w.StartDaemons()
	time.Sleep(10 * time.Second)
	s := &streams{world: w}
	stop := make(chan struct{})
	var begun sync.WaitGroup
	begun.Go(func() {
		tick := time.NewTicker(60 * time.Millisecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				s.begin(w.Daemons[i%len(w.Daemons)], i)
			}
		}
	})
	time.Sleep(5 * time.Second)
	replace := func(r *Target, down time.Duration) {
		r.Stop()
		w.Record.Say("%s crashes", r.ID)
		time.Sleep(down)
		r.Version = "v2"
		r.Start()
		w.Record.Say("%s is back under its id with version v2", r.ID)
	}
	if trouble && os.Getenv("AWAY") != "0" {
		w.Store.GoAway()
		w.Record.Say("the store is down")
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		replace(engines[0], 800*time.Millisecond)
		time.Sleep(2400 * time.Millisecond)
		replace(engines[0], 800*time.Millisecond)
	}
	w.Store.ComeBack()
	w.Record.Say("the store is back")
	close(stop)
	begun.Wait()
	s.wait.Wait()
	return s.judge()
}
