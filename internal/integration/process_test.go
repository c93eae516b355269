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

// binaryDir is the directory that holds the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs once and runs the tests.
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
	binaryDir = dir
	return m.Run()
}

// process is one running program under test.
type process struct {
	t         *testing.T
	name      string
	cmd       *exec.Cmd
	addresses map[string]string // fields of the log line "listening", such as "callers"
	exited    chan struct{}     // closed when the process has exited
	waitErr   error             // result of cmd.Wait; valid once exited is closed

	mu       sync.Mutex
	logLines []string
}

// startTimeout limits how long a program may take to listen.
const startTimeout = 20 * time.Second

// startProcess starts a program and waits until it listens. When the test ends, it
// kills the process and, if the test has failed, prints the process's log.
func startProcess(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, program), args...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	p := &process{t: t, name: name, cmd: cmd, exited: make(chan struct{})}
	ready := make(chan map[string]string, 1)
	go p.readLog(stderr, ready)
	t.Cleanup(p.cleanup)
	select {
	case p.addresses = <-ready:
	case <-p.exited:
		t.Fatalf("%s exited before it listened:\n%s", name, p.logText())
	case <-time.After(startTimeout):
		t.Fatalf("%s does not listen in time:\n%s", name, p.logText())
	}
	return p
}

// readLog stores the program's log lines, sends the fields of the line "listening"
// to ready, and waits for the process to exit.
func (p *process) readLog(stderr io.Reader, ready chan<- map[string]string) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		p.mu.Lock()
		p.logLines = append(p.logLines, line)
		p.mu.Unlock()
		var entry map[string]any
		if json.Unmarshal([]byte(line), &entry) != nil || entry["msg"] != "listening" {
			continue
		}
		addresses := make(map[string]string)
		for key, value := range entry {
			addresses[key] = fmt.Sprint(value)
		}
		ready <- addresses
	}
	p.waitErr = p.cmd.Wait()
	close(p.exited)
}

// logText returns the log so far.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.logLines, "\n")
}

// logged reports whether a line of the log contains the text.
func (p *process) logged(text string) bool { return strings.Contains(p.logText(), text) }

func (p *process) cleanup() {
	p.kill()
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.name, p.logText())
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatalf("signal %s: %v", p.name, err)
	}
}

// freeze suspends the process and waits until all its threads stand still. The signal
// takes effect on each thread when that is next scheduled, and until then the process
// could go on serving.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	waitFor(p.t, convergenceTimeout, p.name+" stands still", p.isStopped)
}

// isStopped reports whether all threads of the process are suspended.
func (p *process) isStopped() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, path := range stats {
		content, err := os.ReadFile(path)
		// The state is the first field after the name, which is in parentheses.
		_, state, found := strings.Cut(string(content), ") ")
		if err != nil || !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// thaw resumes a frozen process.
func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// waitFor polls until a condition holds, and fails the test after a timeout. The
// description completes the message "not within TIMEOUT: ".
func waitFor(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	const pollInterval = 10 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", timeout, description)
		}
		<-time.After(pollInterval)
	}
}
