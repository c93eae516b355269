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

// Limits set by the users.
const (
	// settleTimeout is how long a daemon may take to apply a change.
	settleTimeout = 2 * time.Second
	// evacuateDeadline is how long a daemon may send to a failure domain after its evacuation.
	evacuateDeadline = 5 * time.Second
	// recoveryTimeout is how long a host may take to recover after the store was
	// unavailable.
	recoveryTimeout = 3 * time.Second
)

// testLog writes the daemon's log lines to the test's output.
type testLog struct{ t *testing.T }

func (l testLog) Info(message string, fields ...any) { l.write("info", message, fields) }
func (l testLog) Warn(message string, fields ...any) { l.write("warn", message, fields) }

func (l testLog) write(level, message string, fields []any) {
	if l.t.Context().Err() == nil {
		l.t.Log(append([]any{level, message}, fields...)...)
	}
}

// testFixture is one daemon, an HTTP client that calls it, and stand-ins for the
// platform's store and targets.
type testFixture struct {
	t            *testing.T
	store        *standin.Store
	daemon       *Gateway
	stop         context.CancelFunc
	stopped      chan error // the result of Run; each receiver sends a value back for the next one
	client       *http.Client
	grace        time.Duration // grace period of the daemon's stop
	peersStarted int           // number of daemons started by startPeer
	retryExtra   float64       // retries of the fleet beyond the ratio
	coldOverrun  float64       // of the bound on requests to a cold target; 0: none
	restarted    bool          // the fleet has served before
	evacuations  bool          // the settings know evacuations
	readyLimit   time.Duration // how long a daemon may take to become ready, if longer than settleTimeout
	// dialTarget replaces the way in which the daemon opens connections to targets; nil: TCP.
	dialTarget func(ctx context.Context, address string) (net.Conn, error)
	// partition may cut the daemon off from others; nil: it does not.
	partition *partition
}

// defaultRetryExtra is the fixture's retryExtra: a daemon gets an eighth of it.
const defaultRetryExtra = 400

// Bound of the users on the requests to a cold target in any second: usersColdOverrun x the rate that
// its service names + usersColdSlack.
const (
	usersColdOverrun = 1.5
	usersColdSlack   = 5
)

// shortGrace is a grace period with which a daemon stops quickly after a test.
const shortGrace = 500 * time.Millisecond

// newFixture starts a daemon with a configuration and four targets: two engines of the
// service "writers", which stream, and two targets of the service "desk", which do not.
func newFixture(t *testing.T) (f *testFixture, writers, desks [2]*standin.Target) {
	return newFixtureWithRetries(t, defaultRetryExtra)
}

// newFixtureWithRetries is newFixture with another number of retries beyond the ratio.
func newFixtureWithRetries(t *testing.T, extra float64) (f *testFixture, writers, desks [2]*standin.Target) {
	f, writers, desks = prepareFixture(t, extra)
	f.start()
	return f, writers, desks
}

// prepareFixture is newFixtureWithRetries without the start of the daemon.
func prepareFixture(t *testing.T, extra float64) (f *testFixture, writers, desks [2]*standin.Target) {
	f = &testFixture{t: t, store: standin.NewStore(), client: &http.Client{Transport: &http.Transport{}}, grace: shortGrace, retryExtra: extra}
	t.Cleanup(f.store.Close)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(1, standin.WorkspaceKey))
	for i, name := range []string{"a", "b"} {
		writers[i] = f.addTarget("writer-"+name, "writers", true)
		desks[i] = f.addTarget("desk-"+name, "desk", false)
	}
	return f, writers, desks
}

// addTarget starts a target and adds it to the store's list.
func (f *testFixture) addTarget(id, service string, streams bool) *standin.Target {
	target := standin.NewTarget(id, streams)
	f.t.Cleanup(target.Crash)
	f.store.Put(platform.KindTargets, id, target.Spec(service, "north", "ready"))
	return target
}

// start starts a daemon and waits until it is ready.
func (f *testFixture) start() {
	f.startReady(platform.Settings{Host: "front-1", StoreAddress: f.store.Address()})
}

// startPeer starts another daemon, which has the first one as its seed, and waits until
// it is ready. Its store may differ from the first one's or be unreachable.
func (f *testFixture) startPeer(storeAddress string) *testFixture {
	return f.startPeerWith(storeAddress, nil)
}

