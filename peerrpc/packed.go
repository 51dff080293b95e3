package peerrpc

import (
	"bytes"
	"io"
	"sync"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"github.com/tinylib/msgp/msgp"
)

// minPackedBytes is the size from which a message is compressed. Smaller ones fit into a
// few packets.
const minPackedBytes = 4 << 10

// Message is a pointer to a message of the schema.
type Message[Body any] interface {
	*Body
	msgp.Marshaler
	msgp.Decodable
	msgp.Sizer
}

// Packed is a message that is compressed on the wire if it is large. A declaration of
// thousands of routes shrinks to a seventh.
type Packed[Body any, Pointer Message[Body]] struct {
	// Body is the message.
	Body Body
}

// packBuffers holds buffers for messages that are not compressed, so that answers to many
// hosts at once do not each take a new one.
var packBuffers = sync.Pool{New: func() any { return new([]byte) }}

// EncodeMsg writes the message: compressed as binary data, or as it is.
func (p *Packed[Body, Pointer]) EncodeMsg(writer *msgp.Writer) error {
	buffer := packBuffers.Get().(*[]byte)
	defer packBuffers.Put(buffer)
	raw, err := Pointer(&p.Body).MarshalMsg((*buffer)[:0])
	if err != nil {
		return eris.Wrap(err, "encoding a message")
	}
	*buffer = raw
	if len(raw) < minPackedBytes {
		_, err := writer.Write(raw)

		return eris.Wrap(err, "writing a message")
	}

	return eris.Wrap(writer.WriteBytes(s2.Encode(nil, raw)), "writing a compressed message")
}

// DecodeMsg reads the message. It returns a *MessageLimitError if it has more than
// maxAnswerBytes.
func (p *Packed[Body, Pointer]) DecodeMsg(reader *msgp.Reader) error {
	kind, err := reader.NextType()
	if err != nil {
		return eris.Wrap(err, "reading the type of a message")
	}
	if kind != msgp.BinType {
		return Pointer(&p.Body).DecodeMsg(reader)
	}
	size, err := reader.ReadBytesHeader()
	if err != nil {
		return eris.Wrap(err, "reading the size of a compressed message")
	}
	if size > maxAnswerBytes {
		return &MessageLimitError{Bytes: maxAnswerBytes}
	}
	// The buffer grows with what arrives, not with the stated size.
	var packed bytes.Buffer
	if _, err := io.CopyN(&packed, reader.R, int64(size)); err != nil {
		return eris.Wrap(err, "reading a compressed message")
	}

	return p.unpack(packed.Bytes())
}

// unpack decodes a compressed message.
func (p *Packed[Body, Pointer]) unpack(packed []byte) error {
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return eris.Wrap(err, "reading the size of a message")
	}
	if size > maxAnswerBytes {
		return &MessageLimitError{Bytes: maxAnswerBytes}
	}
	buffer := packBuffers.Get().(*[]byte)
	defer packBuffers.Put(buffer)
	raw, err := s2.Decode((*buffer)[:cap(*buffer)], packed)
	if err != nil {
		return eris.Wrap(err, "decompressing a message")
	}
	*buffer = raw

	return Pointer(&p.Body).DecodeMsg(newMessageReader(bytes.NewReader(raw)))
}
