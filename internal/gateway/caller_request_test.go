package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// recordedLog keeps log lines.
type recordedLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *recordedLog) Info(message string, fields ...any) { l.add(message, fields) }
func (l *recordedLog) Warn(message string, fields ...any) { l.add(message, fields) }

func (l *recordedLog) add(message string, fields []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, strings.TrimSpace(fmt.Sprintln(append([]any{message}, fields...)...)))
}

// text returns all lines.
func (l *recordedLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

// Each end of a handler that leaves its caller without a response has a line with the
// request's id.
func TestHandlerThatEndsWithoutAResponseIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		logged  string
	}{
		"returns":  {func(http.ResponseWriter, *http.Request) {}, "handler of a request ended without a response request r1"},
		"panics":   {func(http.ResponseWriter, *http.Request) { panic(errors.New("a fault")) }, "handler of a request failed request r1 response_begun false panic a fault"},
		"responds": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			log := &recordedLog{}
			server := newCallerServer(c.handler, func() time.Duration { return time.Hour }, log, newCounters())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			served := make(chan error, 1)
			go func() { served <- server.serve(listener) }()
			request, err := standin.NewRequest(t.Context(), listener.Addr().String(), standin.CallerRequest{Method: http.MethodGet, Path: "/reads/1", ID: "r1"})
			must.NoError(t, err)
			if response, err := http.DefaultClient.Do(request); err == nil {
				must.NoError(t, response.Body.Close())
			}
			must.NoError(t, server.shutdown(t.Context()))
			must.NoError(t, <-served)
			must.StrContains(t, log.text(), c.logged)
			must.Eq(t, c.logged == "", log.text() == "")
		})
	}
}
