// Command review3 plays the cases of the third review: the daemons of the deploy file as separate
// processes, before stand-ins for the store, the targets and the clients.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func must1[T any](value T, err error) T {
	must(err)
	return value
}

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *bufio.Writer
	under *os.File
}

func newRecord(path string) *Record {
	file := must1(os.Create(path))
	return &Record{start: time.Now(), file: bufio.NewWriter(file), under: file}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, values ...any) { r.AddAt(time.Now(), format, values...) }

// AddAt is Add for something that happened at a time.
func (r *Record) AddAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Flush()
	_ = r.under.Close()
}

// Daemon is a process of the system.
type Daemon struct {
	Name, Zone, IP        string
	Front, Ready, Control string
	settings              string
	cmd                   *exec.Cmd
	done                  chan struct{}
	client                *http.Client
	log                   *os.File
}

// World is a small deployment.
type World struct {
	Record  *Record
	Store   *Store
	Daemons []*Daemon
	Targets []*Target
	Dir     string
	net     string // first three bytes of the addresses
	nextIP  int
	seeds   []string
	// Descriptors limits the open files of each daemon; 0: none.
	Descriptors int
	nextID      int
	mu          sync.Mutex
}

const (
	hostName  = "ficu95.example"
	key       = "n2ctnfzs989anu6wsjnb"
	workspace = "hule930"
)

func newWorld(record *Record) *World {
	w := &World{Record: record, Dir: must1(os.MkdirTemp("", "review3-"))}
	for {
		w.net = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", w.net+".1:9464")
		if err == nil {
			_ = listener.Close()
			break
		}
	}
	w.Store = startStore(w.ip()+":0", record)
	return w
}

func (w *World) ip() string {
	w.nextIP++
	return fmt.Sprintf("%s.%d", w.net, w.nextIP)
}

func freePort(ip string) string {
	listener := must1(net.Listen("tcp", ip+":0"))
	defer listener.Close()
	return listener.Addr().String()
}

// AddTarget adds a target and starts it.
func (w *World) AddTarget(r *Target) *Target {
	r.world, r.Addr = w, w.ip()+":0"
	if r.Slots == 0 {
		r.Slots = 64
	}
	r.Start()
	w.Targets = append(w.Targets, r)
	return r
}

// PlanDaemons chooses the addresses of daemons, one zone after the other.
func (w *World) PlanDaemons(count int, zones ...string) {
	for i := range count {
		ip := w.ip()
		d := &Daemon{Name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), Zone: zones[i%len(zones)], IP: ip,
			Front: freePort(ip), Ready: freePort(ip), Control: freePort(ip)}
		d.settings = filepath.Join(w.Dir, d.Name+".conf")
		d.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
		w.Daemons = append(w.Daemons, d)
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, d.Control)
		}
	}
}

// writeSettings writes the settings of a daemon, which are those of smc-quotes.
func (w *World) writeSettings(d *Daemon, bootstrap bool) {
	zones := map[string]bool{}
	lines := []string{named("{node}=") + d.Name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + d.IP, "zone=" + d.Zone, "region=pk-central"}
	for _, other := range w.Daemons {
		if !zones[other.Zone] {
			zones[other.Zone] = true
			lines = append(lines, "zones."+other.Zone+"=pk-central")
		}
	}
	lines = append(lines, "listen.front="+d.Front, "listen.ready="+d.Ready, "listen.control="+d.Control, named("{ports}=7340,7355"),
		"seeds="+strings.Join(w.seeds, ","), fmt.Sprint("bootstrap=", bootstrap), "lossCounts=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "beatMs=1200", named("contracts=base,drain,config,cost,retry,recover,engine,stream,{workspace}s,platform"),
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.strictRevoke=false", "bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retryExtra=52",
		"bounds.recoveryS=12", "bounds.passMs=120", "bounds.reuseWindowS=10", "bounds.capFactor=2",
		"platform.address="+w.Store.addr, "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000")
	must(os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

// StartDaemon starts a daemon with the command of the deploy file, in the repository's root.
func (w *World) StartDaemon(d *Daemon, bootstrap bool) {
	w.writeSettings(d, bootstrap)
	command := []string{"target/hemlockknot-gateway", "run", "--metrics-port", "9464"}
	if w.Descriptors > 0 {
		command = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, w.Descriptors)}, command...)
	}
	d.cmd = exec.Command(command[0], command[1:]...)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.Dir, named("{settings}=") + d.settings}
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if d.log == nil {
		d.log = must1(os.Create(filepath.Join(w.Dir, d.Name+".log")))
	}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	must(d.cmd.Start())
	d.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(d.cmd, d.done)
}

// StartDaemons starts all daemons and waits until they are ready.
func (w *World) StartDaemons() {
	for _, d := range w.Daemons {
		w.StartDaemon(d, true)
	}
	for _, d := range w.Daemons {
		w.AwaitReady(d, 10*time.Second)
	}
	w.Record.Say("%d daemons are ready", len(w.Daemons))
}

