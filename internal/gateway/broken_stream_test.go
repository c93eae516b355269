package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// cutAfterEvents returns a cut of a stream after some events and a part of the next one.
func cutAfterEvents(events, bytesOfNext int) func(head, body string) int {
	return func(head, body string) int {
		if events == 0 && bytesOfNext == 0 {
			return len(head)
		}
		next := strings.Index(body, standin.EventText(events+1))
		return len(head) + next + bytesOfNext
	}
}

// breaks are the places at which a stream breaks off before the next target is asked.
var breaks = []struct {
	name   string
	answer standin.ScriptedAnswer
}{
	{"before any event", standin.ScriptedAnswer{Cut: cutAfterEvents(0, 0)}},
	{"within the first event", standin.ScriptedAnswer{Cut: cutAfterEvents(0, 5)}},
	{"after the first event", standin.ScriptedAnswer{Cut: cutAfterEvents(1, 0)}},
	{"within the third event", standin.ScriptedAnswer{Cut: cutAfterEvents(2, 7)}},
	{"within the third event, by a reset", standin.ScriptedAnswer{Cut: cutAfterEvents(2, 7), Reset: true}},
	{"between two events", standin.ScriptedAnswer{Cut: cutAfterEvents(4, 0)}},
	{"within the third event of a stream with a length", standin.ScriptedAnswer{Cut: cutAfterEvents(2, 7), Framing: standin.FramedByLength}},
	{"within the third event of a stream that ends with its connection", standin.ScriptedAnswer{Cut: cutAfterEvents(2, 7), Framing: standin.FramedByConnection}},
}

// namedAnswer is what the next target answers to a stream that has broken off.
type namedAnswer struct {
	name   string
	answer standin.ScriptedAnswer
}

// noEvent is the name of a whole stream without an event. That is how a sound target answers if there
// are no events after the one that it is asked for, so that the stream ends there, if it is framed.
const noEvent = "no event"

// eventsUpTo returns the text of the first events of a stream.
func eventsUpTo(last int) string { return strings.TrimSuffix(streamAfter(0), streamAfter(last)) }

// nextAnswers returns the answers that cannot continue a stream. The number is that of the
// event that the caller has received last.
func nextAnswers(last int) []namedAnswer {
	var answers []namedAnswer
	for _, status := range []string{"500 Internal Server Error", "502 Bad Gateway", "503 Service Unavailable", "421 Misdirected Request", "404 Not Found", "429 Too Many Requests", "408 Request Timeout", "400 Bad Request"} {
		for _, notRun := range []bool{false, true} {
			answers = append(answers, namedAnswer{fmt.Sprintf("%s, not run %t", status, notRun), standin.ScriptedAnswer{Status: status, NotRun: notRun, Plain: true, Pieces: []string{"failed\n\n"}}})
		}
	}
	event := standin.EventText
	head := standin.OtherAnswer("500 Internal Server Error")
	return append(answers,
		namedAnswer{"an event stream with status 500", standin.ScriptedAnswer{Status: "500 Internal Server Error"}},
		namedAnswer{"a 200 that is no stream", standin.ScriptedAnswer{Plain: true, Pieces: []string{"plain body\n\n"}}},
		namedAnswer{"a stream without a signature", standin.ScriptedAnswer{Unsigned: true}},
		namedAnswer{"the stream of another request", standin.ScriptedAnswer{ForOther: true, Cut: everything}},
		namedAnswer{"bytes before the status line", standin.ScriptedAnswer{Preamble: "garbage\r\n"}},
		namedAnswer{"no answer", standin.ScriptedAnswer{Cut: func(string, string) int { return 0 }, Hang: true}},
		namedAnswer{"a head and no more", standin.ScriptedAnswer{Cut: cutAfterEvents(0, 0), Hang: true}},
		namedAnswer{"another answer as the body", standin.ScriptedAnswer{Pieces: []string{head}}},
		namedAnswer{"another answer's head as the body", standin.ScriptedAnswer{Pieces: []string{strings.TrimSuffix(head, "failed\n\n")}}},
		namedAnswer{"another whole answer as the body", standin.ScriptedAnswer{Pieces: []string{standin.OtherAnswer("200 OK"), streamAfter(last)}}},
		namedAnswer{"another answer within an event", standin.ScriptedAnswer{Pieces: []string{fmt.Sprintf("id: %d\n", last+1), head, streamAfter(last + 1)}}},
		namedAnswer{"another answer after an event", standin.ScriptedAnswer{Pieces: []string{event(last + 1), head}}},
		namedAnswer{"another answer between two events", standin.ScriptedAnswer{Pieces: []string{event(last + 1), head, streamAfter(last + 1)}}},
		namedAnswer{"a line of text before an event", standin.ScriptedAnswer{Pieces: []string{"failed\n" + event(last+1), streamAfter(last + 1)}}},
		namedAnswer{"an error as an event without an id", standin.ScriptedAnswer{Pieces: []string{"event: error\ndata: failed\n\n"}}},
		namedAnswer{noEvent, standin.ScriptedAnswer{Pieces: []string{}}},
		namedAnswer{"a stream from its start", standin.ScriptedAnswer{Pieces: []string{streamAfter(0)}}},
		namedAnswer{"the last event once more", standin.ScriptedAnswer{Pieces: []string{event(max(last, 1)), event(max(last, 1)), streamAfter(last)}}},
		namedAnswer{"an event that comes twice", standin.ScriptedAnswer{Pieces: []string{event(last + 1), event(last + 1), streamAfter(last + 1)}}},
		namedAnswer{"ids that go back", standin.ScriptedAnswer{Pieces: []string{event(last + 1), event(last + 2), event(last + 1)}}},
		namedAnswer{"ids that begin below the last event", standin.ScriptedAnswer{Pieces: []string{event(1), streamAfter(1)}}},
		namedAnswer{"a negative id", standin.ScriptedAnswer{Pieces: []string{"id: -1\ndata: x\n\n"}}},
		namedAnswer{"an id that is no number", standin.ScriptedAnswer{Pieces: []string{"id: x\ndata: x\n\n"}}},
		namedAnswer{"two ids in an event", standin.ScriptedAnswer{Pieces: []string{fmt.Sprintf("id: %d\nid: %d\ndata: x\n\n", last+1, last+2)}}},
	)
}

