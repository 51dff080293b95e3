package backendhttp

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleTimeout closes a connection that was not used for as long.
	idleTimeout = 30 * time.Second
)

// observedConn is a network connection that remembers what happened to it.
type observedConn struct {
	net.Conn
	wrote atomic.Bool
	ended atomic.Bool
}

// Write remembers that bytes may have left.
func (c *observedConn) Write(data []byte) (int, error) {
	c.wrote.Store(true)

	return c.Conn.Write(data)
}

// Read remembers that the other side ended the connection or failed.
func (c *observedConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if err != nil {
		c.ended.Store(true)
	}

	return count, err
}

// Connection is one connection to a backend server or an entry host, opened
// when it is first used. One sender uses it at a time.
type Connection struct {
	client fasthttp.HostClient
	conn   atomic.Pointer[observedConn]
}

// NewConnection returns a connection that is not open yet.
func NewConnection(address string) *Connection {
	connection := &Connection{}
	connection.client = fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  1,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
		Dial:                      connection.dial,
	}

	return connection
}

// neverRetry leaves every retry to the decisions.
func neverRetry(*fasthttp.Request, int, error) (bool, bool) {
	return false, false
}

// dial opens the network connection.
func (c *Connection) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	observed := &observedConn{Conn: conn}
	c.conn.Store(observed)

	return observed, nil
}

// reset forgets what an earlier attempt did.
func (c *Connection) reset() {
	if conn := c.conn.Load(); conn != nil {
		conn.wrote.Store(false)
	}
}

// wrote reports whether bytes of the current attempt may have left.
func (c *Connection) wrote() bool {
	conn := c.conn.Load()

	return conn != nil && conn.wrote.Load()
}

// ended reports whether the other side ended the connection.
func (c *Connection) ended() bool {
	conn := c.conn.Load()

	return conn == nil || conn.ended.Load()
}

// abort closes the network connection, which ends the current attempt.
func (c *Connection) abort() {
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Close() // the attempt ends whether or not closing fails
	}
}
