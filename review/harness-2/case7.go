package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = promptsOfManyParts }

// promptsOfManyParts: one client sends prompts of many parts, each request inside the limits of the
// configuration. The daemons' memory must stay within that of their machines.
func promptsOfManyParts(w *world) verdict {
	const (
		machines     = 2
		senders      = 12 // of the client, at each daemon
		endsToShow   = 3  // that two machines need for the rule "Fault"
		playFor      = 100 * time.Second
		partsOfUsual = 3
	)
	w.store.putConfig(1, ordinaryRoutes())
	for i := range 3 {
		w.addServer(engines, string("abc"[i]), true)
		w.addServer(application, string("abc"[i]), false)
	}
	w.addMachines(machines)
	for _, d := range w.daemons {
		d.start()
	}
	w.awaitReady(w.daemons...)
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	others := w.runOrdinary(ctx, 25*time.Millisecond)

	var part, sent, served atomic.Int64
	var largest atomic.Int64
	prompt := func() string {
		if !w.trouble {
			return fmt.Sprintf("5c1e07a2:800,91bd%06x:410,e4%06x:250", part.Add(1), part.Add(1))
		}
		var text strings.Builder
		for text.Len() < maxHeaderBytes-800 { // with the other fields the head has less than maxHeaderBytes
			if text.Len() > 0 {
				text.WriteByte(',')
			}
			fmt.Fprintf(&text, "%x:1", 0x100000+part.Add(1))
		}
		return text.String()
	}
	var senderGroup sync.WaitGroup
	for _, d := range w.daemons {
		for range senders {
			senderGroup.Go(func() {
				var conn net.Conn
				var reader *bufio.Reader
				for ctx.Err() == nil {
					if conn == nil {
						var err error
						if conn, err = net.DialTimeout("tcp", d.front(), time.Second); err != nil {
							conn = nil
							time.Sleep(100 * time.Millisecond)
							continue
						}
						reader = bufio.NewReader(conn)
					}
					text := requestText("POST", "/pufi791/2f", newID(), otherKey, prompt(), 10000, "")
					if head := int64(strings.Index(text, "\r\n\r\n") + 4); head > largest.Load() {
						largest.Store(head)
					}
					sent.Add(1)
					result := sendOn(conn, reader, text, 10*time.Second)
					if result.status == 200 && result.whole {
						served.Add(1)
					}
					if result.err != nil || result.status != 200 {
						_ = conn.Close()
						conn = nil
						time.Sleep(50 * time.Millisecond)
					}
				}
			})
		}
	}

	ends := make([]int, machines)
	peak := make([]float64, machines)
	lastNote := time.Now()
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		for i, d := range w.daemons {
			resident := d.residentMB()
			peak[i] = max(peak[i], resident)
			switch {
			case !d.running():
				w.note("%s has ended by itself: %s", d.machine.name, d.logTail())
				ends[i]++
				d.start()
			case resident > memoryMB: // what the platform does to a process that exceeds memoryMb
				w.note("%s has %.0f MiB, its machine has %d: killed and started again; sent so far %d requests, %d of them served", d.machine.name, resident, memoryMB, sent.Load(), served.Load())
				ends[i]++
				d.kill()
				time.Sleep(200 * time.Millisecond)
				d.start()
			}
		}
		if time.Since(lastNote) > 2*time.Second {
			lastNote = time.Now()
			w.note("resident: %.0f and %.0f MiB; the client has sent %d requests, %d served", w.daemons[0].residentMB(), w.daemons[1].residentMB(), sent.Load(), served.Load())
		}
		if ends[0] >= endsToShow && ends[1] >= endsToShow {
			break
		}
	}
	cancel()
	senderGroup.Wait()
	ok, refused, failed := others.counts()
	w.note("largest head of the client: %d bytes of %d; requests %d, served %d", largest.Load(), maxHeaderBytes, sent.Load(), served.Load())
	w.note("ordinary requests: %d served, %d refused, %d failed; the first: %s", ok, refused, failed, strings.Join(others.firstFailures, "; "))
	summary := fmt.Sprintf("ends of processes %d and %d, peaks %.0f and %.0f MiB of %d", ends[0], ends[1], peak[0], peak[1], memoryMB)
	switch {
	case ok == 0 || served.Load() == 0:
		return verdict{invalid: "nothing was served"}
	case ends[0]+ends[1] > 0:
		return verdict{broken: summary}
	}
	return verdict{held: summary}
}
