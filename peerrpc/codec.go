package peerrpc

import (
	"crypto/subtle"
	"fmt"
	"io"
	"net/rpc"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"

	"github.com/baobabdrum/baobabdrum/tcp"
)

// TokenError reports a peer that did not send the shared secret.
type TokenError struct{}

// Error describes the failure without quoting the token.
func (*TokenError) Error() string {
	return "peer sent a missing or wrong token"
}

// UnsupportedBodyError reports a message body without MessagePack methods.
type UnsupportedBodyError struct {
	// Body is the rejected message body.
	Body any
}

// Error names the body's type.
func (e *UnsupportedBodyError) Error() string {
	return fmt.Sprintf("message body of type %T has no MessagePack encoding", e.Body)
}

const (
	// maxAnswerBytes is the largest size in bytes of an answer, which may contain all
	// registrations of a deployment.
	maxAnswerBytes = 8 << 20
	// maxElements limits the elements of one list that is skipped. The generated code
	// limits those that it decodes.
	maxElements = 1 << 16
	// maxStringBytes limits the length of one string in a message.
	maxStringBytes = 1 << 16
	// maxDepth limits the nesting depth of a message.
	maxDepth = 32
)

// MessageLimitError reports a message that is larger than allowed.
type MessageLimitError struct {
	// Bytes is the limit.
	Bytes int
}

// Error names the limit.
func (e *MessageLimitError) Error() string {
	return fmt.Sprintf("message has more than %d bytes", e.Bytes)
}

// UnrequestedError reports an answer without a request. It ends the connection, on which
// such answers could follow each other without end.
type UnrequestedError struct{}

// Error describes the failure.
func (*UnrequestedError) Error() string {
	return "peer answered without a request"
}

// messageReader reads one message after the other and fails at the limit of each. What
// it reads ahead counts as part of the message that is being read.
type messageReader struct {
	io.Reader

	limit, left int
}

// begin starts a message.
func (r *messageReader) begin() {
	r.left = r.limit
}

// Read reads bytes of the message.
func (r *messageReader) Read(buffer []byte) (int, error) {
	if r.left == 0 {
		return 0, &MessageLimitError{Bytes: r.limit}
	}
	count, err := r.Reader.Read(buffer[:min(len(buffer), r.left)])
	r.left -= count

	return count, err //nolint:wrapcheck // net/rpc compares it with io.EOF
}

// AnswerObserver is told of an answer: the method, the bytes that were written and the time
// until the kernel had taken them. Several connections may call it at once.
type AnswerObserver func(method string, bytes int, took time.Duration)

// countingWriter counts the bytes that are written.
type countingWriter struct {
	io.Writer

	count int
}

// Write writes bytes.
func (w *countingWriter) Write(data []byte) (int, error) {
	count, err := w.Writer.Write(data)
	w.count += count

	return count, err //nolint:wrapcheck // the codec wraps it
}

// codec is a client and server codec of net/rpc that encodes messages with
// MessagePack and opens each connection with a token.
type codec struct {
	token         string
	authenticated bool
	conn          io.ReadWriteCloser
	received      *messageReader
	in            *msgp.Reader
	out           *msgp.Writer
	// sent counts the bytes that were written to the connection.
	sent countingWriter
	// answered is told of each answer that was written, unless it is nil.
	answered AnswerObserver
	// unanswered is the number of requests that this side sent and that were not answered.
	unanswered atomic.Int64
}

// newCodec returns a codec over the connection. It limits the size, list lengths,
// string lengths and nesting depth of incoming messages.
func newCodec(conn io.ReadWriteCloser, token string, limit int) *codec {
	received := &messageReader{Reader: conn, limit: limit}
	made := &codec{token: token, conn: conn, received: received, in: newMessageReader(received), sent: countingWriter{Writer: conn}}
	made.out = msgp.NewWriter(&made.sent)

	return made
}

// newMessageReader returns a decoder that limits list lengths, string lengths and the
// nesting depth.
func newMessageReader(from io.Reader) *msgp.Reader {
	in := msgp.NewReader(from)
	in.SetMaxElements(maxElements)
	in.SetMaxStringLength(maxStringBytes)
	in.SetMaxRecursionDepth(maxDepth)

	return in
}

