package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// startTimeout bounds how long a program may take until it listens.
const startTimeout = 20 * time.Second

// process is a running program that this tool started.
type process struct {
	name      string
	cmd       *exec.Cmd
	addresses map[string]string // by listener, from the log line "listening"
	exited    chan struct{}
}

// startProcess runs a program and waits until it listens.
func startProcess(ctx context.Context, binDir, name, program string, args ...string) (*process, error) {
	cmd := exec.Command(filepath.Join(binDir, program), args...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	proc := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	listening := make(chan map[string]string, 1)
	go proc.readLog(stderr, listening)
	select {
	case proc.addresses = <-listening:
		return proc, nil
	case <-proc.exited:
		return nil, fmt.Errorf("start %s: the process exited before it listened", name)
	case <-time.After(startTimeout):
		proc.kill()
		return nil, fmt.Errorf("start %s: the process did not listen within %s", name, startTimeout)
	case <-ctx.Done():
		proc.kill()
		return nil, ctx.Err()
	}
}

// readLog reads the program's log to its end, so that the program never blocks on
// it, and sends the addresses of the log line "listening". It closes p.exited once
// the program has exited.
func (p *process) readLog(stderr io.Reader, listening chan<- map[string]string) {
	scanner := bufio.NewScanner(stderr)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var entry map[string]any
		if json.Unmarshal(scanner.Bytes(), &entry) != nil || entry["msg"] != "listening" {
			continue
		}
		addresses := make(map[string]string)
		for key, value := range entry {
			addresses[key] = fmt.Sprint(value)
		}
		listening <- addresses
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}
