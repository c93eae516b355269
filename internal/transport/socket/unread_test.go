package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	. "hemlockknot/internal/transport/socket"
)

func TestUnreadOf(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	sender, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	receiver, err := listener.Accept()
	must.NoError(t, err)
	eventually := func(want Unread) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return UnreadOf(receiver) == want }), wait.Timeout(time.Second), wait.Gap(time.Millisecond)))
	}
	must.Eq(t, Nothing, UnreadOf(receiver))
	must.NoError(t, receiver.SetReadDeadline(time.Unix(1, 0)))
	must.Eq(t, Nothing, UnreadOf(receiver))
	_, err = io.WriteString(sender, "x")
	must.NoError(t, err)
	eventually(Bytes) // also with a read deadline that has passed
	must.NoError(t, receiver.SetReadDeadline(time.Time{}))
	_, err = receiver.Read(make([]byte, 1))
	must.NoError(t, err)
	must.NoError(t, sender.Close())
	eventually(End)
	must.NoError(t, receiver.Close())
	must.Eq(t, Unknown, UnreadOf(receiver))
	must.Eq(t, Unknown, UnreadOf(nil))
}
