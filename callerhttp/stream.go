package callerhttp

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// cancelTimeout is the maximum time that a cancellation waits for room in the ring
// of the dispatch duty.
const cancelTimeout = time.Second

// StalledError reports that the next part of a large response did not arrive
// before the deadline.
type StalledError struct{}

// Error returns the error message.
func (*StalledError) Error() string {
	return "the rest of the response did not arrive before the deadline"
}

// stream writes a large body as its parts arrive. If a part is missing or the
// caller does not read the body before the deadline, the caller's connection is
// closed before the end of the body, so that the caller detects the truncation.
func (f *Front) stream(c fiber.Ctx, call caller.Call, answer *dispatch.Answer) error {
	writeHead(c, answer)
	conn := c.RequestCtx().Conn()
	if err := conn.SetWriteDeadline(call.Deadline); err != nil {
		return eris.Wrap(err, "setting the write deadline of the caller's connection")
	}
	c.Response().SetBodyStream(&bodyReader{call: call, inputs: f.Inputs, conn: conn, rest: answer.Rest, data: answer.Body}, answer.Length)

	return nil
}

// bodyReader is an io.ReadCloser for a large body whose parts arrive in a ring.
type bodyReader struct {
	call   caller.Call
	inputs *ring.Ring[dispatch.Input]
	conn   net.Conn
	rest   *ring.Ring[dispatch.Chunk]
	data   []byte
	last   bool
	err    error
}

// Read returns the next bytes, and io.EOF only after a complete body.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	for len(r.data) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		if r.last {
			return 0, io.EOF
		}
		r.next()
	}
	count := copy(buffer, r.data)
	r.data = r.data[count:]

	return count, nil
}

// next waits for the next part until the deadline.
func (r *bodyReader) next() {
	ctx, cancel := context.WithDeadline(context.Background(), r.call.Deadline)
	defer cancel()
	chunk, err := r.rest.Take(ctx)
	if err != nil {
		r.err = &StalledError{}

		return
	}
	r.data, r.last, r.err = chunk.Data, chunk.Last, chunk.Err
}

// Close cancels the call unless the body was read to its end.
func (r *bodyReader) Close() error {
	if r.last && len(r.data) == 0 {
		return r.conn.SetWriteDeadline(time.Time{})
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()

	return r.inputs.Put(ctx, dispatch.Cancel{Call: r.call.ID})
}
