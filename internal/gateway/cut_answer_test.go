package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"hemlockknot/platform/standin"
)

// answerEnd is how a request ended for its caller.
type answerEnd struct {
	status   int // 0: there was no answer
	signed   bool
	body     string
	complete bool // the answer's framing says that it is whole
}

// ask sends a request and reads its answer to the end, whatever it is.
func (f *testFixture) ask(call standin.CallerRequest) answerEnd {
	response, err := f.client.Do(f.newRequest(call))
	if err != nil {
		return answerEnd{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answerEnd{response.StatusCode, standin.SigningTarget(response.Header) != "", string(body), err == nil}
}

// streamAfter returns the text of the events after one.
func streamAfter(last int) string {
	var text strings.Builder
	for number := last + 1; number <= standin.EventsPerStream; number++ {
		text.WriteString(standin.EventText(number))
	}
	return text.String()
}

// fault returns what is wrong with the end of a request that runs at targets, "" if nothing
// is. Whole has the bodies that the targets' answers may have.
func (e answerEnd) fault(call standin.CallerRequest, runs int, whole ...string) string {
	mayRepeat := call.Path == "/drafts/1" || call.Path == "/reads/1"
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	isPrefix := func(text string) bool { return strings.HasPrefix(text, e.body) }
	switch {
	case !mayRepeat && runs > 1:
		return "ran more than once"
	case e.status == 0:
		return "connection closed without an answer"
	case e.complete && !mayRepeat && runs > 0 && slices.Contains(promises, e.status):
		return "has run, but the caller may think that it has not"
	case e.status >= http.StatusMultipleChoices && e.complete:
		return ""
	case !e.signed:
		return "success without a signature"
	case e.complete && !slices.Contains(whole, e.body):
		return "looks complete and is not"
	case !slices.ContainsFunc(whole, isPrefix):
		return "bytes that are not the target's"
	case isStream(call.Path) && !e.complete && !strings.HasSuffix("\n\n"+e.body, "\n\n"):
		return "ends within an event"
	}
	return ""
}

// isStream reports whether the requests with a path are answered by streams.
func isStream(path string) bool { return path == "/drafts/1" || path == "/queries/1" }

// answerCase is a request whose first arrivals at targets get scripted answers.
type answerCase struct {
	name      string
	call      standin.CallerRequest
	answers   []standin.ScriptedAnswer
	allowed   []string // bodies of complete answers, beside that of the targets' own
	mayBeLeft int      // answers that need not be given, as the request may end before
	// mayEndEarly says that the caller may take a beginning of the targets' own for whole.
	mayEndEarly bool
}

// parallelCases is how many requests of a table are in flight at once: few enough that all
// targets have sound requests between the faulty ones.
const parallelCases = 4

// retryForEachCase is a number of retries that does not run out in any table.
const retryForEachCase = 1000 * defaultRetryExtra

// soundBetween is how many sound requests follow each faulty one, so that no target is ejected.
const soundBetween = 3

// checkAnswers sends the requests of a table to a daemon of the fleet, each followed by sound
// ones, and returns the faults by the names of their cases.
func (l *linkedFleet) checkAnswers(daemon int, cases []answerCase) map[string]string {
	script := standin.NewScript(l.targets...)
	f := l.daemons[daemon]
	faults := make(map[string]string)
	var mu sync.Mutex
	var group sync.WaitGroup
	places := make(chan struct{}, parallelCases)
	for i, c := range cases {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			id := fmt.Sprintf("case-%d-%05d", daemon, i) // all ids have the same length
			call := c.call
			call.Method, call.ID, call.SharedParts = "POST", id, fmt.Sprintf("aa:100,%x:20", i)
			script.Set(id, c.answers...)
			end := f.ask(call)
			own, stream := "answer to "+id, isStream(call.Path)
			if stream {
				own = streamAfter(call.LastEventID)
			}
			whole := append([]string{own}, c.allowed...)
			if c.mayEndEarly {
				whole = append(whole, beginnings(own, stream)...)
			}
			runs := countRuns(id, l.targets...)
			fault := end.fault(call, runs, whole...)
			if script.Left(id) > c.mayBeLeft {
				fault += "; not all targets were asked"
			}
			if fault != "" {
				mu.Lock()
				faults[c.name] = fmt.Sprintf("%s: %d runs, status %d, complete %t, body %q", fault, runs, end.status, end.complete, end.body)
				mu.Unlock()
			}
			for sound := range soundBetween {
				if !l.call(daemon, call.Path, fmt.Sprintf("%s-sound-%d", id, sound)) {
					mu.Lock()
					faults[c.name] = "a sound request after it is not served; " + faults[c.name]
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return faults
}

// mustBeSound fails the test for each fault.
func mustBeSound(t *testing.T, cases []answerCase, faults map[string]string) {
	t.Helper()
	t.Logf("%d of %d cases are at fault", len(faults), len(cases))
	for _, c := range cases {
		if fault, found := faults[c.name]; found {
			t.Errorf("%s: %s", c.name, fault)
		}
	}
}

// namedCut is a place at which an answer breaks off.
type namedCut struct {
	name string
	cut  func(head, body string) int
	// mayPass reports whether an answer that ends with its connection may pass for whole if
	// it is cut here without a reset: nothing in its bytes says that there are more.
	mayPass bool
}

// boundaryCuts are the places between the parts of an answer and within each of them.
func boundaryCuts(streams bool) []namedCut {
	after := func(text string) func(string, string) int {
		return func(head, body string) int { return len(head) + strings.Index(body, text) + len(text) }
	}
	fromEnd := func(bytes int) func(string, string) int {
		return func(head, body string) int { return len(head) + len(body) - bytes }
	}
	inHead := func(bytes int) func(string, string) int {
		return func(head, _ string) int { return len(head) + bytes }
	}
	cuts := []namedCut{
		{"no byte", func(string, string) int { return 0 }, false},
		{"within the status line", func(string, string) int { return 7 }, false},
		{"after the status line", func(head, _ string) int { return strings.Index(head, "\n") + 1 }, false},
		{"within a header", func(head, _ string) int { return len(head) / 2 }, false},
		{"before the blank line", inHead(-2), false},
		{"within the blank line", inHead(-1), false},
		{"after the head", inHead(0), false},
		{"after a byte of the body", inHead(1), !streams},
		{"after two bytes of the body", inHead(2), !streams},
		{"before the last byte", fromEnd(1), !streams},
		{"before the last two bytes", fromEnd(2), !streams},
		{"before the last three bytes", fromEnd(3), !streams},
		{"before the last four bytes", fromEnd(4), !streams},
		{"before the last five bytes", fromEnd(5), !streams},
	}
	if !streams {
		return append(cuts, namedCut{"within the body", after("answer"), true})
	}
	return append(cuts,
		namedCut{"after the first event", after(standin.EventText(1)), true},
		namedCut{"within the third event", after("token 3"), false},
		namedCut{"before the end of the third event", after("token 3\n"), false},
		namedCut{"between two events", after(standin.EventText(3)), true},
		namedCut{"after the last event", after(standin.EventText(standin.EventsPerStream)), true},
	)
}

// cutCases returns a case for each kind of request, framing, end of the connection and place.
func cutCases() []answerCase {
	var cases []answerCase
	for _, path := range kinds {
		streams := isStream(path)
		for framing, framingName := range []string{"chunks", "length", "connection"} {
			for _, reset := range []bool{false, true} {
				for _, cut := range boundaryCuts(streams) {
					answer := standin.ScriptedAnswer{Framing: standin.Framing(framing), Cut: cut.cut, Reset: reset}
					c := answerCase{
						name:    fmt.Sprintf("%s framed by %s, reset %t, cut %s", path, framingName, reset, cut.name),
						call:    standin.CallerRequest{Path: path},
						answers: []standin.ScriptedAnswer{answer},
					}
					if cut.mayPass && answer.Framing == standin.FramedByConnection && !reset {
						c.mayEndEarly = true
					}
					cases = append(cases, c)
				}
			}
		}
	}
	return cases
}

// beginnings returns the shorter answers that nothing in their bytes tells from a whole one if
// they end with their connection.
func beginnings(whole string, stream bool) []string {
	var shorter []string
	for length := 1; length < len(whole); length++ {
		if !stream || strings.HasSuffix(whole[:length], "\n\n") {
			shorter = append(shorter, whole[:length])
		}
	}
	return shorter
}

// Another operator's report of issue 37: an engine stopped within the head of its answer, and
// callers got a 200 with an empty or short body that was framed as whole.
func TestAnswerThatBreaksOffDoesNotLookComplete(t *testing.T) {
	fleet := newLinkedFleetWithRetries(t, 3, retryForEachCase)
	cases := append(cutCases(), cutResumptionCases()...)
	t.Run("of the daemon's own target", func(t *testing.T) {
		mustBeSound(t, cases, fleet.checkAnswers(1, cases))
	})
	t.Run("by way of another daemon", func(t *testing.T) {
		fleet.cutOff(linkResets)
		mustBeSound(t, cases, fleet.checkAnswers(0, cases))
	})
}

// Heads that contradict their body or themselves, or lack what marks an answer as the target's.
func TestAnswerWithAFaultyHeadIsNotDelivered(t *testing.T) {
	fleet := newLinkedFleetWithRetries(t, 3, retryForEachCase)
	heads := []struct {
		name   string
		answer standin.ScriptedAnswer
	}{
		{"a 200 without a signature", standin.ScriptedAnswer{Unsigned: true}},
		{"a 200 with a length and no signature", standin.ScriptedAnswer{Unsigned: true, Framing: standin.FramedByLength}},
		{"a 200 that ends with its connection and has no signature", standin.ScriptedAnswer{Unsigned: true, Framing: standin.FramedByConnection}},
		{"a status line only", standin.ScriptedAnswer{StatusOnly: true, Cut: func(head, _ string) int { return len(head) }}},
		{"a status line and the body", standin.ScriptedAnswer{StatusOnly: true}},
		{"chunks in an answer of HTTP/1.0", standin.ScriptedAnswer{Version: "HTTP/1.0", Cut: everything}},
		{"chunks in an answer of HTTP/1.0 that is reset", standin.ScriptedAnswer{Version: "HTTP/1.0", Reset: true}},
		{"a length that is larger than the body", standin.ScriptedAnswer{Framing: standin.FramedByLength, Lengths: []string{"999"}, Cut: everything}},
		{"two lengths", standin.ScriptedAnswer{Framing: standin.FramedByLength, Lengths: []string{"3", "12"}}},
		{"a length that is no number", standin.ScriptedAnswer{Framing: standin.FramedByLength, Lengths: []string{"0x1"}}},
		{"a negative length", standin.ScriptedAnswer{Framing: standin.FramedByLength, Lengths: []string{"-1"}}},
		{"bytes before the status line", standin.ScriptedAnswer{Preamble: "garbage\r\n"}},
		{"the id of another request", standin.ScriptedAnswer{ForOther: true, Cut: everything}},
		{"no body in chunks", standin.ScriptedAnswer{Pieces: []string{}, Framing: standin.FramedByConnection}},
		{"an event stream with a parameter that breaks off", standin.ScriptedAnswer{ContentType: "text/event-stream; charset=utf-8", Framing: standin.FramedByConnection, Cut: cutAfterEvents(2, 7)}},
	}
	var cases []answerCase
	for _, head := range heads {
		for _, path := range kinds {
			if !isStream(path) && strings.HasPrefix(head.name, "an event stream") {
				continue
			}
			cases = append(cases, answerCase{name: path + ", " + head.name, call: standin.CallerRequest{Path: path}, answers: []standin.ScriptedAnswer{head.answer}})
		}
	}
	for _, path := range []string{"/drafts/1", "/queries/1"} {
		cases = append(cases, answerCase{name: path + ", an event stream without an event", call: standin.CallerRequest{Path: path}, answers: []standin.ScriptedAnswer{{Pieces: []string{}}}})
	}
	t.Run("of the daemon's own target", func(t *testing.T) {
		mustBeSound(t, cases, fleet.checkAnswers(1, cases))
	})
	t.Run("by way of another daemon", func(t *testing.T) {
		fleet.cutOff(linkResets)
		mustBeSound(t, cases, fleet.checkAnswers(0, cases))
	})
}

// A target's status may say that a request has not run, though the target does not say so and
// may have run it. Passed on, it would be a promise that the request never runs.
func TestUntruePromiseOfATargetIsNotPassedOn(t *testing.T) {
	fleet := newLinkedFleetWithRetries(t, 3, retryForEachCase)
	var cases []answerCase
	for _, path := range kinds {
		for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
			for _, unsigned := range []bool{false, true} {
				cases = append(cases, answerCase{
					name:    fmt.Sprintf("%s, %s, unsigned %t", path, status, unsigned),
					call:    standin.CallerRequest{Path: path},
					answers: []standin.ScriptedAnswer{{Status: status, Unsigned: unsigned, Plain: true, Pieces: []string{"failed"}}},
				})
			}
		}
	}
	t.Run("of the daemon's own target", func(t *testing.T) {
		mustBeSound(t, cases, fleet.checkAnswers(1, cases))
	})
	t.Run("by way of another daemon", func(t *testing.T) {
		fleet.cutOff(linkResets)
		mustBeSound(t, cases, fleet.checkAnswers(0, cases))
	})
}

// everything sends an answer whole and ends its connection.
func everything(head, body string) int { return len(head) + len(body) }
