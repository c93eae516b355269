package peer

import (
	"context"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/home"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/state/environment"
)

// streamingTarget answers each call with a stream of tokens, one per interval. With an
// interval of 0 it does not wait.
type streamingTarget struct {
	tokens   int
	interval time.Duration
}

func (t streamingTarget) Call(context.Context, targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	return &targetapi.Answer{Status: 200, Events: &tokenStream{target: t}}, nil
}

func (streamingTarget) Cancel(context.Context, string, string) {}

type tokenStream struct {
	target streamingTarget
	sent   int
}

func (s *tokenStream) Next() (*peerpb.Event, error) {
	if s.sent == s.target.tokens {
		return nil, io.EOF
	}
	if s.target.interval > 0 {
		<-time.After(s.target.interval)
	}
	s.sent++
	return &peerpb.Event{Offset: uint64(s.sent), Data: tokenEvent}, nil
}

func (*tokenStream) Abort() {}
func (*tokenStream) Close() {}

// tokenEvent is the data of an event of typical size.
const tokenEvent = `{"id":"chatcmpl-0","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":" token"},"finish_reason":null}]}`

// countingSink counts the events of an answer and drops the rest.
type countingSink struct{ events int }

func (*countingSink) Started(string)                   {}
func (*countingSink) Head(int, []*peerpb.Header) error { return nil }
func (d *countingSink) Event(*peerpb.Event) error      { d.events++; return nil }
func (*countingSink) Body([]byte) error                { return nil }

// nopMetrics ignores the metrics of the peer client and of the entry router.
type nopMetrics struct{}

func (nopMetrics) AddControlBytes(int)       {}
func (nopMetrics) CountRetry(refusal.Reason) {}

const benchDocument = `
name: bench
places: [{name: p, failure_domain: d}]
services: [{name: s, kind: model, load_bound: 1000}]
engines: [{name: e, service: s, place: p, address: "127.0.0.1:1", capacity: 1000}]
`

// startHomeAndEntry starts a home daemon's server and returns an entry daemon's router
// that reaches the server over a TCP connection.
func startHomeAndEntry(t testing.TB, target streamingTarget) *entry.Router {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	document, err := environment.Parse([]byte(benchDocument))
	must.NoError(t, err)
	homeMember := &peerpb.Member{Name: "home", Address: listener.Addr().String(), FailureDomain: "d", Incarnation: 1}
	entryMember := &peerpb.Member{Name: "entry", Address: "127.0.0.1:1", FailureDomain: "other", Incarnation: 1}
	loops := map[string]*control.Loop{}
	for _, self := range []*peerpb.Member{homeMember, entryMember} {
		loop := control.New(self)
		go loop.Run(ctx)
		loop.ApplySnapshot(&control.Snapshot{Generation: 1, Document: document})
		loops[self.GetName()] = loop
	}
	homeServer := home.New(loops["home"], target, "d")
	go func() { _ = Serve(ctx, listener, homeServer, nil, nopMetrics{}) }()
	loops["entry"].Do(func(state *control.State, now time.Time) {
		state.Members.MergeEntries([]*peerpb.Member{homeMember}, now.Add(time.Hour))
	})
	client := NewClient(entryMember, home.New(loops["entry"], target, "other"), nopMetrics{})
	t.Cleanup(client.Close)
	return entry.New(loops["entry"], client, nopMetrics{})
}

// serveRequest routes one request to the streaming target and returns the number of
// events of its answer.
func serveRequest(t testing.TB, router *entry.Router, id int) int {
	sink := new(countingSink)
	call := &peerpb.Call{RequestId: strconv.Itoa(id), Service: "s", Repeatable: true, Stream: true, ChatKey: uint64(id + 1)}
	_, refused := router.Serve(context.Background(), entry.Request{Call: call, Resumable: true, Deadline: time.Now().Add(time.Minute)}, sink)
	if refused != nil {
		t.Fatal(refused)
	}
	return sink.events
}

func TestForwardCarriesEveryEvent(t *testing.T) {
	const tokens = 500
	router := startHomeAndEntry(t, streamingTarget{tokens: tokens})
	must.Eq(t, tokens, serveRequest(t, router, 1))
}

// BenchmarkForwardToken measures the processor time that forwarding one token takes at
// the entry and the home daemon together, when tokens arrive 5 ms apart.
func BenchmarkForwardToken(b *testing.B) {
	const streams = 512
	tokens := b.N/streams + 1
	router := startHomeAndEntry(b, streamingTarget{tokens: tokens, interval: 5 * time.Millisecond})
	startTime := processorTime(b)
	b.ResetTimer()
	done := make(chan int, streams)
	for id := range streams {
		go func() { done <- serveRequest(b, router, id) }()
	}
	for range streams {
		<-done
	}
	b.ReportMetric(float64(processorTime(b)-startTime)/float64(streams*tokens), "cpu-ns/token")
}

// processorTime returns the processor time that this process has used.
func processorTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	must.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
