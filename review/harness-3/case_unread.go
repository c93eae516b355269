package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	machineMemory      = 284 << 20 // limits.memoryMb
	machineDescriptors = 4100 - 200
	strangers          = 1700 // connections at a time of clients that nobody controls, to one machine
	stranger           = 256 << 10
	endsToBreak        = 3
)

// caseUnread: clients that nobody controls send more requests on connections whose first request is being
// answered. What the daemon has not read counts as its memory. The platform kills a process that
// exceeds the memory of its machine, and starts it again.
func caseUnread(w *World, trouble bool) bool {
	var files syscall.Rlimit
	must(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files))
	if files.Cur < 3*strangers {
		w.Record.Say("%d descriptors are too few", files.Cur)
		w.End()
		os.Exit(2)
	}
	w.Descriptors = machineDescriptors
	w.PutConfig(7, []route{
		streamRoute("r-draft", "/lohu930/", "huvo11a", 2, true),
		plainRoute("r-read", "/cufi504/", "idempotent", "wuno96b", 2),
	}, []map[string]any{modelService("huvo11a"), plainService("wuno96b")})
	zones := []string{"lhr-a", "lhr-b", "lhr-c"}
	for i := range 12 {
		w.AddTarget(&Target{ID: fmt.Sprintf("i-engine-%d", i+1), Service: "huvo11a", Zone: zones[i%3], Version: "v1",
			Events: 70, Work: 50 * time.Millisecond, EventGap: 100 * time.Millisecond})
	}
	for i, zone := range zones {
		w.AddTarget(&Target{ID: fmt.Sprintf("i-app-%d", i+1), Service: "wuno96b", Zone: zone, Version: "v1", Slots: 6, Work: 60 * time.Millisecond})
	}
	w.PlanDaemons(6, zones...)
	w.StartDaemons()
	time.Sleep(6 * time.Second)
	ended := 0 // machines whose process has ended endsToBreak times
	for _, d := range w.Daemons[:2] {
		if w.press(d, trouble) >= endsToBreak {
			ended++
		}
	}
	w.Record.Say("on %d of %d machines the process has ended %d times (two machines break the rule)", ended, len(w.Daemons), endsToBreak)
	return ended < 2
}

// press has the clients send to one machine, and acts as the platform there. It returns how often the
// process has ended.
func (w *World) press(d *Daemon, trouble bool) (ends int) {
	var begun, refused, closed atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for number := range strangers {
		clients.Go(func() {
			time.Sleep(time.Duration(number) * time.Millisecond) // one after the other
			for !isClosed(stop) {
				switch status := w.beStrange(d, number, trouble, stop); status {
				case 200:
					begun.Add(1)
				case 0:
					closed.Add(1)
					time.Sleep(200 * time.Millisecond)
				default:
					refused.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	peak := 0
	for until := time.Now().Add(18 * time.Second); time.Now().Before(until) && ends < endsToBreak; time.Sleep(100 * time.Millisecond) {
		resident, unread := residentOf(d.cmd.Process.Pid), unreadAt(d.Front)
		total := resident + unread
		if total > peak {
			peak = total
			w.Record.Add("%s: %d MiB resident, %d MiB received and not read; %d streams begun, %d requests refused, %d connections closed",
				d.Name, resident>>20, unread>>20, begun.Load(), refused.Load(), closed.Load())
		}
		if total <= machineMemory {
			continue
		}
		ends++
		w.Record.Say("BROKEN: the process of %s has %d MiB resident and %d MiB received and not read, %d allowed: the platform kills it", d.Name, resident>>20, unread>>20, machineMemory>>20)
		d.signal(syscall.SIGKILL)
		<-d.done
		time.Sleep(time.Second)
		if ends < endsToBreak {
			w.StartDaemon(d, false)
			peak = 0
		}
	}
	close(stop)
	clients.Wait()
	w.Record.Say("%s: %d ends, at most %d MiB in the last process; %d streams begun, %d requests refused, %d connections closed", d.Name, ends, peak>>20, begun.Load(), refused.Load(), closed.Load())
	return ends
}

// beStrange sends a request on a new connection and, if there is trouble, more requests behind it before
// its answer has ended. It returns the status of the first answer, 0 if there was none.
func (w *World) beStrange(d *Daemon, number int, trouble bool, stop chan struct{}) (status int) {
	conn, err := net.DialTimeout("tcp", d.Front, 2*time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-stop:
			_ = conn.Close()
		case <-over:
		}
	}()
	request := func() string {
		const body = 8000
		return fmt.Sprintf(named("POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n{key}: %s\r\n{deadline}: 12000\r\nX-Model: m\r\n{token-count}: 812,49\r\n")+
			named("{prompt}: 5c1e07a2:512,%08x:300\r\nX-Note: %s\r\nContent-Length: %d\r\n\r\n%s"), hostName, w.NewID(), key, 0x900000+number, strings.Repeat("n", 12000), body, strings.Repeat("p", body))
	}
	if _, err := io.WriteString(conn, request()); err != nil {
		return 0
	}
	if trouble {
		go func() {
			for sent := 0; sent < stranger; {
				n, err := io.WriteString(conn, request())
				if err != nil {
					return
				}
				sent += n
			}
		}()
	}
	_ = conn.SetReadDeadline(time.Now().Add(14 * time.Second))
	reader := bufio.NewReaderSize(conn, 512)
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0
	}
	if fields := strings.Fields(line); len(fields) > 1 {
		status, _ = strconv.Atoi(fields[1])
	}
	for err == nil && line != "0\r\n" { // to the last chunk of the stream
		line, err = reader.ReadString('\n')
	}
	return status
}

func isClosed(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// residentOf returns the resident memory of a process.
func residentOf(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// unreadAt returns how many bytes have been received on the connections of an address and are not read.
func unreadAt(address string) (unread int) {
	host, portText, _ := net.SplitHostPort(address)
	ip := slices.Clone(net.ParseIP(host).To4())
	slices.Reverse(ip)
	port, _ := strconv.Atoi(portText)
	local := strings.ToUpper(hex.EncodeToString(ip)) + fmt.Sprintf(":%04X", port)
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		const listening = "0A"
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		unread += int(bytes)
	}
	return unread
}
