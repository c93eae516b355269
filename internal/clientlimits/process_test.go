package clientlimits

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"

	platformstandin "hemlockknot/internal/standin/platform"
	"hemlockknot/internal/standin/service"
	"hemlockknot/internal/state/environment"
	environments "hemlockknot/internal/state/platform"
	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

var binaryDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs once and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hemlockknot-clientlimits-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "hemlockknot/cmd/hemlockknot-gateway", "hemlockknot/cmd/hemlockknotd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, output)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

// daemon is a process under test.
type daemon struct {
	pid       int
	exited    chan struct{}     // closed when the process has ended
	addresses map[string]string // by place
	request   func() (*http.Request, error)
	log       *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// machine is what a process may use.
type machine struct {
	memoryMB, descriptors int
	processors            int // 0: as many as there are
}

// freeAddresses returns loopback addresses that no one listens at.
func freeAddresses(t *testing.T, count int) []string {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

func portOf(address string) string { return address[strings.LastIndex(address, ":")+1:] }

// start starts a program with a hard limit of its descriptors, and with variables added to its
// environment.
func start(t *testing.T, limits machine, env []string, program string, args ...string) *daemon {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limits.descriptors)
	cmd := exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(binaryDir, program)}, args...)...)
	cmd.Env = append(os.Environ(), env...)
	if limits.processors > 0 {
		cmd.Env = append(cmd.Env, fmt.Sprintf("GOMAXPROCS=%d", limits.processors))
	}
	d := &daemon{exited: make(chan struct{}), log: &lockedBuffer{}}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	must.NoError(t, cmd.Start())
	d.pid = cmd.Process.Pid
	go func() { _ = cmd.Wait(); close(d.exited) }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-d.exited
		if text := d.log.String(); t.Failed() {
			t.Logf("end of the log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	return d
}

// startGateway starts hemlockknot-gateway with a target that serves /reads/. The configuration has
// the users' limits.
func startGateway(t *testing.T, limits machine) *daemon {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	document := standin.Document(1, standin.WorkspaceKey)
	document["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	store.Put(platform.KindDocument, platform.DocumentName, document)
	target := standin.NewTarget("desk-a", false)
	t.Cleanup(target.Crash)
	store.Put(platform.KindTargets, target.ID, target.Spec("desk", "north", "ready"))
	settingsPath := filepath.Join(t.TempDir(), "settings.conf")
	free := freeAddresses(t, 5)
	must.NoError(t, standin.WriteSettingsOfMachine(settingsPath, "front-1", store.Address(), standin.Machine{
		Callers: free[0], Readiness: free[1], Peers: free[2], ForwardPort: portOf(free[3]), MemoryMB: limits.memoryMB, Descriptors: limits.descriptors,
	}))
	d := start(t, limits, nil, "hemlockknot-gateway", "run", "--settings", settingsPath, "--metrics-port", portOf(free[4]))
	d.addresses = map[string]string{"callers": free[0], "readiness": free[1], "peers": free[2], "forwards": free[3], "metrics": free[4]}
	d.request = func() (*http.Request, error) {
		return standin.NewRequest(context.Background(), free[0], standin.CallerRequest{Method: "GET", Path: "/reads/1", ID: "ordinary"})
	}
	return d
}

// startChatDaemon starts hemlockknotd with a plain service. Its settings name no memory: it goes by
// GOMEMLIMIT.
func startChatDaemon(t *testing.T, limits machine) *daemon {
	store := httptest.NewServer(platformstandin.New().Handler())
	t.Cleanup(store.Close)
	target := httptest.NewServer(service.New().Handler())
	t.Cleanup(target.Close)
	document, err := yaml.Marshal(environment.Document{
		Name:       "production",
		Places:     []environment.Place{{Name: "north", FailureDomain: "north"}},
		Services:   []environment.Service{{Name: "reads", Kind: environment.KindPlain, Path: "/reads/"}, {Name: "bookings", Kind: environment.KindPlain, Path: "/bookings/"}},
		Engines:    []environment.Engine{{Name: "desk-a", Service: "reads", Place: "north", Address: target.Listener.Addr().String(), Capacity: 100}},
		Workspaces: []environment.Workspace{{Name: "members", KeysSHA256: []string{environment.HashKey(standin.WorkspaceKey)}}},
	})
	must.NoError(t, err)
	spec, err := json.Marshal(environments.EnvironmentSpec{Document: string(document)})
	must.NoError(t, err)
	_, err = environments.NewClient(store.URL, uncounted{}).Create(context.Background(), environments.KindEnvironments,
		&environments.Object{Metadata: environments.Metadata{Name: "production"}, Spec: spec})
	must.NoError(t, err)
	free := freeAddresses(t, 3)
	path := filepath.Join(t.TempDir(), "daemon.yaml")
	must.NoError(t, os.WriteFile(path, fmt.Appendf(nil, "name: d1\nplace: north\nfailure_domain: north\nplatform:\n  url: %s\nlisten:\n  callers: %s\n  operators: %s\n  peers: %s\n",
		store.URL, free[0], free[1], free[2]), 0o600))
	d := start(t, limits, []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", limits.memoryMB)}, "hemlockknotd", "run", "--config", path)
	d.addresses = map[string]string{"callers": free[0], "operators": free[1], "peers": free[2]}
	d.request = func() (*http.Request, error) {
		request, err := http.NewRequest("GET", "http://"+free[0]+"/reads/1", nil)
		if err == nil {
			request.Header.Set("Authorization", "Bearer "+standin.WorkspaceKey)
		}
		return request, err
	}
	return d
}

type uncounted struct{}

func (uncounted) CountPlatformCall(string) {}

// answerTimeout limits how long one ordinary request, with its repetitions, may take.
const answerTimeout = 15 * time.Second

// awaitAnswer sends an ordinary request until it is answered.
func (d *daemon) awaitAnswer(t *testing.T) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	var last any
	for until := time.Now().Add(answerTimeout); time.Now().Before(until); time.Sleep(tricklePace) {
		request, err := d.request()
		must.NoError(t, err)
		response, err := client.Do(request)
		if err != nil {
			last = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
	}
	t.Errorf("an ordinary request was not answered: %v", last)
}

// openDescriptors returns the number of descriptors that the process has open.
func (d *daemon) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.pid)) // none once the process has ended
	return len(entries)
}

// peakMemoryKB returns the largest resident memory that the process has had.
func (d *daemon) peakMemoryKB() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.pid)) // none once the process has ended
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	value, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	peak, _ := strconv.Atoi(value)
	return peak
}

// isReset reports whether the other side has reset the connection or answers its segments no more.
func isReset(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		value, optErr := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		reset = optErr != nil || value != 0
	})
	return err != nil || reset
}
