package daemon

import (
	"math"
	"net"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"hemlockknot/internal/metrics"
	"hemlockknot/internal/state/settings"
	"hemlockknot/internal/transport/caller"
	"hemlockknot/internal/transport/httpserver"
	"hemlockknot/internal/transport/memory"
)

const (
	// bufferMemoryShare is the part of the memory that heads and bodies may fill together. Reading a
	// body that grows needs up to three times its size, and the daemon of its engine holds it too.
	bufferMemoryShare = 1.0 / 8
	// collectorShare is the part of the host's memory above which the collector runs more often. The
	// rest holds the program itself and what is allocated while the collector runs.
	collectorShare = 5.0 / 8
	// Shares of the descriptors that the connections of a place may use. A request needs a second
	// one, to an engine or to another daemon.
	callerDescriptorShare   = 7.0 / 16
	peerDescriptorShare     = 1.0 / 4
	operatorDescriptorShare = 1.0 / 32
	minPlaceConns           = 8
	// connMemory is the memory for a caller's connection: about 25 KB, and a head and a small body
	// as much again.
	connMemory = 96 << 10
	// peerFirstByte is how long another daemon's connection may be open before its first byte.
	// Daemons open a connection for a call, whose first byte they send at once.
	peerFirstByte = 10 * time.Second
	// operatorHeaderBytes limits the heads of operators, and operatorTimeout the time of their
	// requests and answers.
	operatorHeaderBytes = 16 << 10
	operatorTimeout     = 30 * time.Second
	// limitLogInterval and limitLogBurst bound the log lines about limits: a crowd meets them
	// thousands of times a second.
	limitLogInterval = time.Second
	limitLogBurst    = 10
)

// capacity is what the clients of a process may use.
type capacity struct {
	callers, unfinished, peers, operators int // connections
	memory                                *memory.Account
}

// newCapacity derives the limits that the settings leave open from the memory and the descriptors of
// the process.
func newCapacity(limits settings.Limits) capacity {
	memoryBytes := int64(limits.MemoryMB) << 20
	if memoryBytes == 0 {
		memoryBytes = debug.SetMemoryLimit(-1) // of GOMEMLIMIT
	}
	if memoryBytes == math.MaxInt64 {
		memoryBytes = settings.DefaultMemoryMB << 20
	}
	debug.SetMemoryLimit(int64(float64(memoryBytes) * collectorShare))
	account := max(int64(float64(memoryBytes)*bufferMemoryShare), limits.BodyBytes+int64(limits.HeaderBytes)) // a single request fits
	descriptors := openFilesLimit()
	of := func(set int, share float64) int {
		if set > 0 {
			return set
		}
		return max(minPlaceConns, int(float64(descriptors)*share))
	}
	c := capacity{
		callers: of(limits.Connections, callerDescriptorShare), unfinished: limits.UnfinishedHeads,
		peers: of(limits.PeerConnections, peerDescriptorShare), operators: of(0, operatorDescriptorShare), memory: memory.New(account),
	}
	if limits.Connections == 0 {
		c.callers = min(c.callers, max(minPlaceConns, int(memoryBytes/connMemory)))
	}
	if c.unfinished == 0 {
		c.unfinished = c.callers / 2
	}
	return c
}

// maxDescriptors bounds the shares where the system names no limit, or a very large one.
const maxDescriptors = 1 << 16

// openFilesLimit returns the number of descriptors that the process may open.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// ofCallers returns the part of the capacity that callers may use.
func (c capacity) ofCallers(counters *metrics.Metrics, logger *log.Logger) caller.Capacity {
	return caller.Capacity{MaxConns: c.callers, MaxUnfinished: c.unfinished, Memory: c.memory, OnLimit: func(client, reason string) {
		// The server for callers has a line of its own for a head that has begun.
		counters.CountLimit("callers", reason)
		logger.Debug("connection has met a limit", "place", "callers", "peer", client, "limit", reason)
	}}
}

// limitObserver returns a function that counts and logs the limits that connections to a place meet.
func limitObserver(place string, counters *metrics.Metrics, logger *log.Logger) func(client, reason string) {
	lines := rate.NewLimiter(rate.Every(limitLogInterval), limitLogBurst)
	return func(client, reason string) {
		counters.CountLimit(place, reason)
		if lines.Allow() {
			logger.Info("connection has met a limit", "place", place, "peer", client, "limit", reason)
		}
	}
}

// limitedListener returns a listener with the limits of a place that is not for callers.
func (d *Daemon) limitedListener(inner net.Listener, place string, maxConns int, firstByte time.Duration) net.Listener {
	return httpserver.LimitListener(inner, httpserver.ListenerLimits{
		MaxConns: maxConns, FirstByte: firstByte, Memory: d.capacity.memory, OnLimit: limitObserver(place, d.metrics, d.log),
	})
}
