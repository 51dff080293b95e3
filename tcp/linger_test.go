package tcp_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// Guards against connections that the kernel accepts while the listener closes, and
// resets.
func TestADrainedListenerAcceptsEveryConnection(t *testing.T) {
	const listeners, callers = 24, 16
	var established, served atomic.Int64
	var rounds sync.WaitGroup
	for range listeners {
		rounds.Go(func() {
			open, err := tcp.Listen(t.Context(), "127.0.0.1:0")
			assert.Check(t, err)
			draining := tcp.NewLingeringListener(open.(*net.TCPListener))
			var parts sync.WaitGroup
			parts.Go(func() {
				for {
					conn, err := draining.Accept()
					if err != nil {
						return
					}
					parts.Go(func() {
						defer conn.Close()
						_, _ = io.Copy(conn, io.LimitReader(conn, 1)) // the caller counts what it gets
					})
				}
			})
			for range callers {
				parts.Go(func() {
					for callOnce(open.Addr().String(), &established, &served) {
						time.Sleep(time.Millisecond)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			assert.Check(t, draining.Drain())
			parts.Wait()
		})
	}
	rounds.Wait()
	t.Logf("%d connections", established.Load())
	assert.Assert(t, established.Load() > listeners*callers)
	assert.Equal(t, served.Load(), established.Load(), "connections were reset in the queue of the listener")
}

// callOnce connects and waits for the echo of a byte. It returns false when it cannot
// connect.
func callOnce(address string, established, served *atomic.Int64) bool {
	conn, err := net.DialTimeout("tcp4", address, 5*time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	established.Add(1)
	echo := make([]byte, 1)
	if _, err := conn.Write([]byte("x")); err == nil {
		if _, err := io.ReadFull(conn, echo); err == nil {
			served.Add(1)
		}
	}

	return true
}

// Guards against a drain that fails, and a stop with it, because Accept saw that the
// listener drains, found its queue empty and closed it before Drain went on.
func TestDrainOfAListenerThatAcceptHasClosed(t *testing.T) {
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	draining := tcp.NewLingeringListener(listener.(*net.TCPListener))
	assert.NilError(t, draining.Drain())
	_, err = draining.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.NilError(t, draining.Drain())
}
