package tcp_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// servedPair returns a connection of a set with room for one, and its caller's side.
func servedPair(t *testing.T, set *tcp.ConnectionSet) (*tcp.ServedConn, net.Conn) {
	t.Helper()
	near, far := lingeringPair(t)
	served, ok := set.Admit(near)
	assert.Assert(t, ok)

	return served, far
}

// lingeringPair returns both sides of a connection.
func lingeringPair(t *testing.T) (*tcp.LingeringConn, net.Conn) {
	t.Helper()
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	far, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	near, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = near.Close() })

	return &tcp.LingeringConn{TCPConn: near.(*net.TCPConn)}, far
}

// newSet returns a set with room for one connection, whose requests are divided.
func newSet() *tcp.ConnectionSet {
	timeouts := func() tcp.ConnectionTimeouts { return tcp.ConnectionTimeouts{Header: time.Second, Idle: time.Second} }
	set := tcp.NewConnectionSet(1, timeouts, tcp.IgnoreConnections(), nil)
	set.DivideRequests = true

	return set
}

// Guards against a connection that is closed for a new one although a request was read
// from it that the server has not received.
func TestAConnectionWithHeldBytesIsNotIdle(t *testing.T) {
	set := newSet()
	served, far := servedPair(t, set)
	_, err := far.Write([]byte(plainGet + plainGet))
	assert.NilError(t, err)
	buffer := make([]byte, 1000)
	for i := range 2 {
		count, err := served.Read(buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer[:count]), plainGet)
		served.Rest()
		next, _ := lingeringPair(t)
		_, admitted := set.Admit(next)
		assert.Equal(t, admitted, i == 1)
	}
}

// Guards against a wait for bytes that consumes them, or that outlasts the request.
func TestAwait(t *testing.T) {
	tests := map[string]struct {
		act   func(t *testing.T, served *tcp.ServedConn, far net.Conn)
		state tcp.State
	}{
		"bytes": {state: tcp.Readable, act: func(t *testing.T, _ *tcp.ServedConn, far net.Conn) {
			_, err := far.Write([]byte("GET"))
			assert.NilError(t, err)
		}},
		"end":       {state: tcp.Closed, act: func(t *testing.T, _ *tcp.ServedConn, far net.Conn) { assert.NilError(t, far.Close()) }},
		"cancelled": {state: tcp.Idle, act: func(_ *testing.T, served *tcp.ServedConn, _ net.Conn) { served.EndAwait() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			served, far := servedPair(t, newSet())
			served.ResetAwait()
			states := make(chan tcp.State, 1)
			go func() { states <- served.Await() }()
			time.Sleep(20 * time.Millisecond)
			assert.Equal(t, len(states), 0)
			test.act(t, served, far)
			select {
			case state := <-states:
				assert.Equal(t, state, test.state)
			case <-time.After(time.Second):
				t.Fatal("the wait did not end")
			}
			served.ResetAwait()
			if test.state == tcp.Readable {
				assert.Assert(t, served.ReadAhead(2))
				assert.Assert(t, served.ReadAhead(1000))
				assert.Equal(t, served.Requests.Held(), 3)
			}
		})
	}
}
