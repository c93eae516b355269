// Package socket sets options of TCP sockets that the standard library does not.
package socket

import (
	"syscall"
	"time"
)

const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h

// LimitUnacknowledged returns a control function for a net.Dialer: its
// connections fail if bytes that were sent stay unacknowledged for longer than
// the limit. A host that is cut off does not reset them.
func LimitUnacknowledged(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
