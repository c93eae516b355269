package gateway

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockknot/platform/standin"
)

// closeMoment is when a caller closes its sending half.
type closeMoment int

const (
	withTheRequest  closeMoment = iota // right after its last byte
	whileItRuns                        // while the target is at work and the answer has not begun
	afterFirstEvent                    // of a stream
	afterLastEvent                     // of a stream, before its end
	atItsEnd                           // as the target completes a slow answer
)

// halfCloseCase is a row of the table.
type halfCloseCase struct {
	name     string
	moment   closeMoment
	kinds    []string
	element  string
	protocol string
	kept     bool // the connection has had an answer before
	cutOff   bool // the daemon reaches no target and forwards
}

const (
	// halfClosers is how many callers of each kind close their sending half.
	halfClosers = 9
	// halfCloseStep is the time between them if they close at the end of the answer, which
	// comes some milliseconds after the target's time.
	halfCloseStep = 3 * time.Millisecond
)

// A daemon cannot tell a caller that has closed its sending half from one that has left.
// Whatever it does, the caller must not take what it reads for more than it is.
func TestCallerThatClosesItsSendingHalfReadsATrueEnd(t *testing.T) {
	plain, streamed := allKinds[:2], allKinds[2:]
	for _, row := range []halfCloseCase{
		{name: "with the request, quick target", moment: withTheRequest, kinds: allKinds, element: quick},
		{name: "with the request, slow target", moment: withTheRequest, kinds: allKinds, element: slow},
		{name: "with the request, kept connection", moment: withTheRequest, kinds: allKinds, element: slow, kept: true},
		{name: "with the request, forwarded", moment: withTheRequest, kinds: allKinds, element: slow, cutOff: true},
		{name: "while it runs", moment: whileItRuns, kinds: plain, element: slow},
		{name: "before the first event", moment: whileItRuns, kinds: streamed, element: lateHead},
		{name: "before the first event, forwarded", moment: whileItRuns, kinds: streamed, element: lateHead, cutOff: true},
		{name: "after the first event", moment: afterFirstEvent, kinds: streamed, element: slow},
		{name: "after the first event, kept connection", moment: afterFirstEvent, kinds: streamed, element: slow, kept: true},
		{name: "after the first event, forwarded", moment: afterFirstEvent, kinds: streamed, element: slow, cutOff: true},
		{name: "after the last event", moment: afterLastEvent, kinds: streamed, element: quick},
		{name: "at its end", moment: atItsEnd, kinds: allKinds, element: slow},
	} {
		for _, protocol := range []string{http11, http10} {
			c := row
			c.protocol = protocol
			if c.kept && protocol == http10 {
				continue // its connections end with their first answer
			}
			t.Run(c.name+", "+strings.ReplaceAll(protocol, "/", " "), func(t *testing.T) {
				t.Parallel()
				c.play(t)
			})
		}
	}
}

// play sends the requests of a row and judges their ends.
func (c halfCloseCase) play(t *testing.T) {
	daemons, targets := startPaced(t, standin.DocumentWithTimes(2, longTimeout, longTimeout), c.cutOff)
	address := daemons[0].daemon.callerListener.Addr().String()
	var calls []standin.CallerRequest
	for _, kind := range c.kinds {
		for i := range halfClosers {
			calls = append(calls, newCall(kind, c.element, fmt.Sprint("half-", strings.Trim(kind, "/"), "-", i)))
		}
	}
	ends := make([]callerEnd, len(calls))
	var ended sync.WaitGroup
	for i, call := range calls {
		ended.Go(func() { ends[i] = c.send(address, call, i%halfClosers) })
	}
	ended.Wait()
	time.Sleep(neverRunTime)
	faults := make(map[string]int)
	for i, call := range calls {
		runs := countRuns(call.ID, targets...)
		if fault := ends[i].fault(call, runs, true); fault != "" {
			faults[call.Path+": "+fault]++
		}
	}
	for fault, count := range faults {
		t.Errorf("%d of %d requests of each kind: %s", count, halfClosers, fault)
	}
}

// send sends a request and closes the sending half at its moment.
func (c halfCloseCase) send(address string, call standin.CallerRequest, number int) callerEnd {
	caller, err := dialRaw(address)
	if err != nil {
		return callerEnd{err: err}
	}
	defer func() { _ = caller.conn.Close() }()
	limit := time.Now().Add(longTimeout)
	if c.kept {
		first := newCall("/reads/", quick, "first-"+call.ID)
		if end := caller.exchange(standin.RequestText(first, c.protocol), limit); end.err != nil {
			return end
		}
	}
	sentAt := time.Now()
	if err = caller.send(standin.RequestText(call, c.protocol)); err != nil {
		return callerEnd{err: err}
	}
	events := 0
	switch c.moment {
	case whileItRuns:
		time.Sleep(slowTime / 3)
	case atItsEnd:
		offset := time.Duration(number-1) * halfCloseStep
		time.Sleep(time.Until(sentAt.Add(slowTime + offset)))
	case afterFirstEvent:
		events = 1
	case afterLastEvent:
		events = standin.EventsPerStream
	}
	if events == 0 {
		_ = caller.conn.CloseWrite() // fails if the daemon has closed the connection, which the answer shows
		return caller.readAnswer(limit)
	}
	end, response := caller.readHead(limit)
	if response == nil {
		return end
	}
	length := 0
	for number := 1; number <= events; number++ {
		length += len(standin.EventText(number))
	}
	begun, err := io.ReadAll(io.LimitReader(response.Body, int64(length)))
	_ = caller.conn.CloseWrite()
	if err != nil {
		end.body, end.err = string(begun), err
		return end
	}
	end.body = string(begun)
	return caller.readBody(end, response)
}
