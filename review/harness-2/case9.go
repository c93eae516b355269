package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = bodiesThatDoNotCome }

// bodiesThatDoNotCome: clients send whole heads and no body. Ordinary clients must still get answers.
func bodiesThatDoNotCome(w *world) verdict {
	const (
		connections = 2600
		rampUp      = 8 * time.Second
		playFor     = 40 * time.Second
		contact     = 3 * time.Second
	)
	w.store.putConfig(1, ordinaryRoutes())
	for i := range 3 {
		w.addRunner(engines, string("abc"[i]), true)
		w.addRunner(application, string("abc"[i]), false)
	}
	w.addMachines(1)
	d := w.daemons[0]
	d.start()
	w.awaitReady(d)
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	var open atomic.Int64
	var statuses sync.Map
	if w.trouble {
		for i := range connections {
			go func() {
				time.Sleep(time.Duration(i) * rampUp / connections)
				for ctx.Err() == nil {
					conn, err := net.DialTimeout("tcp", d.front(), time.Second)
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					open.Add(1)
					head, _, _ := strings.Cut(requestText("POST", "/lohu930/2f", newID(), otherKey, "5c1e07a2:800,91bd0001:410,e4000000:250", 12000, ""), "hello")
					_, _ = io.WriteString(conn, head)
					_ = conn.SetReadDeadline(time.Now().Add(40 * time.Second))
					answer := make([]byte, 300)
					n, _ := conn.Read(answer)
					status := "closed"
					if n > 12 {
						status = string(answer[9:12])
					}
					statuses.Store(status, true)
					_ = conn.Close()
					open.Add(-1)
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}
	time.Sleep(rampUp)
	asked, readyCount := 0, 0
	w.note("connections without a body: %d", open.Load())
	others := w.runOrdinary(ctx, 25*time.Millisecond)
	for ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		ok, refused, failed := others.counts()
		asked++
		ready := d.ready()
		if ready {
			readyCount++
		}
		w.note("resident %.0f MiB; connections %d; ready %t; ordinary: %d served, %d refused, %d failed", d.residentMB(), open.Load(), ready, ok, refused, failed)
	}
	statuses.Range(func(k, _ any) bool { w.note("answer %v", k); return true })
	ok, refused, failed := others.counts()
	w.note("the first that failed: %s", strings.Join(others.firstFailures, "; "))
	unserved := others.longestUnserved()
	summary := fmt.Sprintf("the daemon said that it was ready %d of %d times and served no ordinary request for %.1f s; ordinary requests: %d served, %d refused, %d failed", readyCount, asked, unserved.Seconds(), ok, refused, failed)
	switch {
	case ok+refused+failed < 100:
		return verdict{invalid: "too few ordinary requests"}
	case unserved > contact && readyCount == asked:
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}