// framed returns the answer with another framing.
func (a namedAnswer) framed(framing standin.Framing) standin.ScriptedAnswer {
	answer := a.answer
	answer.Framing = framing
	return answer
}

// eventsOfBreak is how many events a break lets through, by its place in breaks.
var eventsOfBreak = []int{0, 0, 1, 2, 2, 4, 2, 2}

// placeOfHangs is the place in breaks that targets follow that never answer.
const placeOfHangs = 3

// brokenStreamCases returns a case for each place of a break, next answer and framing.
func brokenStreamCases() []answerCase {
	var cases []answerCase
	for i, broken := range breaks {
		for framing, framingName := range []string{"chunks", "length", "connection"} {
			for _, next := range nextAnswers(eventsOfBreak[i]) {
				if next.answer.Hang && (framing != 0 || i != placeOfHangs) {
					continue // each takes until the deadline
				}
				c := answerCase{
					name:    fmt.Sprintf("broken %s, then %s framed by %s", broken.name, next.name, framingName),
					call:    standin.CallerRequest{Path: "/drafts/1", DeadlineMs: next.deadlineMs()},
					answers: []standin.ScriptedAnswer{broken.answer, next.framed(standin.Framing(framing))},
				}
				if eventsOfBreak[i] > 0 && next.name == noEvent && standin.Framing(framing) != standin.FramedByConnection {
					c.allowed = []string{eventsUpTo(eventsOfBreak[i])}
				}
				if eventsOfBreak[i] == 0 && next.answer.Plain {
					c.allowed = next.answer.Pieces // the whole answer of a target, which no event precedes
				}
				cases = append(cases, c)
			}
		}
	}
	return cases
}

// cutResumptionCases returns a case for each framing, end of the connection and place at which a
// resumed stream breaks off.
func cutResumptionCases() []answerCase {
	const last = 2
	var cases []answerCase
	for framing, framingName := range []string{"chunks", "length", "connection"} {
		for _, reset := range []bool{false, true} {
			for _, cut := range boundaryCuts(true) {
				if cut.name == "after the first event" {
					continue // the resumed stream does not have it
				}
				answer := standin.ScriptedAnswer{Framing: standin.Framing(framing), Cut: cut.cut, Reset: reset}
				cases = append(cases, answerCase{
					name:        fmt.Sprintf("resumed, framed by %s, reset %t, cut %s", framingName, reset, cut.name),
					call:        standin.CallerRequest{Path: "/drafts/1"},
					answers:     []standin.ScriptedAnswer{{Cut: cutAfterEvents(last, 7)}, answer},
					mayEndEarly: cut.mayPass && answer.Framing == standin.FramedByConnection && !reset,
				})
			}
		}
	}
	return cases
}

// hangDeadlineMs is the deadline in milliseconds of requests whose targets may never answer.
const hangDeadlineMs = "1000"

// deadlineMs returns the deadline of a request that gets the answer, "" for the default.
func (a namedAnswer) deadlineMs() string {
	if a.answer.Hang {
		return hangDeadlineMs
	}
	return ""
}

// takenUpCases returns a case for each answer to a caller that takes a stream up itself.
func takenUpCases() []answerCase {
	const last = 2
	var cases []answerCase
	for framing, framingName := range []string{"chunks", "length", "connection"} {
		for _, next := range nextAnswers(last) {
			if next.answer.Hang && framing != 0 {
				continue
			}
			c := answerCase{
				name:    fmt.Sprintf("taken up, then %s framed by %s", next.name, framingName),
				call:    standin.CallerRequest{Path: "/drafts/1", LastEventID: last, DeadlineMs: next.deadlineMs()},
				answers: []standin.ScriptedAnswer{next.framed(standin.Framing(framing)), next.framed(standin.Framing(framing))},
				allowed: next.wholePlainBody(), mayBeLeft: 1,
			}
			if next.name == noEvent && standin.Framing(framing) != standin.FramedByConnection {
				c.allowed = []string{""}
			}
			cases = append(cases, c)
		}
	}
	return cases
}

