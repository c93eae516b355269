package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Bounds of the users.
const (
	// settled is how long a change may take to be in force.
	settled = 2 * time.Second
	// contact is the time after trouble with the store from which a host counts as
	// calm again.
	contact = 3 * time.Second
)

// testLog sends the daemon's lines to the test's output.
type testLog struct{ t *testing.T }

func (l testLog) Info(message string, fields ...any) { l.put("info", message, fields) }
func (l testLog) Warn(message string, fields ...any) { l.put("warn", message, fields) }

func (l testLog) put(level, message string, fields []any) {
	if l.t.Context().Err() == nil {
		l.t.Log(append([]any{level, message}, fields...)...)
	}
}

// testFleet is one daemon between a caller and stand-ins of the platform.
type testFleet struct {
	t       *testing.T
	store   *standin.Store
	daemon  *Gateway
	stop    context.CancelFunc
	stopped chan error
	client  *http.Client
	grace   time.Duration // of the daemon's stop
	peers   int           // daemons that were started besides
}

// quickGrace ends a daemon quickly after a test.
const quickGrace = 500 * time.Millisecond

// newFleet starts a daemon with a configuration and targets: two of each service.
func newFleet(t *testing.T) (f *testFleet, writers, desks [2]*standin.Target) {
	f = &testFleet{t: t, store: standin.NewStore(), client: &http.Client{Transport: &http.Transport{}}, grace: quickGrace}
	t.Cleanup(f.store.Close)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(1, standin.Key))
	for i, name := range []string{"a", "b"} {
		writers[i] = f.addTarget("writer-"+name, "writers", true)
		desks[i] = f.addTarget("desk-"+name, "desk", false)
	}
	f.start()
	return f, writers, desks
}

func (f *testFleet) addTarget(id, service string, streams bool) *standin.Target {
	target := standin.NewTarget(id, streams)
	f.t.Cleanup(target.Crash)
	f.store.Put(platform.KindTargets, id, target.Entry(service, "north", "ready"))
	return target
}

// start starts a daemon and waits until it is ready.
func (f *testFleet) start() {
	f.startWith(platform.Settings{Host: "front-1", StoreAddress: f.store.Address()})
}

// peer returns a fleet of a second daemon, which knows the first one as a seed.
// The store at its address, which may be none, may be another than the first's.
func (f *testFleet) peer(storeAddress string) *testFleet {
	f.peers++
	second := &testFleet{t: f.t, store: f.store, client: f.client, grace: f.grace}
	second.startWith(platform.Settings{Host: fmt.Sprint("front-", 1+f.peers), StoreAddress: storeAddress, Seeds: []string{f.daemon.others.Addr().String()}})
	return second
}

func (f *testFleet) startWith(settings platform.Settings) {
	f.startUnready(settings)
	f.eventually(f.ready)
}

func (f *testFleet) startUnready(settings platform.Settings) {
	settings.FailureDomain = "north"
	settings.CallersAddress, settings.ReadyAddress, settings.PeersAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Grace = f.grace
	settings.RetryRatio, settings.RetryExtra, settings.RetryWindow = 0.2, 400, 10*time.Second
	daemon, err := New(settings, testLog{f.t})
	must.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	f.daemon, f.stop, f.stopped = daemon, stop, make(chan error, 1)
	go func() { f.stopped <- daemon.Run(ctx, "") }()
	f.t.Cleanup(func() {
		f.client.CloseIdleConnections()
		stop()
		<-f.stopped
		f.stopped <- nil
	})
}

func (f *testFleet) eventually(condition func() bool) {
	f.t.Helper()
	f.within(settled, condition)
}

func (f *testFleet) within(limit time.Duration, condition func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(limit), wait.Gap(5*time.Millisecond)))
}

func (f *testFleet) ready() bool {
	response, err := f.client.Get(standin.ReadyURL(f.daemon.checks.Addr().String()))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *testFleet) request(call standin.Call) *http.Request {
	request, err := standin.NewRequest(f.t.Context(), f.daemon.front.Addr().String(), call)
	must.NoError(f.t, err)
	return request
}

// do sends a request and returns its whole answer.
func (f *testFleet) do(call standin.Call) (status int, header http.Header, body string) {
	f.t.Helper()
	response, err := f.client.Do(f.request(call))
	must.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	must.NoError(f.t, err)
	return response.StatusCode, response.Header, string(content)
}

// runsOf returns how often any of the targets ran a request.
func runsOf(id string, targets ...*standin.Target) int {
	count := 0
	for _, target := range targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// failBoth sets the same faults at both targets, as either may be chosen.
func failBoth(targets [2]*standin.Target, faults ...standin.Fault) {
	for _, target := range targets {
		target.Fail(faults...)
	}
}

// raw sends bytes on a connection of their own and returns the first answer's
// status line, empty if the connection ends without one.
func (f *testFleet) raw(text string) string {
	conn, err := net.Dial("tcp", f.daemon.front.Addr().String())
	must.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	must.NoError(f.t, err)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}
