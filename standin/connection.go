package standin

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// limitedListener closes connections above the server's limit.
type limitedListener struct {
	net.Listener

	backend *Backend
}

// Accept returns the next connection within the limit.
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
		_ = conn.Close() // the other side sees the refusal in any case
	}
}

// serverConn is an accepted connection. Opening it takes the configured time.
type serverConn struct {
	net.Conn

	backend *Backend
	opened  sync.Once
	closed  sync.Once
}

// Read waits until the connection is open.
func (c *serverConn) Read(buffer []byte) (int, error) {
	c.opened.Do(func() { time.Sleep(c.backend.settings.ConnectTime) })

	return c.Conn.Read(buffer)
}

// Close counts the connection as closed.
func (c *serverConn) Close() error {
	c.closed.Do(func() {
		_ = updateServer(c.backend, func(s *Server, _ time.Time) { s.Disconnect() }) // it fails only while the process stops
	})

	return eris.Wrap(c.Conn.Close(), "closing a connection")
}

// closedByRemote reports whether the other side has closed the connection. It reads
// nothing from it.
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
