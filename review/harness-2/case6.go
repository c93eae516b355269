package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["6"] = streamsOfACutOffMachine }

// streamTry is what a client has of a stream.
type streamTry struct {
	first    string // id of the request that brought the first event
	session  int
	last     int
	versions map[string]bool
	whole    bool
	refused  string
}

// readStream sends a request for a stream and reads it to its end.
func (t *streamTry) read(address, id string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	more := ""
	if t.last > 0 {
		more = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", t.first, t.last)
	}
	_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
	prompt := fmt.Sprintf("5c1e07a2:800,91bd%04x:410,e4%s:250", t.session, id[10:])
	_, _ = conn.Write([]byte(requestText("POST", fmt.Sprintf("/lohu930/%x", t.session), id, workspaceKey, prompt, 12000, more)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		line, _ := bufio.NewReader(response.Body).ReadString('\n')
		t.refused = fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(line))
		return
	}
	lines := bufio.NewScanner(response.Body)
	number, version := 0, ""
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			_, _ = fmt.Sscanf(line, "id: %d", &number)
		case strings.HasPrefix(line, "data: "):
			version = strings.Fields(line)[1]
		case line == "" && version != "":
			t.last = number
			t.versions[version] = true
			version = ""
		}
	}
	t.whole = lines.Err() == nil
}

// streamsOfACutOffMachine: a server of a second software version joins. Then one machine is cut off from
// the other machines and the store; it still reaches clients and servers. The new server is taken
// away as planned, and clients take up the streams that this breaks off, at the other machines.
func streamsOfACutOffMachine(w *world) verdict {
	const (
		events   = 40
		pause    = 220 * time.Millisecond
		drain    = 2 * time.Second
		interval = 50 * time.Millisecond
		allowed  = 2
	)
	w.store.putConfig(1, ordinaryRoutes())
	addEngine := func(version string) *server {
		r := w.addServerOf(engines, "a", true, version)
		r.events, r.pause = events, pause
		return r
	}
	for range 3 {
		addEngine("v1")
	}
	w.addServer(application, "a", false)
	w.addMachines(3)
	between := w.addNetwork()
	for _, d := range w.daemons {
		d.start()
	}
	w.awaitReady(w.daemons...)
	time.Sleep(10 * time.Second) // all know each other
	cutOff, other := w.daemons[2], w.daemons[0]

	newer := addEngine("v2")
	w.note("%s of version v2 joins", newer.id)
	time.Sleep(2 * time.Second)
	if w.trouble {
		between.cut[cutOff.machine.number].Store(true)
		w.note("%s is cut off from the other machines and the store", cutOff.machine.name)
	}
	var mu sync.Mutex
	var tries []*streamTry
	var group sync.WaitGroup
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			t := &streamTry{first: newID(), session: n, versions: make(map[string]bool)}
			mu.Lock()
			tries = append(tries, t)
			mu.Unlock()
			group.Go(func() {
				t.read(cutOff.front(), t.first)
				if t.whole || t.last == 0 {
					return
				}
				w.note("stream %s broke off after event %d of %v", t.first, t.last, keys(t.versions))
				id := newID()
				time.Sleep(20 * time.Millisecond)
				t.read(other.front(), id)
				w.note("stream %s taken up at %s as %s: %s, now at event %d of %v, whole: %t", t.first, other.machine.name, id, t.refused, t.last, keys(t.versions), t.whole)
			})
			time.Sleep(interval)
		}
	})
	time.Sleep(1700 * time.Millisecond)
	newer.leaving.Store(true)
	w.store.put("servers", newer.id, newer.entry("draining"))
	w.note("the store has accepted that %s is draining", newer.id)
	time.Sleep(drain + 500*time.Millisecond)
	w.store.remove("servers", newer.id)
	newer.crash()
	w.note("%s has ended", newer.id)
	time.Sleep(time.Second)
	between.cut[cutOff.machine.number].Store(false)
	w.note("the cut has ended")
	group.Wait()
	mixed, broken, refused := 0, 0, 0
	for _, t := range tries {
		if len(t.versions) > 1 {
			mixed++
		}
		if t.versions["v2"] && !t.whole || len(t.versions) > 1 {
			broken++
		}
		if t.refused != "" {
			refused++
		}
	}
	summary := fmt.Sprintf("%d streams of %d that broke off at v2 hold events of v1 too, %d allowed; %d were refused", mixed, broken, allowed, refused)
	switch {
	case broken == 0:
		return verdict{invalid: "no stream broke off"}
	case mixed > allowed:
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}

func keys(set map[string]bool) []string {
	var list []string
	for key := range set {
		list = append(list, key)
	}
	sort.Strings(list)
	return list
}
