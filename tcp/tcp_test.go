package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabdrum/baobabdrum/tcp"
)

func TestPeek(t *testing.T) {
	tests := map[string]struct {
		act  func(t *testing.T, near, far *net.TCPConn)
		want tcp.State
	}{
		"open, nothing to read": {act: func(*testing.T, *net.TCPConn, *net.TCPConn) {}, want: tcp.Idle},
		"open, bytes to read": {act: func(t *testing.T, _, far *net.TCPConn) {
			_, err := far.Write([]byte("x"))
			assert.NilError(t, err)
		}, want: tcp.Readable},
		"closed by the remote side": {act: func(t *testing.T, _, far *net.TCPConn) { assert.NilError(t, far.Close()) }, want: tcp.Closed},
		"half closed by the remote side": {act: func(t *testing.T, _, far *net.TCPConn) {
			assert.NilError(t, far.CloseWrite())
		}, want: tcp.Closed},
		"reset by the remote side": {act: func(t *testing.T, _, far *net.TCPConn) {
			assert.NilError(t, far.SetLinger(0))
			assert.NilError(t, far.Close())
		}, want: tcp.Closed},
		"closed locally": {act: func(t *testing.T, near, _ *net.TCPConn) { assert.NilError(t, near.Close()) }, want: tcp.Closed},
		"read deadline passed": {act: func(t *testing.T, near, _ *net.TCPConn) {
			assert.NilError(t, near.SetReadDeadline(time.Now().Add(-time.Second)))
		}, want: tcp.Closed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			test.act(t, near, far)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if state := tcp.Peek(near); state != test.want {
					return poll.Continue("state %d, want %d", state, test.want)
				}

				return poll.Success()
			}, poll.WithTimeout(time.Second), poll.WithDelay(time.Millisecond))
		})
	}
}

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })

	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a read whose io.EOF is taken for the end of a stream that was reset, and
// against an end in order that is taken for a reset.
func TestTookSocketError(t *testing.T) {
	tests := map[string]struct {
		end  func(t *testing.T, near, far *net.TCPConn)
		want bool
	}{
		"reset": {want: true, end: func(t *testing.T, _, far *net.TCPConn) {
			assert.NilError(t, far.SetLinger(0))
			assert.NilError(t, far.Close())
		}},
		"closed with unread bytes": {want: true, end: func(t *testing.T, _, far *net.TCPConn) { assert.NilError(t, far.Close()) }},
		"ended, then reset": {end: func(t *testing.T, _, far *net.TCPConn) {
			assert.NilError(t, far.CloseWrite())
			time.Sleep(10 * time.Millisecond) // the end arrives before the reset
			assert.NilError(t, far.Close())
		}},
		"closed locally": {end: func(t *testing.T, near, _ *net.TCPConn) { assert.NilError(t, near.Close()) }},
		"write deadline": {end: func(t *testing.T, near, _ *net.TCPConn) {
			assert.NilError(t, near.SetWriteDeadline(time.Now().Add(-time.Second)))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			_, err := near.Write([]byte("unread"))
			assert.NilError(t, err)
			test.end(t, near, far)
			for err == nil {
				_, err = near.Write(make([]byte, 1<<20))
			}
			assert.Equal(t, tcp.TookSocketError(err), test.want, "%v", err)
			if test.want {
				_, err = near.Read(make([]byte, 1))
				assert.Equal(t, err, io.EOF, "the error is returned once")
			}
		})
	}
}
