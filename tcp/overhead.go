package tcp

import "io"

// overheadFactor is the number of bytes that may be received for each byte delivered: as
// much framing as content. Only chunks of a few bytes have more.
const overheadFactor = 2

// OverheadError reports a message that consists of framing, such as chunks of a byte,
// far more than of content. Reading it would cost processor time without end.
type OverheadError struct{}

// Error describes the message.
func (*OverheadError) Error() string {
	return "the message has more framing than content"
}

// Overhead bounds the bytes of a message that are received and deliver no content. It
// belongs to the duty that reads the message.
type Overhead struct {
	left     int
	received int
}

// Reset begins a message, whose framing may have some bytes beyond those for its content.
func (o *Overhead) Reset(bytes int) {
	o.left, o.received = bytes, 0
}

// Received counts bytes that were received, and returns an *OverheadError at the bound.
func (o *Overhead) Received(bytes int) error {
	o.received += bytes
	if o.left -= bytes; o.left < 0 {
		return &OverheadError{}
	}

	return nil
}

// Delivered counts bytes of content.
func (o *Overhead) Delivered(bytes int) {
	o.left += overheadFactor * bytes
}

// Content is the content of a message. It counts the bytes that it delivers.
type Content struct {
	io.Reader
	// Delivered is called with the number of bytes of each read.
	Delivered func(bytes int)
}

// Read delivers bytes.
func (c *Content) Read(buffer []byte) (int, error) {
	count, err := c.Reader.Read(buffer)
	c.Delivered(count)

	return count, err
}
