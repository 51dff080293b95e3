package peerrpc

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// maxClientConnections limits the connections that a client keeps open.
const maxClientConnections = 64

// countingConn counts the bytes that it receives. The reader of net/rpc and the duty that
// owns the client use it at once.
type countingConn struct {
	net.Conn

	received atomic.Int64
}

// Read receives bytes.
func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(int64(count))

	return count, err //nolint:wrapcheck // net/rpc compares it with io.EOF
}

// connection is an open connection to another host.
type connection struct {
	conn     *countingConn
	rpc      *rpc.Client
	lastUsed time.Time
}

// Client calls other hosts and keeps connections open between calls. It is not
// safe for concurrent use; one duty owns it.
type Client struct {
	// Token is the shared secret, sent when a connection opens.
	Token string
	// Timeout limits each call, with the time for connecting.
	Timeout time.Duration
	// Received is the number of bytes that were received in the last call.
	Received int

	connections map[string]*connection
}

// NewClient returns a client without connections.
func NewClient(token string, timeout time.Duration) *Client {
	return &Client{Token: token, Timeout: timeout, connections: map[string]*connection{}}
}

// Close closes all connections.
func (c *Client) Close() {
	for address := range c.connections {
		c.drop(address)
	}
}

// Call sends a request to a host and reads the response into out. A failed call
// closes the connection. Requests between hosts may be repeated: if a kept connection
// turns out to be closed, the request is sent once more on a new one.
func Call[In, Out any](ctx context.Context, client *Client, address, method string, in *In, out *Out) error {
	deadline := time.Now().Add(client.Timeout)
	client.Received = 0
	_, kept := client.connections[address]
	err := callOnce(ctx, client, address, method, in, out, deadline)
	if kept && isClosed(err) {
		return callOnce(ctx, client, address, method, in, out, deadline)
	}

	return err
}

// isClosed reports whether a call failed because the other host had closed the
// connection.
func isClosed(err error) bool {
	return eris.Is(err, rpc.ErrShutdown) || eris.Is(err, io.EOF) || eris.Is(err, io.ErrUnexpectedEOF) ||
		eris.Is(err, syscall.ECONNRESET) || eris.Is(err, syscall.EPIPE)
}

// callOnce sends a request on one connection.
func callOnce[In, Out any](ctx context.Context, client *Client, address, method string, in *In, out *Out, deadline time.Time) error {
	open, err := client.connect(ctx, address)
	if err != nil {
		return err
	}
	if err := open.conn.SetDeadline(deadline); err != nil {
		client.drop(address)

		return eris.Wrapf(err, "setting the deadline of a call to peer %s", address)
	}
	defer context.AfterFunc(ctx, func() { _ = open.conn.Close() })() // ends the call
	before := open.conn.received.Load()
	defer func() { client.Received += int(open.conn.received.Load() - before) }()
	if err := open.rpc.Call(serviceName+"."+method, in, out); err != nil {
		client.drop(address)

		return eris.Wrapf(err, "calling method %s of peer %s", method, address)
	}

	return eris.Wrapf(open.conn.SetDeadline(time.Time{}), "clearing the deadline of the connection to peer %s", address)
}

// connect returns the open connection to a host or opens one. At the limit it
// closes the least recently used connection.
func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	if open, ok := c.connections[address]; ok {
		open.lastUsed = time.Now()

		return open, nil
	}
	if len(c.connections) >= maxClientConnections {
		c.drop(c.oldest())
	}
	dialer := net.Dialer{Timeout: c.Timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "connecting to peer %s", address)
	}
	counting := &countingConn{Conn: conn}
	open := &connection{conn: counting, rpc: rpc.NewClientWithCodec(newCodec(counting, c.Token, maxAnswerBytes)), lastUsed: time.Now()}
	c.connections[address] = open

	return open, nil
}

// oldest returns the address of the least recently used connection.
func (c *Client) oldest() string {
	var (
		oldest string
		used   = time.Now()
	)
	for address, open := range c.connections {
		if oldest == "" || open.lastUsed.Before(used) {
			oldest, used = address, open.lastUsed
		}
	}

	return oldest
}

// drop closes the connection to a host.
func (c *Client) drop(address string) {
	if open, ok := c.connections[address]; ok {
		_ = open.rpc.Close() // the connection is discarded in any case
		delete(c.connections, address)
	}
}