// wholePlainBody returns the body of an answer that is no stream and has no fault.
func (a namedAnswer) wholePlainBody() []string {
	if !a.answer.Plain {
		return nil
	}
	return a.answer.Pieces
}

// Another operator's report of issue 37: the next engine's error, at times its whole head, was
// in the middle of the caller's stream, or the stream ended as if it were complete.
func TestErrorAfterABrokenStreamDoesNotReachTheCaller(t *testing.T) {
	fleet := newLinkedFleetWithRetries(t, 3, retryForEachCase)
	cases := append(brokenStreamCases(), takenUpCases()...)
	t.Run("of the daemon's own targets", func(t *testing.T) {
		mustBeSound(t, cases, fleet.checkAnswers(1, cases))
	})
	t.Run("by way of another daemon", func(t *testing.T) {
		fleet.cutOff(linkResets)
		mustBeSound(t, cases, fleet.checkAnswers(0, cases))
	})
}

// A stream that began at the daemon's own target goes on by way of another daemon, as its own
// link is cut when the stream breaks.
func TestErrorOfAForwardedResumptionDoesNotReachTheCaller(t *testing.T) {
	fleet := newLinkedFleetWithRetries(t, 3, retryForEachCase)
	script := standin.NewScript(fleet.targets...)
	first := fleet.daemons[0]
	for i, next := range nextAnswers(2) {
		id := fmt.Sprintf("moved-%02d", i)
		begun := standin.ScriptedAnswer{Cut: cutAfterEvents(2, 7), Then: func() { fleet.links[0].set(linkRefusesNew) }}
		script.Set(id, begun, next.answer)
		end := first.ask(standin.CallerRequest{Method: "POST", Path: "/drafts/1", ID: id, DeadlineMs: next.deadlineMs(), SharedParts: fmt.Sprintf("aa:100,%x:20", i)})
		fleet.links[0].set(linkUp)
		whole := []string{standin.StreamText()}
		if next.name == noEvent {
			whole = append(whole, eventsUpTo(2))
		}
		fault := end.fault(standin.CallerRequest{Path: "/drafts/1"}, countRuns(id, fleet.targets...), whole...)
		if fault != "" {
			t.Errorf("%s: %s: status %d, complete %t, body %q", next.name, fault, end.status, end.complete, end.body)
		}
		for sound := range 2 * soundBetween {
			_ = fleet.call(0, "/drafts/1", fmt.Sprintf("%s-sound-%d", id, sound))
		}
		first.within(recoveryTimeout, func() bool { return len(first.daemon.coordinator.unreachedServices()) == 0 })
	}
}

// Comments, blank lines, fields and the line that names a change of the weights' version belong
// to a stream, and reach the caller unchanged.
func TestSoundStreamIsRelayedUnchanged(t *testing.T) {
	f, writers, _ := newFixture(t)
	script := standin.NewScript(writers[:]...)
	pieces := []string{
		": a comment\n\n", "id: 1\nevent: token\nretry: 10\ndata: a\ndata\ndata: b\n\n", ":\n\n", "\n",
		standin.VersionChange(7) + standin.EventText(2), "id:3\r\ndata: c\r\n\r\n", ": before the data\nid: 40\ndata: HTTP/1.1 500\n\n", ": the end\n\n",
	}
	for i, framing := range []standin.Framing{standin.FramedByChunks, standin.FramedByLength, standin.FramedByConnection} {
		id := fmt.Sprint("sound-", i)
		script.Set(id, standin.ScriptedAnswer{Pieces: pieces, Framing: framing})
		response, err := f.client.Do(f.newRequest(standin.CallerRequest{Method: "POST", Path: "/queries/1", ID: id}))
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, strings.Join(pieces, ""), string(body))
	}
}

// A target may send an event together with the beginning of the next one, on which it then works.
func TestEventIsForwardedBeforeTheNextOneIsComplete(t *testing.T) {
	for framing, name := range []string{"chunks", "length", "connection"} {
		t.Run(name, func(t *testing.T) {
			f, writers, _ := newFixture(t)
			received, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			standin.NewScript(writers[:]...).Set("q1", standin.ScriptedAnswer{
				Framing: standin.Framing(framing),
				Cut:     cutAfterEvents(1, 7),
				Then: func() {
					select {
					case <-received:
					case <-ended:
					}
				},
			})
			started := time.Now()
			response, err := f.client.Do(f.newRequest(standin.CallerRequest{Method: "POST", Path: "/queries/1", ID: "q1", DeadlineMs: hangDeadlineMs}))
			must.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			event := make([]byte, len(standin.EventText(1)))
			_, err = io.ReadFull(response.Body, event)
			must.NoError(t, err)
			must.Eq(t, standin.EventText(1), string(event))
			must.Less(t, forwardTimeout, time.Since(started), must.Sprint("the event came with the end of the stream"))
			close(received)
		})
	}
}

// forwardTimeout is within what an event that has arrived must reach the caller; the deadline
// of the request is later.
const forwardTimeout = 500 * time.Millisecond
