package backendhttp

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// framing is how a response states the end of its body.
//
//sumtype:decl
type framing interface{ isFraming() }

// lengthFraming is the framing of a body with a length.
type lengthFraming struct {
	// Left is the number of bytes that have not been read.
	Left int
}

func (*lengthFraming) isFraming() {}

// chunkFraming is the framing of a body in chunks.
type chunkFraming struct {
	// Chunks reads the content of the chunks up to the last one.
	Chunks io.Reader
}

func (*chunkFraming) isFraming() {}

// closeFraming is the framing of a body that ends with its connection.
type closeFraming struct{}

func (*closeFraming) isFraming() {}

// framingOf returns how the response with this head states the end of its body.
func framingOf(head *fasthttp.ResponseHeader, reader *bufio.Reader) framing {
	switch length := head.ContentLength(); {
	case length >= 0:
		return &lengthFraming{Left: length}
	case length == -1:
		return &chunkFraming{Chunks: httputil.NewChunkedReader(reader)}
	default:
		return &closeFraming{}
	}
}

// hasBody reports whether a response with this status to a request other than HEAD has a
// body, which may be empty.
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// framedBody reads the body of one response. It returns io.EOF only at the end that the
// response states, and io.ErrUnexpectedEOF if the connection ends before.
type framedBody struct {
	reader  *bufio.Reader
	framing framing
	err     error
}

// Read reads content.
func (b *framedBody) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	var count int
	switch framing := b.framing.(type) {
	case *lengthFraming:
		count, b.err = b.readLength(framing, buffer)
	case *chunkFraming:
		count, b.err = framing.Chunks.Read(buffer)
		if errors.Is(b.err, io.EOF) {
			b.err = readTrailers(b.reader)
		}
	case *closeFraming:
		count, b.err = b.reader.Read(buffer)
	}

	return count, b.err
}

// readLength reads content of a body with a length.
func (b *framedBody) readLength(framing *lengthFraming, buffer []byte) (int, error) {
	if framing.Left == 0 {
		return 0, io.EOF
	}
	count, err := b.reader.Read(buffer[:min(len(buffer), framing.Left)])
	framing.Left -= count
	switch {
	case framing.Left == 0:
		return count, io.EOF
	case errors.Is(err, io.EOF):
		return count, io.ErrUnexpectedEOF
	default:
		return count, err
	}
}

// readTrailers reads the trailers behind the last chunk and drops them. It returns io.EOF,
// the end of the body, if they are complete.
func readTrailers(reader *bufio.Reader) error {
	trailers, err := peekFields(reader)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if err := checkFields(trailers); err != nil {
		return err
	}
	var dropped fasthttp.ResponseHeader
	if err := dropped.ReadTrailer(reader); err != nil {
		return err
	}

	return io.EOF
}
