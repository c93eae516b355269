package clientlimits

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The machines of the tests, derived from the stated one of 184 MB and 4,100 descriptors, and the
// crowd, a sixth of the 2,400 connections with which the fault was found.
var (
	quarterMachine = machine{memoryMB: 46, descriptors: 1025}
	// fewDescriptors has a sixteenth of the descriptors, so that the crowd exceeds them.
	fewDescriptors = machine{memoryMB: 46, descriptors: 256}
	// oneProcessor runs one goroutine at a time: what has been told to end goes on holding its memory.
	oneProcessor = machine{memoryMB: 46, descriptors: 1025, processors: 1}
)

const (
	crowd     = 400
	crowdTime = 4 * time.Second // how long the clients send before the ordinary request
)

// Clients outside the limits have ended a process by using up its memory or its descriptors.
func TestClientsOutsideTheLimits(t *testing.T) {
	type program = func(*testing.T, machine) *daemon
	rows := []struct {
		name    string
		program program
		place   string
		machine machine
		send    client
	}{}
	add := func(name string, start program, place string, on machine, send client) {
		rows = append(rows, struct {
			name    string
			program program
			place   string
			machine machine
			send    client
		}{name, start, place, on, send})
	}
	for _, p := range []struct {
		name  string
		start program
	}{{"gateway", startGateway}, {"hemlockknotd", startChatDaemon}} {
		for _, c := range []struct {
			name string
			on   machine
			send client
		}{
			{"connections left", fewDescriptors, leaves},
			{"half closed", fewDescriptors, halfClosed},
			{"unfinished heads", quarterMachine, unfinishedHead},
			{"heads over the limit", quarterMachine, headOverLimit},
			{"a request line without end", quarterMachine, endlessLine},
			{"distinct fields without end", quarterMachine, distinctFields},
			{"distinct fields without end, one processor", oneProcessor, distinctFields},
			{"one field without end", quarterMachine, sameField},
			{"empty lines before a request", quarterMachine, emptyLinesBefore},
			{"empty lines between requests", quarterMachine, emptyLinesAmong},
			{"a byte now and then", fewDescriptors, trickle},
			{"chunk extensions", quarterMachine, chunkExtensions},
			{"trailers", quarterMachine, trailers},
			{"bodies that stall", quarterMachine, stalledBody},
			{"bodies that never come", quarterMachine, missingBody},
			{"bodies that never come, few descriptors", fewDescriptors, missingBody},
			{"pipelined requests", quarterMachine, pipelined},
		} {
			add(p.name+" callers "+c.name, p.start, "callers", c.on, c.send)
		}
	}
	for _, place := range []string{"readiness", "forwards", "metrics"} {
		add("gateway "+place+" connections left", startGateway, place, fewDescriptors, leaves)
		add("gateway "+place+" distinct fields without end", startGateway, place, quarterMachine, distinctFields)
	}
	add("gateway forwards distinct fields without end, one processor", startGateway, "forwards", oneProcessor, distinctFields)
	add("gateway peers connections left", startGateway, "peers", fewDescriptors, leaves)
	add("gateway peers unfinished frames", startGateway, "peers", quarterMachine, peerFrame)
	add("hemlockknotd operators connections left", startChatDaemon, "operators", fewDescriptors, leaves)
	add("hemlockknotd operators distinct fields without end", startChatDaemon, "operators", quarterMachine, distinctFields)
	add("hemlockknotd peers connections left", startChatDaemon, "peers", fewDescriptors, leaves)
	add("hemlockknotd peers unfinished frames", startChatDaemon, "peers", quarterMachine, controlFrame)
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			d := row.program(t, row.machine)
			d.awaitAnswer(t)
			peakDescriptors := d.bear(t, row.place, row.send)
			peakKB := d.peakMemoryKB()
			t.Logf("peak: %d kB of %d, %d descriptors of %d", peakKB, row.machine.memoryMB<<10, peakDescriptors, row.machine.descriptors)
			select {
			case <-d.exited:
				t.Fatal("the process has ended")
			default:
			}
			if peakKB >= row.machine.memoryMB<<10 {
				t.Errorf("%d kB of memory were in use, the machine has %d", peakKB, row.machine.memoryMB<<10)
			}
			if peakDescriptors >= row.machine.descriptors {
				t.Errorf("%d descriptors were open, the machine has %d", peakDescriptors, row.machine.descriptors)
			}
		})
	}
}

