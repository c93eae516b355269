package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/shutdown"
)

// recordingObserver keeps what a server reports.
type recordingObserver struct {
	mu      sync.Mutex
	reports []string
}

func (o *recordingObserver) ConnectionClosed(_ string, _ time.Duration, answered, stopping bool) {
	o.add("closed, answered %t, stopping %t", answered, stopping)
}

func (o *recordingObserver) HandlerFailed(requestID string, panicked any, _ []byte) {
	o.add("%s failed: %v", requestID, panicked)
}

func (o *recordingObserver) RequestsUnanswered(ids []string) { o.add("unanswered: %v", ids) }
func (o *recordingObserver) ServerError(text string)         { o.add("error: %s", text) }

func (o *recordingObserver) add(format string, values ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports = append(o.reports, fmt.Sprintf(format, values...))
}

// taken returns what has been reported.
func (o *recordingObserver) taken() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reports
}

// headerID names a request in tests.
const headerID = "Test-Id"

// newTestServer returns a server that keeps idle connections for long.
func newTestServer(observer Observer, handler http.HandlerFunc) *Server {
	return New(handler, Options{
		IdleTimeout: time.Hour, HeaderTimeout: 10 * time.Second, MaxHeaderBytes: 4 << 10,
		RequestID: func(header http.Header) string { return header.Get(headerID) },
	}, observer)
}

// serveTest serves a server at a free port until stop is called.
func serveTest(t *testing.T, server *Server) (address string, stop func(grace time.Duration) (cancelled int)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return serveTestAt(t, server, listener)
}

func serveTestAt(t *testing.T, server *Server, listener net.Listener) (address string, stop func(grace time.Duration) (cancelled int)) {
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	return listener.Addr().String(), func(grace time.Duration) int {
		server.AnnounceStop()
		cancelled := server.Stop(shutdown.New(time.Now(), grace))
		must.NoError(t, <-served)
		return cancelled
	}
}

// A handler that fails must not leave its caller without a response, nor with one that looks
// whole.
func TestHandlerThatEndsWithoutAWholeResponse(t *testing.T) {
	begin := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
	}
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		reported []string
		status   int
		whole    bool
	}{
		"responds":                 {func(w http.ResponseWriter, _ *http.Request) { begin(w) }, nil, http.StatusOK, true},
		"returns":                  {func(http.ResponseWriter, *http.Request) {}, []string{"r1 failed: <nil>"}, http.StatusBadGateway, true},
		"panics":                   {func(http.ResponseWriter, *http.Request) { panic(errors.New("a fault")) }, []string{"r1 failed: a fault"}, http.StatusBadGateway, true},
		"panics after it began":    {func(w http.ResponseWriter, _ *http.Request) { begin(w); panic("a fault") }, []string{"r1 failed: a fault"}, http.StatusOK, false},
		"aborts what it has begun": {func(w http.ResponseWriter, _ *http.Request) { begin(w); panic(http.ErrAbortHandler) }, nil, http.StatusOK, false},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+protocol, func(t *testing.T) {
				observer := &recordingObserver{}
				address, stop := serveTest(t, newTestServer(observer, c.handler))
				conn, err := net.Dial("tcp", address)
				must.NoError(t, err)
				_, err = io.WriteString(conn, "GET / "+protocol+"\r\nHost: desk.example\r\n"+headerID+": r1\r\n\r\n")
				must.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if errors.Is(err, syscall.ECONNRESET) { // the reset may overtake the head
					must.False(t, c.whole)
				} else {
					must.NoError(t, err)
					must.Eq(t, c.status, response.StatusCode)
					_, err = io.ReadAll(response.Body)
					must.Eq(t, c.whole, err == nil, must.Sprint(err))
				}
				must.NoError(t, conn.Close())
				must.Zero(t, stop(time.Second))
				must.Eq(t, c.reported, observer.taken())
			})
		}
	}
}
