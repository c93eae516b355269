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

	"hemlockknot/internal/coordination/keepalive"
	"hemlockknot/internal/coordination/shutdown"
)

// A part of a request has been read when its connection would be due as unused. The rest follows.
func TestConnectionWithAPartOfARequestIsInUse(t *testing.T) {
	const request, part = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n", 20
	server := newTestServer(&recordingObserver{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	partRead := make(chan struct{})
	var once sync.Once
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(hookedListener{Listener: listener, afterRead: func(net.Conn) { once.Do(func() { close(partRead) }) }})
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	_, err = io.WriteString(conn, request)
	must.NoError(t, err)
	_, err = http.ReadResponse(reader, nil)
	must.NoError(t, err)
	_, err = io.WriteString(conn, request[:part])
	must.NoError(t, err)
	<-partRead
	server.mu.Lock()
	server.idleTimeouts = keepalive.New(-time.Hour)
	server.mu.Unlock()
	for _, conn := range server.openConns() {
		conn.check()
	}
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = reader.Peek(1)
	must.ErrorContains(t, err, "timeout", must.Sprint("the connection is still open"))
	must.NoError(t, conn.SetReadDeadline(time.Time{}))
	_, err = io.WriteString(conn, request[part:])
	must.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.Eq(t, http.StatusNoContent, response.StatusCode)
	must.NoError(t, conn.Close())
	server.Stop(shutdown.New(time.Now(), time.Second))
	must.NoError(t, <-served)
}
