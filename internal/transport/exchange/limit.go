package exchange

import (
	"errors"
	"net"
)

// errTooLong says that a target sent more bytes than the part of an answer may have.
var errTooLong = errors.New("answer is too long")

// limitedSource reads from a connection up to a number of bytes. The parser of net/http
// keeps a whole header in memory and sets no limit of its own, so without one a target
// that never ends its header would use up the memory of the host.
type limitedSource struct {
	conn      net.Conn
	remaining int // bytes that may still be read
}

// allow replaces the number of bytes that may still be read.
func (s *limitedSource) allow(bytes int) { s.remaining = bytes }

// Read reads from the connection. It returns errTooLong once the limit is reached.
func (s *limitedSource) Read(buffer []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := s.conn.Read(buffer[:min(len(buffer), s.remaining)])
	s.remaining -= n
	return n, err
}
