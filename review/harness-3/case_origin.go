package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseOrigin: a second software version of a service has begun to serve; then all machines of the system
// lose power and the store comes back from a copy some seconds old. Clients take their streams up.
func caseOrigin(w *World, trouble bool) bool {
	w.PutConfig(7, []route{
		streamRoute("r-draft", "/lohu930/", "huvo11a", 2, true),
		plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2),
	}, []map[string]any{modelService("huvo11a"), plainService("wuno96b")})
	zones := []string{"lhr-a", "lhr-b", "lhr-c"}
	addEngines := func(version string, count int) {
		for i := range count {
			w.AddTarget(&Target{ID: fmt.Sprintf("i-%s-%d", version, i+1), Service: "huvo11a", Zone: zones[i%3], Version: version,
				Events: 70, Work: 50 * time.Millisecond, EventGap: 100 * time.Millisecond})
		}
	}
	addEngines("v1", 4)
	for i, zone := range zones {
		w.AddTarget(&Target{ID: fmt.Sprintf("i-app-%d", i+1), Service: "wuno96b", Zone: zone, Version: "v1", Slots: 6, Work: 60 * time.Millisecond})
	}
	w.PlanDaemons(6, zones...)
	w.StartDaemons()
	time.Sleep(12 * time.Second)
	s := &streams{world: w}
	stop := make(chan struct{})
	var begun sync.WaitGroup
	begun.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
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
	time.Sleep(2 * time.Second)
	copied := w.Store.Copy()
	w.Record.Say("the store's content is copied for the drill")
	time.Sleep(500 * time.Millisecond)
	addEngines("v2", 4)
	w.Record.Say("targets of version v2 have started beside those of v1")
	time.Sleep(3 * time.Second)
	close(stop)
	begun.Wait()
	drill, kill := trouble && os.Getenv("DRILL") != "0", trouble && os.Getenv("POWER") != "0"
	if drill {
		w.Store.GoAway()
		w.Record.Say("drill: the store is away")
	}
	if kill {
		for _, d := range w.Daemons {
			d.signal(syscall.SIGKILL)
		}
		w.Record.Say("all machines of the system lose power")
	}
	time.Sleep(time.Second)
	if drill {
		w.Store.ComeBackFrom(copied)
		w.Record.Say("drill: the store is back from a copy %.1f s old", time.Since(copied.at).Seconds())
	}
	if kill {
		for _, d := range w.Daemons {
			<-d.done
			w.StartDaemon(d, false)
		}
		w.Record.Say("all machines of the system start again")
	}
	s.wait.Wait()
	return s.judge()
}

// streams are the streams of clients.
type streams struct {
	world *World
	wait  sync.WaitGroup
	mu    sync.Mutex
	all   []*clientStream
}

// clientStream is a stream of a client over its tries.
type clientStream struct {
	first    string // the id of the attempt that brought the first event
	tries    []*Sent
	versions []string // of the targets whose events it holds, in the order of the events
	last     int
	complete bool
}

// begin begins a stream at a daemon. If it is broken off, its client takes it up a few times.
func (s *streams) begin(d *Daemon, number int) {
	s.wait.Go(func() {
		w := s.world
		stream := &clientStream{}
		deadline := time.Now().Add(12 * time.Second)
		prefix := fmt.Sprintf("5c1e07a2:512,%08x:9000,%08x:300", 0x1000+number%20, 0x900000+number)
		for try := 0; try < 5 && time.Until(deadline) > 0 && !stream.complete; try++ {
			call := Call{Kind: "stream", Method: "POST", Path: "/lohu930/2f", Body: "prompt", DeadlineMs: int(time.Until(deadline).Milliseconds()),
				Header: map[string]string{"X-Model": "m", named("{token-count}"): "9812,490", named("{prompt}"): prefix}}
			if stream.last > 0 {
				call.Header["Last-Event-Id"] = fmt.Sprint(stream.last)
				call.Header["Resumes"] = stream.first
			}
			sent := w.Do(d, call)
			s.mu.Lock()
			stream.tries = append(stream.tries, sent)
			s.mu.Unlock()
			if len(sent.Events) > 0 && stream.first == "" {
				stream.first = sent.ID
			}
			for _, data := range sent.Events {
				if fields := strings.Fields(data); len(fields) > 1 && (len(stream.versions) == 0 || stream.versions[len(stream.versions)-1] != fields[1]) {
					stream.versions = append(stream.versions, fields[1])
				}
			}
			stream.last = max(stream.last, sent.LastEvent)
			stream.complete = sent.Status == 200 && sent.Whole
			d = w.Daemons[(number+try+1)%len(w.Daemons)]
			if !stream.complete {
				time.Sleep(600 * time.Millisecond)
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.all = append(s.all, stream)
	})
}

// judge counts the streams that hold events of two versions.
func (s *streams) judge() bool {
	w := s.world
	mixed, taken, complete, refused := 0, 0, 0, 0
	for _, stream := range s.all {
		for i, sent := range stream.tries {
			resumed := ""
			if i > 0 && stream.first != "" {
				resumed = " takes up " + stream.first
			}
			first, last := "", ""
			if len(sent.Events) > 0 {
				first, last = sent.Events[0], sent.Events[len(sent.Events)-1]
			}
			w.Record.AddAt(sent.SentAt, "client: %s to %s%s: status %d, events %q to %q, whole %t, %s %v", sent.ID, sent.Daemon, resumed, sent.Status, first, last, sent.Whole, sent.Text, sent.Err)
		}
		if len(stream.tries) > 1 && stream.first != "" {
			taken++
			if !stream.complete {
				refused++
			}
		}
		if stream.complete {
			complete++
		}
		if len(stream.versions) > 1 {
			mixed++
			w.Record.Add("BROKEN: the stream that %s began holds events of %s", stream.first, strings.Join(stream.versions, ", then "))
		}
	}
	for _, r := range w.Targets {
		for _, a := range r.Arrivals() {
			w.Record.AddAt(a.At, "target %s (%s): %s arrives, after event %d, ran %t, to its end %t", a.Target, a.Version, a.ID, a.LastEventID, a.Ran, a.Ended)
		}
	}
	w.Record.Say("%d streams, %d complete; %d were taken up, of which %d did not go on to their end; %d hold events of two software versions (more than 2 break the rule)", len(s.all), complete, taken, refused, mixed)
	return mixed <= 2
}
