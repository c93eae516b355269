package integration

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// binaries is the folder of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs once, then runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hemlockknot-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "hemlockknot/cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, output)
		return 1
	}
	binaries = dir
	return m.Run()
}

// process is one program under test.
type process struct {
	t         *testing.T
	name      string
	cmd       *exec.Cmd
	listening map[string]string // from the log line that says "listening"
	exited    chan struct{}
	waitErr   error

	mu    sync.Mutex
	lines []string
}

// startTimeout bounds how long a program takes to listen.
const startTimeout = 20 * time.Second

// start runs a program and waits until it listens. The test's end kills it and,
// if the test has failed, prints its log.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, program), args...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	p := &process{t: t, name: name, cmd: cmd, exited: make(chan struct{})}
	listening := make(chan map[string]string, 1)
	go p.read(stderr, listening)
	t.Cleanup(p.cleanup)
	select {
	case p.listening = <-listening:
	case <-p.exited:
		t.Fatalf("%s ended before it listened:\n%s", name, p.log())
	case <-time.After(startTimeout):
		t.Fatalf("%s does not listen:\n%s", name, p.log())
	}
	return p
}

// read keeps the program's log and reports the addresses that it listens on.
func (p *process) read(stderr io.Reader, listening chan<- map[string]string) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		p.lines = append(p.lines, line)
		p.mu.Unlock()
		var entry map[string]any
		if json.Unmarshal([]byte(line), &entry) != nil || entry["msg"] != "listening" {
			continue
		}
		addresses := make(map[string]string)
		for key, value := range entry {
			addresses[key] = fmt.Sprint(value)
		}
		listening <- addresses
	}
	p.waitErr = p.cmd.Wait()
	close(p.exited)
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// logged reports whether a line of the log contains the text.
func (p *process) logged(text string) bool { return strings.Contains(p.log(), text) }

func (p *process) cleanup() {
	p.kill()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.log())
	}
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

// freeze stops the process without ending it; thaw lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	const pollInterval = 10 * time.Millisecond
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", limit, what)
		}
		<-time.After(pollInterval)
	}
}
