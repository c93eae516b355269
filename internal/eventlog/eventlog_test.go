package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// decodeLines decodes the JSON lines that a log wrote.
func decodeLines(t *testing.T, written []byte) []map[string]any {
	var decoded []map[string]any
	decoder := json.NewDecoder(bytes.NewReader(written))
	for {
		var line map[string]any
		err := decoder.Decode(&line)
		if err == io.EOF {
			return decoded
		}
		must.NoError(t, err)
		decoded = append(decoded, line)
	}
}

// startLog runs a log in a goroutine. The returned function stops it and waits until
// all lines are written.
func startLog(w io.Writer) (log *Log, stop func()) {
	log = New(w, "host", "front-1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { log.Run(ctx); close(done) }()
	return log, func() { cancel(); <-done }
}

func TestLinesAreStructured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		log, stop := startLog(&written)
		log.Info("request", "request", "r1", "tries", 2)
		log.Warn("store is unreachable", "error", io.ErrUnexpectedEOF)
		stop()
		all := decodeLines(t, written.Bytes())
		must.Len(t, 2, all)
		must.Eq(t, "request", all[0]["msg"].(string))
		must.Eq(t, "front-1", all[0]["host"].(string))
		must.Eq(t, "r1", all[0]["request"].(string))
		must.Eq(t, "unexpected EOF", all[1]["error"].(string))
	})
}

func TestRateIsLimitedAndDroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		log, stop := startLog(&written)
		const seconds, perSecond = 20, 2000
		for range seconds * 100 {
			for range perSecond / 100 {
				log.Info("request")
			}
			time.Sleep(10 * time.Millisecond)
		}
		stop()
		kept, dropped := 0, 0.0
		for _, line := range decodeLines(t, written.Bytes()) {
			if line["msg"] == "request" {
				kept++
				continue
			}
			dropped += line["lines"].(float64)
		}
		must.LessEq(t, burstLines+seconds*linesPerSecond, kept)
		must.Eq(t, seconds*perSecond, float64(kept)+dropped)
	})
}

func TestWarningsAreKeptWhenInfoLinesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		log, stop := startLog(&written)
		for range burstLines {
			log.Info("request")
		}
		log.Warn("store is unreachable")
		stop()
		all := decodeLines(t, written.Bytes())
		must.True(t, len(all) < burstLines)
		found := false
		for _, line := range all {
			found = found || line["msg"] == "store is unreachable"
		}
		must.True(t, found)
	})
}

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := blockedWriter{make(chan struct{})}
		log, stop := startLog(writer)
		start := time.Now()
		for range 20 * queueCapacity {
			log.Warn("request")
		}
		must.Eq(t, 0, time.Since(start), must.Sprint("a call blocked: virtual time advanced"))
		must.Positive(t, log.dropped.Load())
		close(writer.release)
		stop()
	})
}
