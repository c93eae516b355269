// Package eventlog writes structured log lines without blocking its callers. Lines
// pass a rate limiter and wait in a bounded queue. Lines that exceed either bound are
// dropped, and the number of dropped lines is logged.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// Limits of the log volume.
const (
	linesPerSecond = 150
	burstLines     = 300
	// reservedForWarnings is the part of the burst that only warnings may use, in lines.
	reservedForWarnings = 100
	queueCapacity       = 512
	// summaryInterval is how often the number of dropped lines is logged.
	summaryInterval = time.Second
)

// Log is a non-blocking log. Its methods may be called from any goroutine.
type Log struct {
	logger  *log.Logger
	limiter *rate.Limiter
	queue   chan line
	dropped atomic.Int64
}

// line is a log line that waits in the queue.
type line struct {
	level   log.Level
	message string
	fields  []any
}

// New returns a log that writes JSON lines to w while Run runs. Each line has the
// given fields.
func New(w io.Writer, fields ...any) *Log {
	logger := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.JSONFormatter,
		Fields:          fields,
	})
	return &Log{
		logger:  logger,
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		queue:   make(chan line, queueCapacity),
	}
}

// Info logs a routine decision. Under load these lines are dropped first.
func (l *Log) Info(message string, fields ...any) {
	if l.limiter.Tokens() < reservedForWarnings {
		l.dropped.Add(1)
		return
	}
	l.enqueue(line{log.InfoLevel, message, fields})
}

// Warn logs a failure or a change in the daemon's view of the fleet.
func (l *Log) Warn(message string, fields ...any) {
	l.enqueue(line{log.WarnLevel, message, fields})
}

// enqueue queues a line, or drops it if the rate limit or the queue is exhausted.
func (l *Log) enqueue(next line) {
	if !l.limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- next:
	default:
		l.dropped.Add(1)
	}
}

// Run writes lines until the context ends, and then the lines that are still queued.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		case <-ticker.C:
			l.logDropped()
		case <-ctx.Done():
			l.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines in the queue and the last number of dropped lines.
func (l *Log) writeQueued() {
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		default:
			l.logDropped()
			return
		}
	}
}

// logDropped logs how many lines were dropped since the last call, if any.
func (l *Log) logDropped() {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.logger.Warn("log lines dropped", "lines", dropped)
	}
}

func (l *Log) write(next line) { l.logger.Log(next.level, next.message, next.fields...) }
