package backendhttp

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// dialTimeout is the maximum time for opening a connection.
	dialTimeout = time.Second
	// maxHeadSize is the maximum size in bytes of a response head.
	maxHeadSize = 16 << 10
	// writeBufferSize is the size in bytes of the buffer for requests.
	writeBufferSize = 4 << 10
	// maxAnswers is the maximum number of responses read for one request.
	maxAnswers = 4
	// maxFramingSize is the maximum size in bytes of what a response has besides its body
	// and as much framing: heads, and responses to earlier requests.
	maxFramingSize = 8 * maxHeadSize
	// maxRequestIDs is the maximum number of requests with an ID on a connection.
	maxRequestIDs = 256
)

// UnframedError reports a response whose truncation could not be detected, because
// it has neither a length nor chunks, or that switches the protocol.
type UnframedError struct {
	// Status is the HTTP status of the response.
	Status int
}

// Error returns the error message.
func (*UnframedError) Error() string {
	return "the response has neither a content length nor chunked transfer coding"
}

// ForeignAnswerError reports that only responses to other requests were received
// on a connection.
type ForeignAnswerError struct {
	// Answers is the number of responses that were read.
	Answers int
}

// Error returns the error message with the number of responses.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("received %d responses, all of them to other requests", e.Answers)
}

// Connection is one connection to a backend server, an entry host or a store. Only one duty
// uses it at a time; another goroutine may only close its socket, see AbortOnCancel.
// It counts the bytes sent, because a request of which any byte was sent may have
// run.
type Connection struct {
	// Address is the ip:port of the remote side.
	Address string

	conn        net.Conn
	peeker      *tcp.Peeker
	reader      *bufio.Reader
	writer      *bufio.Writer
	body        *framedBody // of the response that is being read
	overhead    tcp.Overhead
	sent        int
	received    int
	socketErr   error // returned by a write, so that reads no longer return it
	begunAt     time.Time
	progress    *tcp.Progress
	answers     int
	requestIDs  []uint64 // hashes
	usableUntil time.Time
	pool        *addressPool
}

// NewConnection returns a closed connection to the address.
func NewConnection(address string) *Connection {
	return &Connection{Address: address}
}

// KeepUntil sets the time after which Open replaces the connection, because the
// remote side is going to close it then.
func (c *Connection) KeepUntil(until time.Time) {
	c.usableUntil = until
}

// Open prepares the connection for a request, dialling if necessary. A connection
// that the remote side has closed, or that holds unread bytes which belong to no
// request, is replaced. The deadline also applies to the next exchange. After an
// error the connection is closed.
func (c *Connection) Open(ctx context.Context, deadline time.Time) error {
	c.sent, c.received, c.begunAt, c.progress = 0, 0, time.Time{}, nil
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
	c.conn, c.peeker, c.socketErr, c.answers, c.requestIDs = conn, tcp.NewPeeker(conn), nil, 0, c.requestIDs[:0]
	received := &receiver{socket: conn, connection: c}
	if c.reader == nil {
		c.reader, c.writer = bufio.NewReaderSize(received, maxHeadSize), bufio.NewWriterSize(c, writeBufferSize)
	}
	c.reader.Reset(received)
	c.writer.Reset(c)

	if err := conn.SetDeadline(deadline); err != nil {
		c.Close()

		return eris.Wrapf(err, "connecting to %s", c.Address)
	}

	return nil
}

// Extend moves the deadline of the exchange that follows Open as its response arrives.
func (c *Connection) Extend(progress *tcp.Progress) {
	c.progress = progress
}

// OpenFor is like Open for a request whose response repeats its ID. It replaces a
// connection on which the ID was sent before: a second copy of the earlier response
// could not be told from the response to this request.
func (c *Connection) OpenFor(ctx context.Context, deadline time.Time, id string) error {
	hash := xxhash.Sum64String(id)
	if id == "" || len(c.requestIDs) == maxRequestIDs || slices.Contains(c.requestIDs, hash) {
		c.Close()
	}
	if err := c.Open(ctx, deadline); err != nil {
		return err
	}
	c.requestIDs = append(c.requestIDs, hash)

	return nil
}

// usable reports whether a request may be sent on the open connection.
func (c *Connection) usable() bool {
	return c.reader.Buffered() == 0 && c.peeker.Peek() == tcp.Idle
}

// Check closes the connection if it is no longer usable.
func (c *Connection) Check() {
	if c.conn != nil && (c.conn.SetDeadline(time.Time{}) != nil || !c.usable()) {
		c.Close()
	}
}

// receiver receives the bytes of one socket within the bound on framing. A body may be
// read from it after its connection was closed, which fails.
type receiver struct {
	socket     net.Conn
	connection *Connection
}

// Read receives bytes. It returns io.EOF only if the remote side ended its stream.
func (r *receiver) Read(buffer []byte) (int, error) {
	count, err := r.socket.Read(buffer)
	if errors.Is(err, io.EOF) && r.connection.socketErr != nil {
		err = r.connection.socketErr
	}
	r.connection.noteReceived(r.socket, count)
	if exceeded := r.connection.overhead.Received(count); exceeded != nil {
		return 0, exceeded
	}

	return count, err //nolint:wrapcheck // bufio compares it with io.EOF
}

// noteReceived notes that bytes arrived on a socket, and moves its deadline.
func (c *Connection) noteReceived(socket net.Conn, count int) {
	if count == 0 {
		return
	}
	now := time.Now()
	if c.received == 0 {
		c.begunAt = now
	}
	c.received += count
	if c.progress != nil {
		_ = socket.SetReadDeadline(c.progress.Received(now, count)) // fails on a closed connection, as the next Read does
	}
}

