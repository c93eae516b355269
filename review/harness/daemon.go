package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ports are the ports of all machines of a run.
type ports struct{ front, ready, control, first, last int }

// freePorts returns ports that are free on all loopback addresses.
func freePorts() (ports, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		if rangeIsFree(base, 20) {
			return ports{base, base + 1, base + 2, base + 4, base + 19}, nil
		}
	}
	return ports{}, fmt.Errorf("no free range of ports")
}

func rangeIsFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp4", net.JoinHostPort("0.0.0.0", strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// daemon is one machine with its process of the system.
type daemon struct {
	name, zone, ip string
	ports          ports
	storeAddress   string
	seeds          []string // addresses of the control listeners
	folder         string   // for settings and output

	process   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

func (d *daemon) control() string { return net.JoinHostPort(d.ip, strconv.Itoa(d.ports.control)) }
func (d *daemon) front() string   { return net.JoinHostPort(d.ip, strconv.Itoa(d.ports.front)) }
func (d *daemon) ready() string   { return net.JoinHostPort(d.ip, strconv.Itoa(d.ports.ready)) }

// start starts the process with the command of the deploy file.
func (d *daemon) start(firstStart bool) error {
	settings := filepath.Join(d.folder, d.name+".conf")
	if err := os.WriteFile(settings, []byte(d.settings(firstStart)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/hemlockknot-gateway", "run", "--metrics-port", "9464")
	command.Dir = repositoryRoot
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), named("settings") + "=" + settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = command.Wait(); close(ended) }()
	d.process, d.ended, d.startedAt = command, ended, time.Now()
	return nil
}

// kill ends the process with SIGKILL.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	_ = d.process.Process.Kill()
	<-d.ended
	d.process = nil
}

// settings are those of the users' page, with the figures of the site smc-quotes.
func (d *daemon) settings(firstStart bool) string {
	return string(fill(settingsText, map[string]any{
		"Name": d.name, "IP": d.ip, "Zone": d.zone, "Front": d.front(), "Ready": d.ready(), "Control": d.control(),
		"First": d.ports.first, "Last": d.ports.last, "Seeds": strings.Join(d.seeds, ","), "FirstStart": firstStart, "Store": d.storeAddress,
	}))
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready()+named("ready"), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if d.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", d.name, limit)
}

// logLines returns the lines of the daemon's output that contain a text.
func (d *daemon) logLines(text string) []string {
	content, _ := os.ReadFile(filepath.Join(d.folder, d.name+".log"))
	var found []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
