package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// memoryMB and maxHeaderBytes are those of the users' small deployments.
const (
	memoryMB       = 284
	maxHeaderBytes = 16384
)

// verdict says how a case has ended: one of the texts is set.
type verdict struct{ broken, held, invalid string }

// world holds what a case has started.
type world struct {
	binary  string
	folder  string // temporary
	trouble bool   // false with TROUBLE=0: the same without the disruption
	started time.Time
	store   *store

	mu      sync.Mutex
	record  io.WriteCloser
	daemons []*daemon
}

func newWorld(binary, record string) (*world, error) {
	binary, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: file}
	w.store = newStore()
	w.note("trouble: %t", w.trouble)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = io.WriteString(w.record, line)
	if strings.HasPrefix(format, "RESULT") || os.Getenv("ECHO") == "1" {
		fmt.Print(line)
	}
}

// end ends all processes that the case has started.
func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.mu.Lock()
	_ = w.record.Close()
	w.mu.Unlock()
	_ = os.RemoveAll(w.folder)
}

// machine is a machine of the deployment: a loopback address of its own, with the ports of the day.
type machine struct {
	name, zone, ip string
	number         int
}

// ports are the ports of all machines of the day.
type ports struct{ front, ready, control, firstPeer, lastPeer int }

// daemon is a process of the system on a machine.
type daemon struct {
	world    *world
	machine  machine
	settings string
	ports    ports

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
}

// addMachines makes machines in zones a, b, c in turn, with settings as DEPLOY.md shows them. They
// are not started.
func (w *world) addMachines(count int) {
	base := freePorts()
	zones := []string{"a", "b", "c"}
	var machines []machine
	var seeds []string
	for i := range count {
		m := machine{name: fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), zone: zones[i%3], ip: fmt.Sprintf("127.0.77.%d", i+1), number: i + 1}
		machines = append(machines, m)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", m.ip, base.control))
		}
	}
	for _, m := range machines {
		lines := []string{
			named("{node}=") + m.name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + m.ip,
			"zone=" + m.zone, "region=here", "zones.a=here", "zones.b=here", "zones.c=here",
			fmt.Sprintf("listen.front=%s:%d", m.ip, base.front), fmt.Sprintf("listen.ready=%s:%d", m.ip, base.ready),
			fmt.Sprintf("listen.control=%s:%d", m.ip, base.control), fmt.Sprintf(named("{ports}=%d,%d"), base.firstPeer, base.lastPeer),
			"seeds=" + strings.Join(seeds, ","), "bootstrap=true", "lossCounts=false",
			"limits.cpuShare=0.4", "limits.cores=1", fmt.Sprint("limits.memoryMb=", memoryMB), "limits.maxFds=4100",
			"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "beatMs=1200",
			named("contracts=base,drain,config,cost,retry,recover,engine,stream,{workspace}s,platform"),
			"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
			"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
			"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
			"bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000", "bounds.strictRevoke=false", "bounds.revokeMs=5000",
			"bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retryExtra=52", "bounds.recoveryS=12",
			"bounds.passMs=120", "bounds.reuseWindowS=10", "bounds.capFactor=2",
			"platform.address=" + w.store.address, "platform.form=objects", "platform.writesPerS=400",
			"platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000",
		}
		path := filepath.Join(w.folder, m.name+".conf")
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			panic(err)
		}
		w.daemons = append(w.daemons, &daemon{world: w, machine: m, settings: path, ports: base})
	}
}

// freePorts returns ports that are free now.
func freePorts() ports {
	for base := 21000 + os.Getpid()%4000*8; ; base += 16 {
		free := true
		for port := base; port < base+10; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.77.1:%d", port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return ports{base, base + 1, base + 2, base + 4, base + 9}
		}
		if base > 60000 {
			panic("no free ports")
		}
	}
}

// start starts the daemon with the command of the deploy file.
func (d *daemon) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	log, err := os.OpenFile(filepath.Join(d.world.folder, d.machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command := exec.Command(d.world.binary, "run", "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", named("{settings}=") + d.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		panic(err)
	}
	d.command = command
	exited := make(chan struct{})
	d.exited = exited
	go func() { _ = command.Wait(); _ = log.Close(); close(exited) }()
}

// signal sends the process a signal.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running reports whether the process runs.
func (d *daemon) running() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.exited == nil {
		return false
	}
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.machine.ip, d.ports.front) }

// ready asks whether the daemon is ready.
func (d *daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", d.machine.ip, d.ports.ready))
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, named("GET {internal}ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"))
	answer, _ := io.ReadAll(conn)
	return strings.HasPrefix(string(answer), "HTTP/1.1 200")
}

// awaitReady waits until the daemons are ready.
func (w *world) awaitReady(daemons ...*daemon) {
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				panic(d.machine.name + " does not get ready: " + d.logTail())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// logTail returns the end of the daemon's log.
func (d *daemon) logTail() string {
	text, _ := os.ReadFile(filepath.Join(d.world.folder, d.machine.name+".log"))
	return string(text[max(0, len(text)-2000):])
}

// residentMB returns the memory that the process has, in MiB; 0 if it does not run.
func (d *daemon) residentMB() float64 {
	d.mu.Lock()
	command := d.command
	d.mu.Unlock()
	if command == nil || !d.running() {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes / 1024
		}
	}
	return 0
}
