package callerhttp

import (
	"context"
	"io"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// stallTimeout bounds the wait for the next part of a large answer.
const stallTimeout = time.Minute

// StalledError reports that the next part of a large answer did not arrive.
type StalledError struct{}

// Error says what happened.
func (*StalledError) Error() string {
	return "the rest of the answer did not arrive"
}

// stream answers with a large body as its parts arrive. If a part is missing,
// the caller's connection is closed before the body's end.
func (f *Front) stream(c fiber.Ctx, id caller.CallID, answer *dispatch.Answer) error {
	head(c, answer)
	c.Response().SetBodyStream(&reader{id: id, inputs: f.Inputs, rest: answer.Rest, data: answer.Body}, answer.Length)

	return nil
}

// reader reads a large body from its ring.
type reader struct {
	id     caller.CallID
	inputs *ring.Ring[dispatch.Input]
	rest   *ring.Ring[dispatch.Chunk]
	data   []byte
	last   bool
	err    error
}

// Read returns the next bytes, and io.EOF only after a whole body.
func (r *reader) Read(buffer []byte) (int, error) {
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

// next takes the next part.
func (r *reader) next() {
	ctx, cancel := context.WithTimeout(context.Background(), stallTimeout)
	defer cancel()
	chunk, err := r.rest.Take(ctx)
	if err != nil {
		r.err = &StalledError{}

		return
	}
	r.data, r.last, r.err = chunk.Data, chunk.Last, chunk.Err
}

// Close gives up the call unless the body was read to its end.
func (r *reader) Close() error {
	if r.last && len(r.data) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), stallTimeout)
	defer cancel()

	return r.inputs.Put(ctx, dispatch.Cancel{Call: r.id})
}
