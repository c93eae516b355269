// Package eventlog writes structured lines without ever holding up its caller:
// lines wait in a bounded queue, their rate is bounded, and what is left out is
// counted and said.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

// Bounds of the volume.
const (
	linesPerSecond = 150
	burst          = 300
	// reserved lines of the burst are kept for warnings.
	reserved   = 100
	queueLines = 512
	// summaryInterval is how often left-out lines are told.
	summaryInterval = time.Second
)

// Log takes lines from any goroutine.
type Log struct {
	logger  *log.Logger
	limiter *rate.Limiter
	queue   chan line
	dropped atomic.Int64
}

type line struct {
	level   log.Level
	message string
	fields  []any
}

// New returns a log that writes JSON lines with fields common to all.
func New(w io.Writer, fields ...any) *Log {
	logger := log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.JSONFormatter,
		Fields:          fields,
	})
	return &Log{
		logger:  logger,
		limiter: rate.NewLimiter(linesPerSecond, burst),
		queue:   make(chan line, queueLines),
	}
}

// Info notes an ordinary decision; it is the first to be left out under load.
func (l *Log) Info(message string, fields ...any) {
	if l.limiter.Tokens() < reserved {
		l.dropped.Add(1)
		return
	}
	l.put(line{log.InfoLevel, message, fields})
}

// Warn notes a failure, or a change of what the daemon believes.
func (l *Log) Warn(message string, fields ...any) {
	l.put(line{log.WarnLevel, message, fields})
}

func (l *Log) put(next line) {
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

// Run writes lines until the context ends, and then what is left.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		case <-ticker.C:
			l.summarize()
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case next := <-l.queue:
			l.write(next)
		default:
			l.summarize()
			return
		}
	}
}

func (l *Log) summarize() {
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.logger.Warn("lines left out", "lines", dropped)
	}
}

func (l *Log) write(next line) { l.logger.Log(next.level, next.message, next.fields...) }
