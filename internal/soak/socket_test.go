package soak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// diagSocketID is inet_diag_sockid of linux/inet_diag.h, for IPv4.
type diagSocketID struct {
	LocalPort, RemotePort [2]byte
	Local, Remote         [16]byte
	Interface             uint32
	Cookie                [2]uint32
}

// diagRequest is a netlink message with inet_diag_req_v2.
type diagRequest struct {
	Header             unix.NlMsghdr
	Family, Protocol   uint8
	Extensions, Unused uint8
	States             uint32
	Socket             diagSocketID
}

// diagReply is a netlink message with inet_diag_msg.
type diagReply struct {
	Header                         unix.NlMsghdr
	Family, State, Timer, Retries  uint8
	Socket                         diagSocketID
	Expires, ReadQueue, WriteQueue uint32
	UID, Inode                     uint32
}

// socketInode returns the inode of the IPv4 socket between two addresses. It asks for just this
// socket: /proc/net/tcp takes long to read when many connections are in TIME_WAIT.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	const noCookie, allStates = ^uint32(0), ^uint32(0)
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer func() { _ = unix.Close(fd) }()
	request := diagRequest{
		Header: unix.NlMsghdr{Type: unix.SOCK_DIAG_BY_FAMILY, Flags: unix.NLM_F_REQUEST},
		Family: unix.AF_INET, Protocol: unix.IPPROTO_TCP, States: allStates,
		Socket: diagSocketID{Cookie: [2]uint32{noCookie, noCookie}},
	}
	request.Header.Len = uint32(binary.Size(request))
	binary.BigEndian.PutUint16(request.Socket.LocalPort[:], uint16(local.Port))
	binary.BigEndian.PutUint16(request.Socket.RemotePort[:], uint16(remote.Port))
	copy(request.Socket.Local[:], local.IP.To4())
	copy(request.Socket.Remote[:], remote.IP.To4())
	var message bytes.Buffer
	if err := binary.Write(&message, binary.NativeEndian, request); err != nil {
		return 0, err
	}
	if err := unix.Sendto(fd, message.Bytes(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	buffer := make([]byte, 4<<10)
	n, _, err := unix.Recvfrom(fd, buffer, 0)
	if err != nil {
		return 0, err
	}
	var reply diagReply
	if err := binary.Read(bytes.NewReader(buffer[:n]), binary.NativeEndian, &reply); err != nil {
		return 0, err
	}
	if reply.Header.Type != unix.SOCK_DIAG_BY_FAMILY || reply.Inode == 0 ||
		reply.Socket.RemotePort != request.Socket.RemotePort { // else it is a listener
		return 0, fmt.Errorf("no socket between %s and %s", local, remote)
	}
	return reply.Inode, nil
}

// TestSocketInode guards against links that find no daemon behind their connections.
func TestSocketInode(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	local, remote := conn.LocalAddr().(*net.TCPAddr), conn.RemoteAddr().(*net.TCPAddr)
	inode, err := socketInode(local, remote)
	must.NoError(t, err)
	must.True(t, holdsSocket(unix.Getpid(), inode))
	_, err = socketInode(remote, &net.TCPAddr{IP: remote.IP, Port: remote.Port})
	must.Error(t, err)
	must.NoError(t, conn.Close())
}
