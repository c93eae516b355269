package main

import (
	"fmt"
	"sync"
	"time"
)

// caseLeaving: a target leaves without reporting draining, and says so in its answers; the store comes back
// from a copy that still lists it. Machines that have passed on such an answer must not send it requests.
func caseLeaving(w *World, trouble bool) bool {
	w.PutConfig(7, []route{
		streamRoute("r-answer", "/pufi791/", "huvo11a", 1, false),
		plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2),
	}, []map[string]any{modelService("huvo11a"), plainService("wuno96b")})
	zones := []string{"lhr-a", "lhr-b", "lhr-c"}
	var engines []*Target
	for i, zone := range zones {
		engines = append(engines, w.AddTarget(&Target{ID: fmt.Sprintf("i-engine-%d", i+1), Service: "huvo11a", Zone: zone, Version: "v1",
			Events: 40, Work: 300 * time.Millisecond, EventGap: 40 * time.Millisecond}))
		w.AddTarget(&Target{ID: fmt.Sprintf("i-app-%d", i+1), Service: "wuno96b", Zone: zone, Version: "v1", Slots: 6, Work: 60 * time.Millisecond})
	}
	leaver := engines[0]
	w.PlanDaemons(6, zones...)
	w.StartDaemons()
	time.Sleep(10 * time.Second)

	var mu sync.Mutex
	var all []*Sent
	var wait, traffic sync.WaitGroup
	stop := make(chan struct{})
	traffic.Go(func() {
		tick := time.NewTicker(16 * time.Millisecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				d, number := w.Daemons[i%len(w.Daemons)], i
				wait.Go(func() {
					sent := w.Do(d, Call{Kind: "stream", Method: "POST", Path: "/pufi791/2f", Body: "question", DeadlineMs: 10000,
						Header: map[string]string{"X-Model": "m", named("{token-count}"): "829,300", named("{prompt}"): fmt.Sprintf("%08x:119,%08x:580,%08x:130", 0x10+number%40, 0x1000+number%192, 0x900000+number)}})
					mu.Lock()
					all = append(all, sent)
					mu.Unlock()
				})
			}
		}
	})
	time.Sleep(3 * time.Second)
	copied := w.Store.Copy()
	w.Record.Say("the store's content is copied for the drill")
	time.Sleep(time.Second)
	removedAt := leaver.Leave()
	w.Record.Say("%s leaves: its entry is removed, acknowledged by the store; it goes on serving", leaver.ID)
	time.Sleep(time.Until(removedAt.Add(1100 * time.Millisecond)))
	if trouble {
		w.Store.GoAway()
		w.Record.Say("drill: the store is away")
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		w.Store.ComeBackFrom(copied)
		w.Record.Say("drill: the store is back from a copy %.1f s old", time.Since(copied.at).Seconds())
		time.Sleep(beat)
		leaver.Leave()
		w.Record.Say("%s has removed its entry again, at its next heartbeat", leaver.ID)
	}
	time.Sleep(time.Until(removedAt.Add(4 * time.Second)))
	leaver.Stop()
	w.Record.Say("%s exits", leaver.ID)
	time.Sleep(time.Second)
	close(stop)
	traffic.Wait()
	wait.Wait()
	return judgeLeaving(w, leaver, all)
}

func judgeLeaving(w *World, leaver *Target, all []*Sent) bool {
	const drain = 2 * time.Second
	toldAt := make(map[string]time.Time) // when a daemon first passed on an answer with Server-Leaving
	byID := make(map[string]*Sent)
	for _, sent := range all {
		byID[sent.ID] = sent
		if at, known := toldAt[sent.Daemon]; sent.Leaving && (!known || sent.HeadAt.Before(at)) {
			toldAt[sent.Daemon] = sent.HeadAt
		}
		w.Record.AddAt(sent.SentAt, "client: %s %s to %s: status %d after %.0f ms, Server-Leaving %t, %d events, whole %t, %v", sent.Kind, sent.ID, sent.Daemon, sent.Status, sent.EndAt.Sub(sent.SentAt).Seconds()*1000, sent.Leaving, len(sent.Events), sent.Whole, sent.Err)
	}
	for _, d := range w.Daemons {
		if at, known := toldAt[d.Name]; known {
			w.Record.Say("%s first passed on an answer with Server-Leaving at %.3f", d.Name, at.Sub(w.Record.start).Seconds())
		} else {
			w.Record.Say("%s passed on no answer with Server-Leaving", d.Name)
		}
	}
	for _, r := range w.Targets {
		for _, a := range r.Arrivals() {
			w.Record.AddAt(a.At, "target %s: %s arrives, ran %t, to its end %t", a.Target, a.ID, a.Ran, a.Ended)
		}
	}
	broken, lost := 0, 0
	for _, a := range leaver.Arrivals() {
		sent := byID[a.ID]
		told, known := toldAt[sent.Daemon]
		if !known || !sent.SentAt.After(told.Add(drain)) {
			continue
		}
		broken++
		w.Record.Add("BROKEN: %s, sent %.3f s after %s had passed on Server-Leaving, reaches %s", a.ID, sent.SentAt.Sub(told).Seconds(), sent.Daemon, leaver.ID)
		if a.Ran && !(sent.Status == 200 && sent.Whole) {
			lost++
			w.Record.Add("LOST: %s was begun by %s, and its client got status %d, %d events and no end: %v", a.ID, leaver.ID, sent.Status, len(sent.Events), sent.Err)
		}
	}
	w.Record.Say("%d requests reached the leaving target that were sent over %v after the machine had passed on Server-Leaving (any breaks the rule); %d of these were begun and have no whole answer", broken, drain, lost)
	return broken == 0
}
