package soak

import (
	"bufio"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// grace is more than a daemon's settings give it between SIGTERM and its end.
const grace = 10 * time.Second

// program is the daemon under test, built once.
var program = sync.OnceValues(func() (string, error) {
	path := filepath.Join(buildFolder, "gateway")
	return path, exec.Command("go", "build", "-o", path, "hemlockknot/cmd/hemlockknot-gateway").Run()
})

// daemon is one process of the fleet, started again after each of its ends.
type daemon struct {
	name     string
	store    string // the store's address
	settings string // its file

	mu       sync.Mutex
	cmd      *exec.Cmd
	callers  string // address for callers; empty until it has started
	peers    string // address for other daemons
	lines    []string
	ended    chan struct{}
	stopping bool     // it was told to stop, or killed
	failed   []string // ends that nobody asked for
}

func newDaemon(t *testing.T, name, store string) *daemon {
	return &daemon{name: name, store: store, settings: filepath.Join(t.TempDir(), name+".conf")}
}

// start runs the process; its addresses are known once it has logged its start.
// Its ports are new each time: the others are its seeds.
func (d *daemon) start(t *testing.T, seeds ...string) {
	path, err := program()
	must.NoError(t, err)
	must.NoError(t, standin.WriteSettings(d.settings, d.name, d.store, seeds...))
	cmd := exec.Command(path, "run", "--settings", d.settings)
	stdout, err := cmd.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, cmd.Start())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.callers, d.ended, d.stopping = cmd, "", make(chan struct{}), false
	ended := d.ended
	go func() {
		defer close(ended)
		d.read(bufio.NewScanner(stdout))
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.stopping {
			d.failed = append(d.failed, "ended by itself: "+errorText(err))
		}
	}()
}

func errorText(err error) string {
	if err == nil {
		return "without an error"
	}
	return err.Error()
}

func (d *daemon) read(scanner *bufio.Scanner) {
	for scanner.Scan() {
		var line struct{ Msg, Callers, Peers string }
		if json.Unmarshal(scanner.Bytes(), &line) != nil {
			continue
		}
		d.mu.Lock()
		d.lines = append(d.lines, scanner.Text())
		if line.Msg == "started" {
			d.callers, d.peers = line.Callers, line.Peers
		}
		d.mu.Unlock()
	}
}

// address is where callers connect; empty while the daemon is down.
func (d *daemon) address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.callers
}

// seed is where other daemons find it.
func (d *daemon) seed() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers
}

// log returns the last lines that it wrote.
func (d *daemon) log(count int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lines[max(0, len(d.lines)-count):]
}

func (d *daemon) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		d.stopping = true
	}
	_ = d.cmd.Process.Signal(signal) // fails if it has ended already
}

// end stops the process by a signal and reports whether it ended in time.
func (d *daemon) end(signal syscall.Signal) bool {
	d.signal(signal)
	select {
	case <-d.ended:
		return true
	case <-time.After(grace):
		d.kill()
		return false
	}
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.ended
}
