package standin

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// limitedListener closes new connections above the server's connection limit.
type limitedListener struct {
	net.Listener

	backend *Backend
}

// Accept returns the next connection within the limit. It closes those above
// it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted, err := queryServer(l.backend, func(s *Server, _ time.Time) bool { return s.Connect() })
		if err == nil && accepted {
			return &serverConn{Conn: conn, backend: l.backend}, nil
		}
		_ = conn.Close() // the client sees the refusal in any case
	}
}

// serverConn is an accepted connection. Its first read is delayed by the
// configured connect time.
type serverConn struct {
	net.Conn

	backend *Backend
	opened  sync.Once
	closed  sync.Once
}

// Read reads from the connection. The first call waits for the connect time.
func (c *serverConn) Read(buffer []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.backend.settings.ConnectTime) })

	return c.Conn.Read(buffer)
}

// Close closes the connection and counts it as closed once.
func (c *serverConn) Close() error {
	c.closed.Do(func() {
		_ = updateServer(c.backend, func(s *Server, _ time.Time) { s.Disconnect() }) // fails only during shutdown
	})

	return eris.Wrap(c.Conn.Close(), "closing a connection")
}

// closedByRemote reports whether the remote end has closed the connection. It
// peeks without consuming data.
func closedByRemote(conn net.Conn) bool {
	if wrapped, ok := conn.(*serverConn); ok {
		conn = wrapped.Conn
	}
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	peek := func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = count == 0 && err == nil || err == syscall.ECONNRESET

		return true
	}

	return raw.Read(peek) != nil || ended
}
