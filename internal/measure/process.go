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

// startTimeout bounds how long a program takes to listen.
const startTimeout = 20 * time.Second

// process is one program that the tool has started.
type process struct {
	name      string
	cmd       *exec.Cmd
	addresses map[string]string // by listener, from the line that says "listening"
	exited    chan struct{}
}

// startProcess runs a program and waits until it listens.
func startProcess(ctx context.Context, programs, name, program string, args ...string) (*process, error) {
	cmd := exec.Command(filepath.Join(programs, program), args...)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	started := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	listening := make(chan map[string]string, 1)
	go started.read(stderr, listening)
	select {
	case started.addresses = <-listening:
		return started, nil
	case <-started.exited:
		return nil, fmt.Errorf("start %s: it ended before it listened", name)
	case <-time.After(startTimeout):
		started.kill()
		return nil, fmt.Errorf("start %s: it does not listen after %s", name, startTimeout)
	case <-ctx.Done():
		started.kill()
		return nil, ctx.Err()
	}
}

// read drains the program's log and reports the addresses that it listens on.
func (p *process) read(stderr io.Reader, listening chan<- map[string]string) {
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

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}
