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

// lines decodes what was written.
func lines(t *testing.T, written []byte) []map[string]any {
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

// start runs a log in virtual time; stop waits until all is written.
func start(w io.Writer) (log *Log, stop func()) {
	log = New(w, "host", "front-1")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { log.Run(ctx); close(done) }()
	return log, func() { cancel(); <-done }
}

func TestLinesAreStructured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		log, stop := start(&written)
		log.Info("request", "request", "r1", "tries", 2)
		log.Warn("store is away", "error", io.ErrUnexpectedEOF)
		stop()
		all := lines(t, written.Bytes())
		must.Len(t, 2, all)
		must.Eq(t, "request", all[0]["msg"].(string))
		must.Eq(t, "front-1", all[0]["host"].(string))
		must.Eq(t, "r1", all[0]["request"].(string))
		must.Eq(t, "unexpected EOF", all[1]["error"].(string))
	})
}

func TestVolumeIsBoundedAndWhatIsLeftOutIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		log, stop := start(&written)
		const seconds, perSecond = 20, 2000
		for range seconds * 100 {
			for range perSecond / 100 {
				log.Info("request")
			}
			time.Sleep(10 * time.Millisecond)
		}
		stop()
		kept, leftOut := 0, 0.0
		for _, line := range lines(t, written.Bytes()) {
			if line["msg"] == "request" {
				kept++
				continue
			}
			leftOut += line["lines"].(float64)
		}
		must.LessEq(t, burst+seconds*linesPerSecond, kept)
		must.Eq(t, seconds*perSecond, float64(kept)+leftOut)
	})
}

func TestWarningsAreKeptWhenOrdinaryLinesAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		log, stop := start(&written)
		for range burst {
			log.Info("request")
		}
		log.Warn("store is away")
		stop()
		all := lines(t, written.Bytes())
		must.True(t, len(all) < burst)
		found := false
		for _, line := range all {
			found = found || line["msg"] == "store is away"
		}
		must.True(t, found)
	})
}

// stuck is a writer that never returns.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestNothingWaitsForAStuckWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := stuck{make(chan struct{})}
		log, stop := start(writer)
		before := time.Now()
		for range 20 * queueLines {
			log.Warn("request")
		}
		must.Eq(t, 0, time.Since(before), must.Sprint("in virtual time, any wait would show"))
		must.Positive(t, log.dropped.Load())
		close(writer.release)
		stop()
	})
}
