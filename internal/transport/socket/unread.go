package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread is what a connection has for its reader.
type Unread int

// States of a connection's receive buffer.
const (
	Unknown Unread = iota // the connection is closed, or no socket
	Nothing               // open, without unread bytes
	Bytes                 // unread bytes
	End                   // the peer has closed its sending half, or has reset the connection
)

// UnreadOf returns what a connection has for its reader, without reading it. Read deadlines do
// not matter.
func UnreadOf(conn net.Conn) Unread {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Unknown
	}
	unread := Unknown
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			unread = Bytes
		case recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK || recvErr == syscall.EINTR:
			unread = Nothing
		default:
			unread = End
		}
	})
	if err != nil {
		return Unknown
	}
	return unread
}

// HasPending reports whether a connection waits to be accepted by a listener. Its deadline does
// not matter.
func HasPending(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(polled, 0)
		pending = pollErr == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
