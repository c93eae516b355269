package clientlimits

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"hemlockknot/platform/standin"
)

// Sizes of what clients send.
const (
	// maxHeadSent bounds a head that never ends: eight times the configuration's maxHeaderBytes.
	maxHeadSent = 128 << 10
	// headInsideLimit is just under the configuration's maxHeaderBytes.
	headInsideLimit = 15 << 10
	// maxBodySent bounds the bodies, chunk extensions and requests that a connection sends.
	maxBodySent = 256 << 10
	writeSize   = 1 << 10
	// receiveBuffer is small, so that unread answers stay at the daemon.
	receiveBuffer = 4 << 10
	tricklePace   = 100 * time.Millisecond
	// redials is how often a client connects again after the daemon has closed its connection.
	redials = 3
)

// client sends what one connection of a kind sends. It returns when the connection fails or all is
// sent; the connection then stays open until the crowd ends.
type client func(conn net.Conn, number int)

const (
	requestStart = "GET /reads/1 HTTP/1.1\r\nHost: " + standin.RouteHost + "\r\n"
	// unroutedRequest is answered by the daemon itself.
	unroutedRequest = "GET /nowhere/1 HTTP/1.1\r\nHost: " + standin.RouteHost + "\r\nX-Request-Id: stranger\r\n\r\n"
)

// Heads of requests that both daemons pass on once their bodies are complete.
var (
	chunkedStart = bookingHead("Transfer-Encoding: chunked")
	stalledStart = bookingHead("Content-Length: 4000000")
	// longPromptStart names thousands of parts of a prompt, within the limit of a head.
	longPromptStart = requestHead(standin.CallerRequest{DeadlineMs: "60000", SharedParts: strings.Repeat("a:1,", headInsideLimit/len("a:1,")) + "a:1"}, "Content-Length: 100")
)

// bookingHead returns the head of a request, whose framing is given.
func bookingHead(framing string) string { return requestHead(standin.CallerRequest{}, framing) }

// requestHead returns the head of a booking with the other properties of a call.
func requestHead(call standin.CallerRequest, framing string) string {
	const body = "body"
	call.Method, call.Path, call.ID, call.Body = "POST", "/bookings/1", "stranger", body
	text := standin.RequestText(call, "HTTP/1.1")
	return strings.Replace(strings.TrimSuffix(text, body), "Content-Length: 4", framing+"\r\nAuthorization: Bearer "+standin.WorkspaceKey, 1)
}

// repeat sends a text again and again, up to a number of bytes.
func repeat(conn net.Conn, limit int, text func(i int) string) {
	var block strings.Builder
	for sent, i := 0, 0; sent < limit; sent += block.Len() {
		for block.Reset(); block.Len() < writeSize; i++ {
			block.WriteString(text(i))
		}
		if _, err := io.WriteString(conn, block.String()); err != nil {
			return
		}
	}
}

// always returns the same text for each number.
func always(text string) func(int) string { return func(int) string { return text } }

// sending returns a client that sends a start and then a text again and again.
func sending(start string, limit int, text func(i int) string) client {
	return func(conn net.Conn, _ int) {
		if _, err := io.WriteString(conn, start); err == nil {
			repeat(conn, limit, text)
		}
	}
}

// trickle sends a text a byte now and then, then a header field without end.
func trickle(conn net.Conn, _ int) {
	for i := 0; ; i++ {
		next := "a"
		if i < len(requestStart) {
			next = requestStart[i : i+1]
		}
		if _, err := io.WriteString(conn, next); err != nil {
			return
		}
		time.Sleep(tricklePace)
	}
}

// Kinds of clients outside the limits.
var (
	leaves           = client(func(net.Conn, int) {})
	unfinishedHead   = sending(requestStart+"X-Fill: ", headInsideLimit, always("a"))
	headOverLimit    = sending(requestStart+"X-Fill: ", maxHeadSent, always("a"))
	endlessLine      = sending("GET /", maxHeadSent, always("a"))
	distinctFields   = sending(requestStart, maxHeadSent, func(i int) string { return fmt.Sprintf("a%x:\r\n", i) })
	sameField        = sending(requestStart, maxHeadSent, always("a:\r\n"))
	emptyLinesBefore = sending("", maxBodySent, always("\r\n"))
	emptyLinesAmong  = sending(unroutedRequest, maxBodySent, always("\r\n"))
	chunkExtensions  = sending(chunkedStart+"1;", maxBodySent, always("a"))
	trailers         = sending(chunkedStart+"1\r\na\r\n0\r\n", maxBodySent, func(i int) string { return fmt.Sprintf("a%x:\r\n", i) })
	stalledBody      = sending(stalledStart, 64<<10, always("a"))
	missingBody      = sending(longPromptStart, 0, nil)
	pipelined        = sending("", maxBodySent, always(unroutedRequest))
	halfClosed       = client(func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, requestStart)
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	// peerFrame begins a drpc frame of 4 MB, and sends a part of it.
	peerFrame = sending("\x03\x01\x01\x80\x92\xf4\x01", maxBodySent, always("a"))
	// controlFrame is peerFrame on a control connection of hemlockknotd.
	controlFrame = sending("HKCTRL01\x03\x01\x01\x80\x92\xf4\x01", maxBodySent, always("a"))
)

// runClient holds connections to an address, one at a time, until the context ends.
func runClient(ctx context.Context, address string, number int, send client) {
	for dials := 0; dials <= redials && ctx.Err() == nil; dials++ {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		if err != nil {
			sleep(ctx, tricklePace)
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		send(conn, number)
		awaitEnd(ctx, conn)
		stop()
		_ = conn.Close()
	}
	<-ctx.Done()
}

// awaitEnd waits until the daemon has reset the connection, or the context ends. It reads nothing.
func awaitEnd(ctx context.Context, conn net.Conn) {
	for ctx.Err() == nil && !isReset(conn) {
		sleep(ctx, tricklePace)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