// WriteRequest writes the method, the sequence number and the body, preceded by
// the token on the first request.
func (c *codec) WriteRequest(request *rpc.Request, body any) error {
	if !c.authenticated {
		if err := c.out.WriteString(c.token); err != nil {
			return eris.Wrap(err, "writing the token")
		}
		c.authenticated = true
	}

	c.unanswered.Add(1)

	return c.write(request.ServiceMethod, request.Seq, "", body)
}

// ReadRequestHeader reads a request up to its body. It checks the token before
// the first request.
func (c *codec) ReadRequestHeader(request *rpc.Request) (err error) {
	if err := c.checkToken(); err != nil {
		return err
	}
	request.ServiceMethod, request.Seq, _, err = c.readHeader()

	return err
}

// checkToken reads and verifies the token at the start of a connection.
func (c *codec) checkToken() error {
	if c.authenticated {
		return nil
	}
	c.received.begin()
	token, err := c.in.ReadString()
	if err != nil {
		return err //nolint:wrapcheck // net/rpc compares it with io.EOF
	}
	if subtle.ConstantTimeCompare([]byte(token), []byte(c.token)) != 1 {
		return &TokenError{}
	}
	c.authenticated = true

	return nil
}

// ReadRequestBody reads the body, or skips it if body is nil.
func (c *codec) ReadRequestBody(body any) error {
	return c.read(body)
}

// WriteResponse writes the method, the sequence number, the error and the body.
// A failed call has no body.
func (c *codec) WriteResponse(response *rpc.Response, body any) error {
	if response.Error != "" {
		body = nil
	}
	before, startedAt := c.sent.count, time.Now()
	err := c.write(response.ServiceMethod, response.Seq, response.Error, body)
	if c.answered != nil {
		c.answered(strings.TrimPrefix(response.ServiceMethod, serviceName+"."), c.sent.count-before, time.Since(startedAt))
	}
	if served, ok := c.conn.(*tcp.ServedConn); ok {
		served.Rest()
	}

	return err
}

// ReadResponseHeader reads a response up to its body.
func (c *codec) ReadResponseHeader(response *rpc.Response) (err error) {
	response.ServiceMethod, response.Seq, response.Error, err = c.readHeader()
	if err == nil && c.unanswered.Add(-1) < 0 {
		return &UnrequestedError{}
	}

	return err
}

// ReadResponseBody reads the body, or skips it if body is nil.
func (c *codec) ReadResponseBody(body any) error {
	return c.read(body)
}

// Close closes the underlying connection.
func (c *codec) Close() error {
	return c.conn.Close()
}

// write writes a header and a body and flushes them.
func (c *codec) write(method string, sequence uint64, failure string, body any) error {
	if err := c.out.WriteString(method); err != nil {
		return eris.Wrap(err, "writing the method")
	}
	if err := c.out.WriteUint64(sequence); err != nil {
		return eris.Wrap(err, "writing the sequence number")
	}
	if err := c.out.WriteString(failure); err != nil {
		return eris.Wrap(err, "writing the error text")
	}
	if err := c.writeBody(body); err != nil {
		return err
	}

	return eris.Wrap(c.out.Flush(), "flushing the message")
}

// writeBody writes a body; a nil body is written as MessagePack nil.
func (c *codec) writeBody(body any) error {
	switch body := body.(type) {
	case nil:
		return eris.Wrap(c.out.WriteNil(), "writing an empty body")
	case msgp.Encodable:
		return eris.Wrap(body.EncodeMsg(c.out), "writing the body")
	default:
		return &UnsupportedBodyError{Body: body}
	}
}

// readHeader reads the method, the sequence number and the error text.
func (c *codec) readHeader() (method string, sequence uint64, failure string, err error) {
	c.received.begin()
	if method, err = c.in.ReadString(); err != nil {
		return "", 0, "", err //nolint:wrapcheck // net/rpc compares it with io.EOF
	}
	if sequence, err = c.in.ReadUint64(); err != nil {
		return "", 0, "", eris.Wrap(err, "reading the sequence number")
	}
	if failure, err = c.in.ReadString(); err != nil {
		return "", 0, "", eris.Wrap(err, "reading the error text")
	}

	return method, sequence, failure, nil
}

// read reads a body, or skips it if body is nil.
func (c *codec) read(body any) error {
	switch body := body.(type) {
	case nil:
		return eris.Wrap(c.in.Skip(), "skipping the body")
	case msgp.Decodable:
		return eris.Wrap(body.DecodeMsg(c.in), "reading the body")
	default:
		return &UnsupportedBodyError{Body: body}
	}
}