// AwaitReady waits until a daemon says that it is ready. The case cannot run without that.
func (w *World) AwaitReady(d *Daemon, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := d.client.Get("http://" + d.Ready + named("{internal}ready"))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	w.Record.Say("%s is not ready", d.Name)
	w.End()
	os.Exit(2)
}

// End ends all processes.
func (w *World) End() {
	for _, d := range w.Daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			<-d.done
		}
	}
	for _, r := range w.Targets {
		r.Stop()
	}
	w.Record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.Dir)
	} else {
		fmt.Println("logs:", w.Dir)
	}
}

// NewID returns the id of a client attempt.
func (w *World) NewID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID++
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(w.nextID))
}

// Sent is what a client knows of one attempt.
type Sent struct {
	ID, Daemon, Kind string
	SentAt           time.Time
	HeadAt, EndAt    time.Time // zero: there was none
	Status           int
	Signed           bool
	Leaving          bool
	Stamp            string
	Events           []string // data of the events of a stream
	LastEvent        int
	Whole            bool
	Text             string
	Err              error
}

// Call is a request to be sent.
type Call struct {
	Kind, Method, Path, Body string
	DeadlineMs               int
	Header                   map[string]string
}

// Do sends a request to a daemon on a new connection and reads the answer.
func (w *World) Do(d *Daemon, call Call) *Sent {
	sent := &Sent{ID: w.NewID(), Daemon: d.Name, Kind: call.Kind}
	request := must1(http.NewRequest(call.Method, "http://"+d.Front+call.Path, strings.NewReader(call.Body)))
	request.Host = hostName
	request.Header.Set("X-Request-Id", sent.ID)
	request.Header.Set(named("{key}"), key)
	request.Header.Set(named("{deadline}"), fmt.Sprint(call.DeadlineMs))
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	timer := time.AfterFunc(time.Duration(call.DeadlineMs)*time.Millisecond+500*time.Millisecond, func() {})
	defer timer.Stop()
	sent.SentAt = time.Now()
	client := *d.client
	client.Timeout = time.Duration(call.DeadlineMs)*time.Millisecond + time.Second
	response, err := client.Do(request)
	if err != nil {
		sent.Err, sent.EndAt = err, time.Now()
		return sent
	}
	defer response.Body.Close()
	sent.HeadAt, sent.Status, sent.Stamp = time.Now(), response.StatusCode, response.Header.Get(named("{stamp}"))
	sent.Signed = sent.Stamp != ""
	sent.Leaving = response.Header.Get("Server-Leaving") == "1"
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			line := scanner.Text()
			if id, found := strings.CutPrefix(line, "id: "); found {
				_, _ = fmt.Sscan(id, &sent.LastEvent)
			}
			if data, found := strings.CutPrefix(line, "data: "); found {
				sent.Events = append(sent.Events, data)
			}
		}
		sent.Err = scanner.Err()
	} else {
		body, err := io.ReadAll(response.Body)
		sent.Text, sent.Err = strings.TrimSpace(string(body)), err
	}
	sent.Whole, sent.EndAt = sent.Err == nil, time.Now()
	return sent
}

// route describes a route of the configuration.
type route map[string]any

// PutConfig writes a configuration.
func (w *World) PutConfig(version int, routes []route, services []map[string]any) bool {
	spec := map[string]any{"version": version, "routes": routes, "services": services,
		"limits":              map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		named("{workspace}s"): []any{map[string]any{"name": workspace, named("{keys}"): []string{key}, "priority": 1}}}
	return w.Store.Put("config", "main", spec)
}

// streamRoute, bookingRoute and readRoute are routes like those of smc-quotes.
func streamRoute(name, prefix, service string, attempts int, resumable bool) route {
	return route{"name": name, "host": hostName, named("{path-prefix}"): prefix, named("{route-kind}"): "streaming", "timeoutMs": 12000, named("{latency}"): 600,
		"priority": 0, "service": service, named("{attempts}"): attempts, named("{anonymous}"): false, "sticky": true, "resumable": resumable, named("{gap}"): 300}
}

func plainRoute(name, prefix, kind, service string, attempts int) route {
	return route{"name": name, "host": hostName, named("{path-prefix}"): prefix, named("{route-kind}"): kind, "timeoutMs": 2000, named("{latency}"): 300,
		"priority": 2, "service": service, named("{attempts}"): attempts, named("{anonymous}"): false, "sticky": false, "resumable": false}
}

func modelService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacityTokens": 721508, "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true,
			"stride": 7, "most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}
}

// signal sends a signal to a daemon.
func (d *Daemon) signal(s syscall.Signal) { must(d.cmd.Process.Signal(s)) }

// logLines returns the lines of a daemon's log that contain a text.
func (d *Daemon) logLines(text string) []string {
	content, _ := os.ReadFile(d.log.Name())
	var lines []string
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

func compact(value any) string { return string(must1(json.Marshal(value))) }
