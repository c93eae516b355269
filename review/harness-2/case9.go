package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["9"] = bodiesThatDoNotCome }

// bodiesThatDoNotCome: clients send whole heads, inside the limits of the configuration, and no body.
// The daemon must stay within the memory of its machine, and ordinary clients must get answers.
func bodiesThatDoNotCome(w *world) verdict {
	const (
		connections = 2600
		rampUp      = 8 * time.Second
		playFor     = 40 * time.Second
		contact     = 3 * time.Second
	)
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Cur < 2*connections {
		return verdict{invalid: fmt.Sprintf("too few descriptors: %d", files.Cur)}
	}
	w.store.putConfig(1, ordinaryRoutes())
	for i := range 3 {
		w.addServer(engines, string("abc"[i]), true)
		w.addServer(application, string("abc"[i]), false)
	}
	w.addMachines(1)
	d := w.daemons[0]
	d.start()
	w.awaitReady(d)
	time.Sleep(contact)
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	others := w.runOrdinary(ctx, 25*time.Millisecond)
	var open, largest atomic.Int64
	var statuses sync.Map
	prompt := strings.Repeat("1:1,", 3900) + "2:2"
	visit := func() {
		conn, err := net.DialTimeout("tcp", d.front(), time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			return
		}
		defer func() { _ = conn.Close() }()
		open.Add(1)
		defer open.Add(-1)
		head, _, _ := strings.Cut(requestText("POST", "/lohu930/2f", newID(), otherKey, prompt, 12000, ""), "hello")
		largest.Store(int64(len(head)))
		_, _ = io.WriteString(conn, head)
		_ = conn.SetReadDeadline(time.Now().Add(playFor))
		answer := make([]byte, 300)
		status := "closed"
		if n, _ := conn.Read(answer); n > 12 {
			status = string(answer[9:12])
		}
		count, _ := statuses.LoadOrStore(status, new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		time.Sleep(20 * time.Millisecond)
	}
	if w.trouble {
		for i := range connections {
			go func() {
				time.Sleep(time.Duration(i) * rampUp / connections)
				for ctx.Err() == nil {
					visit()
				}
			}()
		}
	}
	asked, ready, ends, peak := 0, 0, 0, 0.0
	lastNote := time.Now()
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		resident := d.residentMB()
		peak = max(peak, resident)
		switch {
		case !d.running():
			w.note("%s has ended by itself: %s", d.machine.name, d.logTail())
			ends++
			d.start()
		case resident > memoryMB: // what the platform does to a process that exceeds memoryMb
			w.note("%s has %.0f MiB, its machine has %d: killed and started again; connections without a body: %d", d.machine.name, resident, memoryMB, open.Load())
			ends++
			d.kill()
			time.Sleep(200 * time.Millisecond)
			d.start()
		}
		if time.Since(lastNote) > 2*time.Second {
			lastNote = time.Now()
			asked++
			isReady := d.ready()
			if isReady {
				ready++
			}
			served, refused, failed := others.counts()
			w.note("resident %.0f MiB; connections without a body: %d; ready %t; ordinary: %d served, %d refused, %d failed", d.residentMB(), open.Load(), isReady, served, refused, failed)
		}
	}
	statuses.Range(func(k, v any) bool { w.note("visits that ended with %v: %d", k, v.(*atomic.Int64).Load()); return true })
	served, refused, failed := others.counts()
	unserved := others.longestUnserved()
	w.note("head of %d bytes of %d; the first ordinary requests that failed: %s", largest.Load(), maxHeaderBytes, strings.Join(others.firstFailures, "; "))
	summary := fmt.Sprintf("%d ends of the process, peak %.0f MiB of %d; ready %d of %d times; no ordinary request served for %.1f s; ordinary requests: %d served, %d refused, %d failed",
		ends, peak, memoryMB, ready, asked, unserved.Seconds(), served, refused, failed)
	switch {
	case served+refused+failed < 100:
		return verdict{invalid: "too few ordinary requests"}
	case ends > 0, unserved > contact:
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}
