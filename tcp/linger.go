package tcp

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lingerTime is the longest time for which a lingering connection reads what the
	// remote side still sends.
	lingerTime = time.Second
	// lingerBufferSize is the size in bytes of the buffer for it.
	lingerBufferSize = 16 << 10
	// maxLingerBytes is the largest number of bytes that it reads.
	maxLingerBytes = 4 << 20
)

// LingeringConn is a connection that can be closed without loss of what was just
// written. Closing a connection with unread bytes resets it, and the remote side may
// then lose an answer that it has not read.
type LingeringConn struct {
	*net.TCPConn
	lingers atomic.Bool
}

// Linger makes Close wait until the remote side has read the answer and closed the
// connection, for a bounded time and number of bytes.
func (c *LingeringConn) Linger() {
	c.lingers.Store(true)
}

// Close closes the connection.
func (c *LingeringConn) Close() error {
	if c.lingers.Swap(false) && c.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		buffer := make([]byte, lingerBufferSize)
		for read := 0; read < maxLingerBytes; {
			count, err := c.Read(buffer)
			if err != nil {
				break
			}
			read += count
		}
	}

	return c.TCPConn.Close()
}

const (
	// drainPoll is how long a draining listener waits for another connection.
	drainPoll = 2 * time.Millisecond
	// drainPolls is the number of such waits in a row, without a connection, after
	// which the queue counts as empty. Handshakes in progress complete meanwhile.
	drainPolls = 10
	// maxDrainTime bounds the draining of a listener that callers keep connecting to.
	maxDrainTime = time.Second
)

// LingeringListener accepts connections as LingeringConns. It can be closed without
// loss of the connections that the kernel has already accepted.
type LingeringListener struct {
	*net.TCPListener

	drainUntil atomic.Int64
}

// NewLingeringListener returns a listener that takes over another one.
func NewLingeringListener(listener *net.TCPListener) *LingeringListener {
	return &LingeringListener{TCPListener: listener}
}

// Drain makes Accept return the connections in the queue of the kernel and then
// close the listener. Closing it with connections in the queue would reset them,
// although their callers may have sent a request. The kernel drops new connections
// from now on, or queues fewer if it can't.
func (l *LingeringListener) Drain() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	l.drainUntil.Store(time.Now().Add(maxDrainTime).UnixNano())
	if dropNewConnections(raw) != nil {
		_ = raw.Control(func(descriptor uintptr) { _ = syscall.Listen(int(descriptor), 0) }) // a longer queue only takes longer to drain
	}

	if err := l.SetDeadline(time.Now()); !errors.Is(err, net.ErrClosed) {
		return err
	}

	return nil // Accept has found the queue empty and closed the listener
}

// Accept waits for the next connection. A draining listener returns net.ErrClosed
// when its queue is empty, or after maxDrainTime.
func (l *LingeringListener) Accept() (net.Conn, error) {
	for empty := 0; ; empty++ {
		draining := l.drainUntil.Load()
		if draining > 0 {
			_ = l.SetDeadline(time.Now().Add(drainPoll)) // fails only on a closed listener
		}
		conn, err := l.AcceptTCP()
		waited := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil:
			return &LingeringConn{TCPConn: conn}, nil
		case draining > 0 && (waited && empty >= drainPolls || time.Now().UnixNano() > draining):
			_ = l.Close() // nothing is accepted any more

			return nil, net.ErrClosed
		case !waited:
			return nil, err
		}
	}
}
