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

	"github.com/baobabdrum/baobabdrum/tcp"
)

// maxClientConnections limits the connections that a client keeps open.
const maxClientConnections = 64

// callConn counts the bytes that it receives, and moves the deadline of a call as they
// arrive. The reader of net/rpc and the duty that owns the client use it at once.
type callConn struct {
	net.Conn

	received atomic.Int64
	// progress bounds the call in progress, or is nil. Between begin and end of a call only
	// the reader uses what it points to.
	progress atomic.Pointer[tcp.Progress]
}

// Read receives bytes.
func (c *callConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.received.Add(int64(count))
	if progress := c.progress.Load(); progress != nil && count > 0 {
		_ = c.SetReadDeadline(progress.Received(time.Now(), count)) // fails on a closed connection, as the next Read does
	}

	return count, err //nolint:wrapcheck // net/rpc compares it with io.EOF
}

// begin bounds the call that follows.
func (c *callConn) begin(progress *tcp.Progress) error {
	if err := c.SetDeadline(progress.Deadline); err != nil {
		return eris.Wrap(err, "setting the deadline of a call")
	}
	c.progress.Store(progress)

	return nil
}

// end removes the bound of a call whose response has been read.
func (c *callConn) end() error {
	c.progress.Store(nil)

	return eris.Wrap(c.SetDeadline(time.Time{}), "clearing the deadline of a connection")
}

// connection is an open connection to another host.
type connection struct {
	conn     *callConn
	rpc      *rpc.Client
	lastUsed time.Time
}

// Client calls other hosts and keeps connections open between calls. It is not
// safe for concurrent use; one duty owns it.
type Client struct {
	// Token is the shared secret, sent when a connection opens.
	Token string
	// Timeout limits the time until the first byte of each response, with that for
	// connecting, and the time without any byte after that. A response that proceeds may
	// take longer, see tcp.Progress.
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
	startedAt := time.Now()
	client.Received = 0
	_, kept := client.connections[address]
	err := callOnce(ctx, client, address, method, in, out, tcp.NewProgress(startedAt, client.Timeout))
	if kept && isClosed(err) {
		return callOnce(ctx, client, address, method, in, out, tcp.NewProgress(startedAt, client.Timeout))
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
func callOnce[In, Out any](ctx context.Context, client *Client, address, method string, in *In, out *Out, progress *tcp.Progress) error {
	open, err := client.connect(ctx, address)
	if err != nil {
		return err
	}
	if err := open.conn.begin(progress); err != nil {
		client.drop(address)

		return eris.Wrapf(err, "calling peer %s", address)
	}
	defer context.AfterFunc(ctx, func() { _ = open.conn.Close() })() // ends the call
	before := open.conn.received.Load()
	defer func() { client.Received += int(open.conn.received.Load() - before) }()
	if err := open.rpc.Call(serviceName+"."+method, in, out); err != nil {
		client.drop(address)

		return eris.Wrapf(err, "calling method %s of peer %s", method, address)
	}

	return eris.Wrapf(open.conn.end(), "calling peer %s", address)
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
	made := &callConn{Conn: conn}
	open := &connection{conn: made, rpc: rpc.NewClientWithCodec(newCodec(made, c.Token, maxAnswerBytes)), lastUsed: time.Now()}
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
