package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Delivery is how far the bytes that were written to a connection have come.
type Delivery int

// Kinds of delivery.
const (
	Delivered Delivery = iota // the other side's kernel has received all, or this is not known
	OnTheWay                  // some are not acknowledged yet
	Lost                      // the connection was closed before all were acknowledged
)

// tcpClose is the state TCP_CLOSE of the kernel.
const tcpClose = 7

// DeliveryOf returns how far the bytes that were written to a connection have come. A connection that is
// not one of TCP, or of which the kernel tells nothing, counts as Delivered.
func DeliveryOf(conn net.Conn) Delivery {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return Delivered
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return Delivered
	}
	delivery := Delivered
	_ = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State == tcpClose:
			delivery = Lost
		case info.Unacked > 0 || info.Notsent_bytes > 0:
			delivery = OnTheWay
		}
	})
	return delivery
}

// AwaitReset waits until a connection whose sending half the other side has ended is reset, and reports whether it
// was before its read deadline. It does not wait if the kernel tells nothing.
func AwaitReset(conn net.Conn) (reset bool) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	_ = control.Read(func(fd uintptr) (done bool) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
		return reset || err != nil
	})
	return reset
}
