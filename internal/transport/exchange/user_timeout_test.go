package exchange

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// soundSilence is how long a sound target may be silent, by the users' pages ("a second or
// so").
const soundSilence = 1500 * time.Millisecond

// The timeout for unacknowledged bytes was 1 s, and it also decides when keep-alive probes give
// up. The test shows the option only: the kernel of a stand-in always acknowledges.
func TestConnectionOutlivesTheSilenceOfASoundTarget(t *testing.T) {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := NewPool().Dial(t.Context(), listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	milliseconds := 0
	must.NoError(t, raw.Control(func(fd uintptr) {
		milliseconds, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	must.NoError(t, err)
	must.Greater(t, soundSilence, time.Duration(milliseconds)*time.Millisecond)
}
