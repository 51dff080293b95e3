package peerrpc

import (
	"crypto/subtle"
	"fmt"
	"io"
	"net/rpc"

	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// TokenError reports a peer that does not know the shared secret.
type TokenError struct{}

// Error says what is wrong without quoting the token.
func (*TokenError) Error() string {
	return "the peer's token is missing or wrong"
}

// UnsupportedBodyError reports a message type without a codec.
type UnsupportedBodyError struct {
	// Body is the message.
	Body any
}

// Error names the type.
func (e *UnsupportedBodyError) Error() string {
	return fmt.Sprintf("no codec for messages of type %T", e.Body)
}

const (
	// maxElements bounds the elements of one list in a message.
	maxElements = 1 << 20
	// maxStringBytes bounds one text in a message in bytes.
	maxStringBytes = 1 << 16
	// maxDepth bounds how deep a message is nested.
	maxDepth = 32
)

// codec reads and writes net/rpc's messages with MessagePack.
type codec struct {
	token         string
	authenticated bool
	conn          io.ReadWriteCloser
	in            *msgp.Reader
	out           *msgp.Writer
}

// newCodec returns a codec over the connection.
func newCodec(conn io.ReadWriteCloser, token string) *codec {
	in := msgp.NewReader(conn)
	in.SetMaxElements(maxElements)
	in.SetMaxStringLength(maxStringBytes)
	in.SetMaxRecursionDepth(maxDepth)

	return &codec{token: token, conn: conn, in: in, out: msgp.NewWriter(conn)}
}

// WriteRequest writes the method, the sequence number and the body, and before
// the first request the token.
func (c *codec) WriteRequest(request *rpc.Request, body any) error {
	if !c.authenticated {
		if err := c.out.WriteString(c.token); err != nil {
			return eris.Wrap(err, "writing a token")
		}
		c.authenticated = true
	}

	return c.write(request.ServiceMethod, request.Seq, "", body)
}

// ReadRequestHeader reads a request up to its body and checks the token before
// the first one.
func (c *codec) ReadRequestHeader(request *rpc.Request) (err error) {
	if err := c.checkToken(); err != nil {
		return err
	}
	request.ServiceMethod, request.Seq, _, err = c.readHeader()

	return err
}

// checkToken reads the token that opens a connection.
func (c *codec) checkToken() error {
	if c.authenticated {
		return nil
	}
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

// ReadRequestBody reads the body; nil discards it.
func (c *codec) ReadRequestBody(body any) error {
	return c.read(body)
}

// WriteResponse writes the method, the sequence number, the error and the body.
func (c *codec) WriteResponse(response *rpc.Response, body any) error {
	if response.Error != "" {
		body = nil
	}

	return c.write(response.ServiceMethod, response.Seq, response.Error, body)
}

// ReadResponseHeader reads a response up to its body.
func (c *codec) ReadResponseHeader(response *rpc.Response) (err error) {
	response.ServiceMethod, response.Seq, response.Error, err = c.readHeader()

	return err
}

// ReadResponseBody reads the body; nil discards it.
func (c *codec) ReadResponseBody(body any) error {
	return c.read(body)
}

// Close closes the connection.
func (c *codec) Close() error {
	return c.conn.Close()
}

// write writes a header and a body; a nil body is written as nil.
func (c *codec) write(method string, sequence uint64, failure string, body any) error {
	if err := c.out.WriteString(method); err != nil {
		return eris.Wrap(err, "writing a method")
	}
	if err := c.out.WriteUint64(sequence); err != nil {
		return eris.Wrap(err, "writing a sequence number")
	}
	if err := c.out.WriteString(failure); err != nil {
		return eris.Wrap(err, "writing an error")
	}
	if err := c.writeBody(body); err != nil {
		return err
	}

	return eris.Wrap(c.out.Flush(), "sending a message")
}

// writeBody writes a body.
func (c *codec) writeBody(body any) error {
	switch body := body.(type) {
	case nil:
		return eris.Wrap(c.out.WriteNil(), "writing no body")
	case msgp.Encodable:
		return eris.Wrap(body.EncodeMsg(c.out), "writing a body")
	default:
		return &UnsupportedBodyError{Body: body}
	}
}

// readHeader reads what write wrote before the body.
func (c *codec) readHeader() (method string, sequence uint64, failure string, err error) {
	if method, err = c.in.ReadString(); err != nil {
		return "", 0, "", err //nolint:wrapcheck // net/rpc compares it with io.EOF
	}
	if sequence, err = c.in.ReadUint64(); err != nil {
		return "", 0, "", eris.Wrap(err, "reading a sequence number")
	}
	if failure, err = c.in.ReadString(); err != nil {
		return "", 0, "", eris.Wrap(err, "reading an error")
	}

	return method, sequence, failure, nil
}

// read reads a body; nil discards it.
func (c *codec) read(body any) error {
	switch body := body.(type) {
	case nil:
		return eris.Wrap(c.in.Skip(), "skipping a body")
	case msgp.Decodable:
		return eris.Wrap(body.DecodeMsg(c.in), "reading a body")
	default:
		return &UnsupportedBodyError{Body: body}
	}
}
