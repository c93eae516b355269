package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/internal/coordination/shutdown"
	"hemlockknot/internal/transport/socket"
)

// heldListener accepts nothing until it is released.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Requests that have come on connections that wait to be accepted when a stop closes the
// listener are answered.
func TestStopAcceptsConnectionsThatWait(t *testing.T) {
	const callers = 16
	server := newTestServer(&recordingObserver{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	held := heldListener{listener.(*net.TCPListener), make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(held) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return server.listener != nil
	}), wait.Timeout(10*time.Second)))
	conns := make([]net.Conn, callers)
	for i := range conns {
		conns[i], err = net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(conns[i], "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
		must.NoError(t, err)
	}
	must.True(t, socket.HasPending(listener))
	stopped := make(chan int, 1)
	go func() { stopped <- server.Stop(shutdown.New(time.Now(), 8*time.Second)) }()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(server.listener.draining.Load), wait.Timeout(10*time.Second)))
	close(held.released)
	var answered sync.WaitGroup
	for _, conn := range conns {
		answered.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.StatusCode != http.StatusNoContent {
				t.Errorf("response %v, error %v", response, err)
			}
			_ = conn.Close()
		})
	}
	answered.Wait()
	must.Zero(t, <-stopped)
	must.NoError(t, <-served)
	_, err = net.Dial("tcp", listener.Addr().String())
	must.Error(t, err, must.Sprint("the listener is closed"))
}
