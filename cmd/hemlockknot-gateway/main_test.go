package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// started runs the daemon as a process and returns its lines.
func started(t *testing.T, settings string) (*exec.Cmd, <-chan string) {
	program := filepath.Join(t.TempDir(), "gateway")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	daemon := exec.Command(program, "run", "--settings", settings)
	stdout, err := daemon.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, daemon.Start())
	t.Cleanup(func() { _ = daemon.Process.Kill() })
	lines := make(chan string)
	go func() {
		defer close(lines)
		scanner := bufio.NewScanner(stdout)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
	}()
	return daemon, lines
}

// awaitLine reads lines up to one that holds a text.
func awaitLine(t *testing.T, lines <-chan string, text string) string {
	limit := time.After(10 * time.Second)
	for {
		select {
		case line, open := <-lines:
			must.True(t, open, must.Sprint("the process has ended before: ", text))
			if strings.Contains(line, text) {
				return line
			}
		case <-limit:
			t.Fatal("no line with: ", text)
		}
	}
}

func TestChangedSettingsAreReadAtSIGHUP(t *testing.T) {
	store := standin.NewStore()
	t.Cleanup(store.Close)
	settings := filepath.Join(t.TempDir(), "settings.conf")
	must.NoError(t, standin.WriteSettings(settings, "front-1", store.Address()))
	daemon, lines := started(t, settings)
	awaitLine(t, lines, `"msg":"started"`)

	must.NoError(t, os.WriteFile(settings, []byte("no settings"), 0o600))
	must.NoError(t, daemon.Process.Signal(syscall.SIGHUP))
	awaitLine(t, lines, "settings cannot be read")

	must.NoError(t, standin.WriteSettings(settings, "front-1", store.Address(), "127.0.0.1:9"))
	must.NoError(t, daemon.Process.Signal(syscall.SIGHUP))
	must.StrContains(t, awaitLine(t, lines, "settings read again"), "127.0.0.1:9")

	must.NoError(t, daemon.Process.Signal(syscall.SIGTERM))
	awaitLine(t, lines, `"msg":"stopped"`)
	for range lines { // until the process closes them
	}
	must.NoError(t, daemon.Wait())
}