// Write sends bytes and counts those that were sent.
func (c *Connection) Write(data []byte) (int, error) {
	count, err := c.conn.Write(data)
	c.sent += count
	if tcp.TookSocketError(err) {
		c.socketErr = err
	}

	return count, err //nolint:wrapcheck // the sender wraps it with the address
}

// Exchange sends a request and reads the head of the response. Its Body must be read to
// the end before the next exchange. If sending fails after some bytes, a response is
// returned only if it is marked as shed.
func (c *Connection) Exchange(request *fasthttp.Request, response *fasthttp.Response) error {
	sendErr := c.send(request)
	if sendErr != nil && c.sent == 0 {
		return sendErr
	}
	if err := c.readHead(response, request.Header.IsHead()); err != nil {
		return cmp.Or(sendErr, err)
	}
	if sendErr != nil {
		if len(response.Header.Peek(HeaderShed)) == 0 {
			return sendErr
		}
		response.SetConnectionClose()
	}
	unframed := response.Header.ContentLength() < -1 && c.body != nil
	if unframed || response.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return &UnframedError{Status: response.StatusCode()}
	}

	return nil
}

// BodyReader reads a body to its end. The length is negative if it is unknown. An
// error ends the connection.
type BodyReader func(body io.Reader, length int) ([]byte, error)

// BodyLimitError reports a body that is larger than allowed.
type BodyLimitError struct {
	// Limit is the maximum size in bytes.
	Limit int
}

// Error returns the error message with the limit.
func (e *BodyLimitError) Error() string {
	return fmt.Sprintf("body has more than %d bytes", e.Limit)
}

// LimitBody returns a BodyReader for bodies of up to limit bytes.
func LimitBody(limit int) BodyReader {
	return func(body io.Reader, length int) ([]byte, error) {
		held := 0

		return memory.ReadAll(body, length, func(more int) error {
			if held >= limit || length > limit {
				return &BodyLimitError{Limit: limit}
			}
			held += more

			return nil
		})
	}
}

// ExchangeWhole sends a request and reads complete responses until one is accepted;
// the others belong to earlier requests. A response without a length ends when the
// connection is closed. After an error the connection is closed.
func (c *Connection) ExchangeWhole(request *fasthttp.Request, response *fasthttp.Response, read BodyReader, accept func(*fasthttp.Response) bool) error {
	err := c.exchangeWhole(request, response, read, accept)
	if err != nil {
		c.Close()
	}

	return err
}

// exchangeWhole does the work of ExchangeWhole except for closing the connection. If
// sending fails after some bytes, the response may have been sent before that.
func (c *Connection) exchangeWhole(request *fasthttp.Request, response *fasthttp.Response, read BodyReader, accept func(*fasthttp.Response) bool) error {
	withoutBody := request.Header.IsHead()
	sendErr := c.send(request)
	if sendErr != nil && c.sent == 0 {
		return sendErr
	}
	for range maxAnswers {
		if err := c.readWhole(response, withoutBody, read); err != nil {
			return cmp.Or(sendErr, err)
		}
		accepted := accept(response)
		c.answers++
		if !accepted {
			continue
		}
		if sendErr != nil {
			response.SetConnectionClose()
		}

		return nil
	}

	return cmp.Or[error](sendErr, &ForeignAnswerError{Answers: maxAnswers})
}

// readHead reads the head of a response, which Body follows unless the response has none.
func (c *Connection) readHead(response *fasthttp.Response, withoutBody bool) error {
	c.body = nil
	if err := awaitHead(c.reader); err != nil {
		return err
	}
	if err := response.Header.Read(c.reader); err != nil {
		return err
	}
	if !withoutBody && hasBody(response.StatusCode()) {
		c.body = &framedBody{reader: c.reader, framing: framingOf(&response.Header, c.reader)}
	}

	return nil
}

// readWhole reads a response with its body.
func (c *Connection) readWhole(response *fasthttp.Response, withoutBody bool, read BodyReader) error {
	response.Reset()
	if err := c.readHead(response, withoutBody); err != nil {
		return err
	}
	if response.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return &UnframedError{Status: response.StatusCode()}
	}
	stream := c.Body()
	if stream == nil {
		return nil
	}
	body, err := read(stream, max(response.Header.ContentLength(), -1))
	if err != nil {
		return err
	}
	response.SetBodyRaw(body)

	return nil
}

// Body returns the body of the response whose head was read last, or nil if it has none.
func (c *Connection) Body() io.Reader {
	if c.body == nil {
		return nil
	}

	return &tcp.Content{Reader: c.body, Delivered: c.overhead.Delivered}
}

// Reused reports whether a response was read on the open connection before, so that
// a second copy of it may still arrive.
func (c *Connection) Reused() bool {
	return c.answers > 0
}

func (c *Connection) send(request *fasthttp.Request) error {
	c.overhead.Reset(maxFramingSize)
	if err := request.Write(c.writer); err != nil {
		return err
	}

	return c.writer.Flush()
}

// Sent returns the number of bytes sent of the current request.
func (c *Connection) Sent() int {
	return c.sent
}

// Received returns the number of bytes received since the connection was last opened.
func (c *Connection) Received() int {
	return c.received
}

// BegunAt returns when the first byte arrived since the connection was last opened, or zero.
func (c *Connection) BegunAt() time.Time {
	return c.begunAt
}

// Close closes the connection. Open may be called again.
func (c *Connection) Close() {
	if c.conn != nil {
		_ = c.conn.Close() // the socket is no longer used
		c.conn = nil
	}
}
