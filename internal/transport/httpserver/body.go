package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrYielded is the error of reading a body whose connection yields to others.
var ErrYielded = errors.New("the connection yields to others")

// trackBody counts the connection among those that are unfinished until the body has been read.
func (c *callerConn) trackBody(body io.ReadCloser) io.ReadCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = true
	c.server.move(c, &c.server.unfinished)
	return &trackedBody{body, c}
}

// trackedBody is the body of a request. Its reads fail with ErrYielded once the connection has been
// told to end.
type trackedBody struct {
	io.ReadCloser
	conn *callerConn
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.conn.endBody(errors.Is(err, io.EOF)) {
		err = ErrYielded
	}
	return n, err
}

// endBody records that a read of the body has failed, or that it has ended, and reports whether the
// connection had been told to end before.
func (c *callerConn) endBody(whole bool) (yielded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		c.reportBody()
		return true
	}
	if whole && c.inBody {
		c.inBody = false
		c.server.move(c, nil)
	}
	return false
}

// reportBody reports once that the connection yields before its request's body has been read. The
// caller holds mu.
func (c *callerConn) reportBody() {
	if c.inBody && c.evicted != "" {
		c.inBody = false
		c.server.report(c, c.evicted)
	}
}

// limitBody limits the time of a body that the handler does not read: net/http reads the rest of it
// before it answers, or before the next request. Handlers that read a body set a limit of their own.
func (s *Server) limitBody(w http.ResponseWriter, r *http.Request) {
	if s.options.BodyTimeout > 0 && r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.BodyTimeout)) // fails only on a closed connection
	}
}