// bear has the crowd send to a place for a time, then an ordinary request while its connections
// are still open. It returns the largest number of open descriptors seen.
func (d *daemon) bear(t *testing.T, place string, send client) (peakDescriptors int) {
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for number := range crowd {
		clients.Go(func() { runClient(ctx, d.addresses[place], number, send) })
	}
	for until := time.Now().Add(crowdTime); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		peakDescriptors = max(peakDescriptors, d.openDescriptors())
	}
	d.awaitAnswer(t)
	cancel()
	clients.Wait()
	return peakDescriptors
}

// A single request inside the limits must be served, also with the largest head and body allowed and
// sent slowly: the limits for others must leave it the configuration's headerTimeoutMs.
func TestLargestRequestSentSlowlyIsServed(t *testing.T) {
	for _, program := range []struct {
		name      string
		start     func(*testing.T, machine) *daemon
		headBytes int           // maxHeaderBytes, or limits.header_bytes
		headTime  time.Duration // headerTimeoutMs, or limits.header_timeout
		bodyBytes int           // maxBodyBytes, or limits.body_bytes
	}{
		{"gateway", startGateway, 16384, 3 * time.Second, 4194304},
		{"hemlockknotd", startChatDaemon, 32 << 10, 5 * time.Second, 1 << 20},
	} {
		t.Run(program.name, func(t *testing.T) {
			d := program.start(t, statedMachine)
			d.awaitAnswer(t)
			for _, fields := range []int{1, 200} {
				head := largestHead(program.headBytes, program.bodyBytes, fields)
				conn, err := net.Dial("tcp", d.addresses["callers"])
				must.NoError(t, err)
				sendSlowly(t, conn, head, program.headTime*19/20)
				sendSlowly(t, conn, strings.Repeat("b", program.bodyBytes), bodyTime)
				must.NoError(t, conn.SetReadDeadline(time.Now().Add(answerTimeout)))
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(t, err)
				must.Eq(t, http.StatusOK, response.StatusCode)
				must.NoError(t, conn.Close())
			}
		})
	}
}

// statedMachine is the smallest machine of the design page.
var statedMachine = machine{memoryMB: 184, descriptors: 4100}

// bodyTime is how long a slow body takes: less than the deadline of 3 s of the gateway's route.
const bodyTime = 2 * time.Second

// largestHead returns a head of a size, with a number of fields that only fill it.
func largestHead(size, bodyBytes, fields int) string {
	head := strings.Replace(bookingHead(fmt.Sprint("Content-Length: ", bodyBytes)), "POST /bookings/1", "POST /reads/1", 1)
	head = strings.TrimSuffix(head, "\r\n")
	const overhead = len("X-Fill-000: \r\n")
	each := (size - len(head) - len("\r\n")) / fields
	for i := range fields {
		head += fmt.Sprintf("X-Fill-%03d: %s\r\n", i, strings.Repeat("f", each-overhead))
	}
	return head + "\r\n"
}

// sendSlowly sends a text in parts over a time.
func sendSlowly(t *testing.T, conn net.Conn, text string, duration time.Duration) {
	const parts = 50
	begun := time.Now()
	for i := range parts {
		_, err := io.WriteString(conn, text[len(text)*i/parts:len(text)*(i+1)/parts])
		must.NoError(t, err)
		time.Sleep(time.Until(begun.Add(duration * time.Duration(i+1) / parts)))
	}
}
