package backendhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxHeadSize is the longest head of an answer in bytes.
	maxHeadSize = 16 << 10
	// writeBufferSize is the size in bytes of the buffer for requests.
	writeBufferSize = 4 << 10
	// maxAnswers bounds the answers that are read for one request.
	maxAnswers = 4
)

// UnframedError reports an answer whose end cannot be told from a cut, because
// it states neither a length nor chunks, or that switches the protocol.
type UnframedError struct {
	// Status is the answer's HTTP status.
	Status int
}

// Error says what is missing.
func (*UnframedError) Error() string {
	return "the answer states neither its length nor chunks"
}

// ForeignAnswerError reports a connection on which only answers to other
// requests arrive.
type ForeignAnswerError struct {
	// Answers is the number of answers that were read.
	Answers int
}

// Error says how many answers were read.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("%d answers to other requests arrived", e.Answers)
}

// Connection is one connection to a backend server or an entry host. One duty
// uses it at a time. It counts the bytes that left, so that the sender knows
// whether a request may have run.
type Connection struct {
	// Address is the ip:port.
	Address string

	conn        net.Conn
	peeker      *tcp.Peeker
	reader      *bufio.Reader
	writer      *bufio.Writer
	sent        int
	usableUntil time.Time
	pool        *addressPool
}

// NewConnection returns a connection that is not open yet.
func NewConnection(address string) *Connection {
	return &Connection{Address: address}
}

// KeepUntil forbids the use of the open connection from a time on, because the
// other side is going to close it.
func (c *Connection) KeepUntil(until time.Time) {
	c.usableUntil = until
}

// Open makes the connection ready for a request and returns when it is open. A
// connection that the other side closed, or on which bytes wait that belong to
// no request, is replaced. The deadline then holds for the next exchange. After
// an error the connection is closed.
func (c *Connection) Open(ctx context.Context, deadline time.Time) error {
	c.sent = 0
	if c.conn != nil {
		expired := !c.usableUntil.IsZero() && time.Now().After(c.usableUntil)
		if !expired && c.conn.SetDeadline(deadline) == nil && c.usable() {
			return nil
		}
		c.Close()
	}
	c.usableUntil = time.Time{}
	dialer := net.Dialer{Timeout: dialTimeout, Deadline: deadline, Control: tcp.DetectLoss}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return eris.Wrapf(err, "connecting to %s", c.Address)
	}
	c.conn, c.peeker = conn, tcp.NewPeeker(conn)
	if c.reader == nil {
		c.reader, c.writer = bufio.NewReaderSize(conn, maxHeadSize), bufio.NewWriterSize(c, writeBufferSize)
	}
	c.reader.Reset(conn)
	c.writer.Reset(c)

	if err := conn.SetDeadline(deadline); err != nil {
		c.Close()

		return eris.Wrapf(err, "connecting to %s", c.Address)
	}

	return nil
}

// usable reports whether a request may be sent on the open connection.
func (c *Connection) usable() bool {
	return c.reader.Buffered() == 0 && c.peeker.Peek() == tcp.Idle
}

// Check closes the connection if it can't be used any more.
func (c *Connection) Check() {
	if c.conn != nil && (c.conn.SetDeadline(time.Time{}) != nil || !c.usable()) {
		c.Close()
	}
}

// Write sends bytes and counts those that left.
func (c *Connection) Write(data []byte) (int, error) {
	count, err := c.conn.Write(data)
	c.sent += count

	return count, err //nolint:wrapcheck // the sender wraps it with the address
}

// Exchange sends a request and reads the head of the answer. Unless the answer
// has no body, it follows as a stream, which must be read to its end before the
// next exchange. When the other side stopped taking the request, its answer
// counts only if it says that the call was shed.
func (c *Connection) Exchange(request *fasthttp.Request, response *fasthttp.Response) error {
	response.StreamBody = true
	response.SkipBody = request.Header.IsHead()
	if err := c.send(request); err != nil {
		if c.sent == 0 || response.ReadLimitBody(c.reader, 0) != nil || len(response.Header.Peek(HeaderShed)) == 0 {
			return err
		}
		response.SetConnectionClose()

		return nil
	}
	if err := response.ReadLimitBody(c.reader, 0); err != nil {
		return err
	}
	unframed := response.Header.ContentLength() < -1 && response.BodyStream() != nil
	if unframed || response.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return &UnframedError{Status: response.StatusCode()}
	}

	return nil
}

// ExchangeWhole sends a request and reads whole answers of up to limit bytes
// until one is accepted; others belong to earlier requests. An answer without a
// length ends with the connection.
func (c *Connection) ExchangeWhole(request *fasthttp.Request, response *fasthttp.Response, limit int, accept func(*fasthttp.Response) bool) error {
	response.SkipBody = request.Header.IsHead()
	if err := c.send(request); err != nil {
		if c.sent == 0 || response.ReadLimitBody(c.reader, limit) != nil || !accept(response) {
			return err
		}
		response.SetConnectionClose()

		return nil
	}
	for range maxAnswers {
		response.Reset()
		response.SkipBody = request.Header.IsHead()
		if err := response.ReadLimitBody(c.reader, limit); err != nil {
			return err
		}
		if response.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return &UnframedError{Status: response.StatusCode()}
		}
		if accept(response) {
			return nil
		}
	}

	return &ForeignAnswerError{Answers: maxAnswers}
}

// send sends a request.
func (c *Connection) send(request *fasthttp.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}

	return c.writer.Flush()
}

// Sent returns the number of bytes of the current request that left.
func (c *Connection) Sent() int {
	return c.sent
}

// Abort closes the socket while another goroutine uses the connection, whose
// exchange then fails.
func (c *Connection) Abort() {
	_ = c.conn.Close() // the exchange ends whether or not closing fails
}

// Close closes the connection, which may be opened again.
func (c *Connection) Close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing depends on it any more
		c.conn = nil
	}
}
