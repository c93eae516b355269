package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["8"] = headsThatTakeLong }

// headsThatTakeLong: one client sends few requests whose heads, inside the limits of the
// configuration, take the daemon long. Ordinary clients must still get answers.
func headsThatTakeLong(w *world) verdict {
	const (
		every   = 50 * time.Millisecond // two requests of the client
		playFor = 30 * time.Second
		contact = 3 * time.Second
	)
	w.store.putConfig(1, ordinaryRoutes())
	for i := range 3 {
		w.addServer(engines, string("abc"[i]), true)
		w.addServer(application, string("abc"[i]), false)
	}
	w.addMachines(1)
	d := w.daemons[0]
	d.start()
	w.awaitReady(d)
	ctx, cancel := context.WithTimeout(context.Background(), playFor+contact)
	defer cancel()
	used := d.keepQuota(ctx)
	time.Sleep(contact)
	others := w.runOrdinary(ctx, 40*time.Millisecond)
	var sent, served, largest atomic.Int64
	go func() {
		time.Sleep(5 * time.Second)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			go func() {
				var more strings.Builder
				if w.trouble {
					more.WriteString("Connection: " + strings.Repeat(",", 8000) + "\r\n")
				} else {
					more.WriteString("X-Other: " + strings.Repeat(",", 8000) + "\r\n")
				}
				for i := 0; more.Len() < maxHeaderBytes-600; i++ {
					fmt.Fprintf(&more, "%s:\r\n", strconv.FormatInt(int64(36*10+i), 36))
				}
				text := requestText("GET", "/cufi504/2f", newID(), otherKey, "", 4000, more.String())
				largest.Store(int64(len(text)))
				sent.Add(1)
				result := send(d.front(), text, 5*time.Second)
				if result.status == 200 && result.whole {
					served.Add(1)
				}
				w.note("the client's request: answered %d, whole %t", result.status, result.whole)
			}()
		}
	}()
	asked, ready := 0, 0
	for ctx.Err() == nil {
		time.Sleep(2 * time.Second)
		asked++
		isReady := d.ready()
		if isReady {
			ready++
		}
		ok, refused, failed := others.counts()
		w.note("processor used %.2f of a core; ready %t; the client: %d sent, %d served; ordinary: %d served, %d refused, %d failed", used(), isReady, sent.Load(), served.Load(), ok, refused, failed)
	}
	cancel()
	ok, refused, failed := others.counts()
	unserved := others.longestUnserved()
	w.note("head of %d bytes of %d; the first ordinary requests that failed: %s", largest.Load(), maxHeaderBytes, strings.Join(others.firstFailures, "; "))
	summary := fmt.Sprintf("ready %d of %d times; no ordinary request served for %.1f s; ordinary requests: %d served, %d refused, %d failed", ready, asked, unserved.Seconds(), ok, refused, failed)
	switch {
	case ok == 0:
		return verdict{invalid: "nothing was served"}
	case unserved > contact:
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}

// cpuShare and quotaPeriod are the processor of a machine of the small deployments, as a quota: the
// core runs at full speed until the quota is used up, and then not at all for the rest of the period.
const (
	cpuShare    = 0.4
	quotaPeriod = 100 * time.Millisecond
)

// keepQuota gives the process its machine's share of a processor until the context ends. It returns a
// function that returns the share that the process has used since it was last called.
func (d *daemon) keepQuota(ctx context.Context) (used func() float64) {
	go func() {
		defer d.signal(syscall.SIGCONT)
		for ctx.Err() == nil {
			end := time.Now().Add(quotaPeriod)
			limit := d.processorTime() + time.Duration(cpuShare*float64(quotaPeriod))
			for time.Now().Before(end) {
				time.Sleep(2 * time.Millisecond)
				if d.processorTime() >= limit {
					d.signal(syscall.SIGSTOP)
					time.Sleep(time.Until(end))
					// what was used too much is paid from the next periods
					if excess := d.processorTime() - limit; excess > 0 {
						time.Sleep(time.Duration(float64(excess) / cpuShare))
					}
					d.signal(syscall.SIGCONT)
					break
				}
			}
		}
	}()
	last, lastAt := d.processorTime(), time.Now()
	return func() float64 {
		now, at := d.processorTime(), time.Now()
		share := (now - last).Seconds() / at.Sub(lastAt).Seconds()
		last, lastAt = now, at
		return share
	}
}

// processorTime returns the processor time that all threads of the process have used.
func (d *daemon) processorTime() time.Duration {
	folder := fmt.Sprintf("/proc/%d/task", d.command.Process.Pid)
	threads, err := os.ReadDir(folder)
	if err != nil {
		return 0
	}
	total := int64(0)
	for _, thread := range threads {
		text, _ := os.ReadFile(folder + "/" + thread.Name() + "/schedstat")
		if fields := strings.Fields(string(text)); len(fields) > 0 {
			nanoseconds, _ := strconv.ParseInt(fields[0], 10, 64)
			total += nanoseconds
		}
	}
	return time.Duration(total)
}