// startPeerWith is startPeer with another way to open connections to targets.
func (f *testFixture) startPeerWith(storeAddress string, dialTarget func(context.Context, string) (net.Conn, error)) *testFixture {
	f.peersStarted++
	return f.startPeerAs(fmt.Sprint("front-", 1+f.peersStarted), storeAddress, dialTarget)
}

// startPeerAs is startPeerWith with the name of the daemon's host.
func (f *testFixture) startPeerAs(host, storeAddress string, dialTarget func(context.Context, string) (net.Conn, error)) *testFixture {
	second := &testFixture{t: f.t, store: f.store, client: f.client, grace: f.grace, retryExtra: f.retryExtra, coldOverrun: f.coldOverrun, restarted: f.restarted, evacuations: f.evacuations, readyLimit: f.readyLimit, dialTarget: dialTarget, partition: f.partition}
	second.startReady(platform.Settings{Host: host, StoreAddress: storeAddress, Seeds: []string{f.daemon.peerListener.Addr().String()}})
	return second
}

// startReady starts a daemon and waits until it is ready.
func (f *testFixture) startReady(settings platform.Settings) {
	f.startDaemon(settings)
	f.within(max(settleTimeout, f.readyLimit), f.ready)
}

// startDaemon starts a daemon on free ports, without waiting until it is ready.
func (f *testFixture) startDaemon(settings platform.Settings) {
	settings.FailureDomain = "north"
	settings.PlaceByFailureDomain = map[string]string{"north": "coast", "south": "coast", "west": "coast"}
	settings.MaxMemoryBytes = 184 << 20 // the users' smallest host
	settings.LinkBytesPerS = 20e6 / 8
	settings.HeartbeatInterval = 1200 * time.Millisecond
	settings.CallerListenAddress, settings.ReadyListenAddress, settings.PeerListenAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.StopGrace = f.grace
	if f.evacuations {
		settings.EvacuateDeadline = evacuateDeadline
	}
	settings.FirstStart = !f.restarted
	settings.RetryRatio, settings.RetryExtra, settings.RetryWindow = 0.2, f.retryExtra, 10*time.Second
	settings.ColdOverrun, settings.ColdSlack = f.coldOverrun, usersColdSlack
	daemon, err := New(settings, testLog{f.t})
	must.NoError(f.t, err)
	if f.dialTarget != nil {
		daemon.pool.Dial = f.dialTarget
	}
	if f.partition != nil {
		daemon.peers.client.Dial = f.partition.dialer(daemon.peers.address)
	}
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

// eventually waits until the condition is true, for settleTimeout at most.
func (f *testFixture) eventually(condition func() bool) {
	f.t.Helper()
	f.within(settleTimeout, condition)
}

// within waits until the condition is true and fails the test at the time limit.
func (f *testFixture) within(limit time.Duration, condition func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(limit), wait.Gap(5*time.Millisecond)))
}

// ready reports whether the daemon passes the readiness check.
func (f *testFixture) ready() bool {
	response, err := f.client.Get(standin.ReadyURL(f.daemon.readinessListener.Addr().String()))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// newRequest returns a request to the daemon.
func (f *testFixture) newRequest(call standin.CallerRequest) *http.Request {
	request, err := standin.NewRequest(f.t.Context(), f.daemon.callerListener.Addr().String(), call)
	must.NoError(f.t, err)
	return request
}

// do sends a request and returns the complete response.
func (f *testFixture) do(call standin.CallerRequest) (status int, header http.Header, body string) {
	f.t.Helper()
	response, err := f.client.Do(f.newRequest(call))
	must.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	must.NoError(f.t, err)
	return response.StatusCode, response.Header, string(content)
}

// countRuns returns how often the targets together ran a request.
func countRuns(id string, targets ...*standin.Target) int {
	count := 0
	for _, target := range targets {
		for _, run := range target.Executions() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// injectFaults sets the same faults at both targets, since either may be chosen.
func injectFaults(targets [2]*standin.Target, faults ...standin.Fault) {
	for _, target := range targets {
		target.InjectFaults(faults...)
	}
}

// sendRaw sends bytes on a new connection and returns the status line of the first
// response, or "" if the connection ends without one.
func (f *testFixture) sendRaw(text string) string {
	conn, err := net.Dial("tcp", f.daemon.callerListener.Addr().String())
	must.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	must.NoError(f.t, err)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}
