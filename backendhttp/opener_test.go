package backendhttp_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// newOpener starts an opener whose limit is one connection for each address that
// is not a target.
func newOpener(t *testing.T) *backendhttp.Opener {
	t.Helper()
	opener := &backendhttp.Opener{
		Targets:     ring.New[[]dispatch.Target]("opener", 1),
		Connections: backendhttp.NewConnections(1),
	}
	duties := group.New(t.Context())
	duties.Go("opener", opener.Run)
	t.Cleanup(func() {
		assert.Check(t, duties.Wait())
		opener.Connections.Close()
	})

	return opener
}

// waitOpen waits until the given number of connections are open or in use.
func waitOpen(t *testing.T, connections *backendhttp.Connections, address string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open := connections.Open(address); open != want {
			return poll.Continue("%d connections are open, want %d", open, want)
		}

		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// acquirable returns the number of connections that can be acquired at the same
// time.
func acquirable(t *testing.T, connections *backendhttp.Connections, address string) int {
	t.Helper()
	for count := 0; ; count++ {
		connection, err := connections.Acquire(address)
		if err != nil {
			assert.ErrorType(t, err, &backendhttp.LimitError{})

			return count
		}
		defer connections.Release(connection)
	}
}

// serveAll responds to every request on a connection with the request's path.
func serveAll(conn *net.TCPConn, requests *bufio.Reader) {
	for path := receive(requests); path != ""; path = receive(requests) {
		writeRaw(conn, sized(path))
	}
}

func TestOpenerOpensConnectionsAheadOfNeed(t *testing.T) {
	tests := map[string]struct {
		target dispatch.Target
		open   int
	}{
		"fewer than the limit":     {target: dispatch.Target{Connections: 17, Preconnect: 4}, open: 4},
		"as many as the limit":     {target: dispatch.Target{Connections: 2, Preconnect: 2}, open: 2},
		"none to a leaving server": {target: dispatch.Target{Connections: 17}, open: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := listen(t, serveAll, serveAll, serveAll, serveAll)
			opener := newOpener(t)
			test.target.Address = address
			assert.NilError(t, opener.Targets.Offer([]dispatch.Target{test.target}))
			waitOpen(t, opener.Connections, address, test.open)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if count := acquirable(t, opener.Connections, address); count != test.target.Connections {
					return poll.Continue("%d connections, want %d", count, test.target.Connections)
				}

				return poll.Success()
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
		})
	}
}

func TestOpenerReplacesClosedConnections(t *testing.T) {
	address := listen(t, func(conn *net.TCPConn, _ *bufio.Reader) { closeConn(conn) }, serveAll)
	opener := newOpener(t)
	assert.NilError(t, opener.Targets.Offer([]dispatch.Target{{Address: address, Connections: 1, Preconnect: 1}}))
	waitOpen(t, opener.Connections, address, 1)
	time.Sleep(600 * time.Millisecond) // two checks
	waitOpen(t, opener.Connections, address, 1)
	assert.NilError(t, opener.Targets.Offer(nil))
	waitOpen(t, opener.Connections, address, 0)
}

func TestDeclareKeepsConnectionsInUse(t *testing.T) {
	s := newSender(t, listen(t, respondAfter(4*settleTime), serveAll))
	s.connections.Declare(s.address, 1)
	s.start(t, http.MethodGet, "/one", time.Second)
	time.Sleep(settleTime)
	s.connections.Declare(s.address, 2)
	assert.Equal(t, s.wait(t).body, "/one")
	s.start(t, http.MethodGet, "/two", time.Second)
	assert.Equal(t, s.wait(t).body, "/two")
	assert.Equal(t, s.connections.Open(s.address), 1)
}
