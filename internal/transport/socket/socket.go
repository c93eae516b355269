// Package socket sets TCP socket options that the standard library does not offer.
package socket

import (
	"syscall"
	"time"
)

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h

// UserTimeoutControl returns a control function for a net.Dialer that sets
// TCP_USER_TIMEOUT: a connection fails if sent bytes stay unacknowledged for
// longer than the timeout. A host that is cut off from the network sends no reset;
// without the option, the connection hangs until TCP stops retransmitting.
func UserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
