package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A request that asks about the server as a whole gets no success of the server's own.
func TestOptionsOfTheServerGoToTheHandler(t *testing.T) {
	address, stop := serveTest(t, newTestServer(&recordingObserver{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }))
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.NoError(t, conn.Close())
	stop(time.Second)
	must.Eq(t, http.StatusNotFound, response.StatusCode)
}

// A handler that panics after it has set the headers of its response, but before the response has
// begun: the server's own response has none of them.
func TestHandlerThatPanicsWithHeadersSet(t *testing.T) {
	address, stop := serveTest(t, newTestServer(&recordingObserver{}, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Test-Stamp", "of the target")
		w.Header().Set("Content-Length", "7")
		panic("a fault")
	}))
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, conn.Close())
	stop(time.Second)
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(body), "may have run"), must.Sprint(string(body)))
	must.Eq(t, "", response.Header.Get("Test-Stamp"))
}
