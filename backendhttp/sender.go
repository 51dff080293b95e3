package backendhttp

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// Sender is a duty that carries out attempts, one at a time.
type Sender struct {
	// Attempts is the ring that the duty reads from.
	Attempts *ring.Ring[*dispatch.Attempt]
	// Reports is the ring of the dispatch duty.
	Reports *ring.Ring[dispatch.Input]
	// Connections is the set of connections shared with the other senders.
	Connections *Connections
}

// Run carries out attempts until the context ends.
func (s *Sender) Run(ctx context.Context) error {
	for {
		attempt, err := s.Attempts.Take(ctx)
		if err != nil {
			return err
		}
		if err := s.Reports.Put(ctx, s.send(ctx, attempt)); err != nil {
			return err
		}
	}
}

// send carries out an attempt and returns its result. The connection stays open
// only if the response was read to its end.
func (s *Sender) send(ctx context.Context, attempt *dispatch.Attempt) dispatch.Ended {
	if attempt.Context.Err() != nil || !time.Now().Before(attempt.Deadline) {
		return dispatch.Ended{Attempt: attempt, Result: backend.Unsent{Local: true, Cause: context.DeadlineExceeded}}
	}
	connection, err := s.Connections.Acquire(attempt.Address)
	if err != nil {
		return dispatch.Ended{Attempt: attempt, Result: backend.Unsent{Local: true, Cause: err}}
	}
	defer s.Connections.Release(connection)
	if err := connection.Open(attempt.Context, attempt.Deadline); err != nil {
		local := attempt.Context.Err() != nil

		return dispatch.Ended{Attempt: attempt, Result: backend.Unsent{Local: local, Cause: err}}
	}
	ended, reusable := s.exchange(ctx, attempt, connection)
	if !reusable {
		connection.Close()
	}

	return ended
}

// exchange sends the request and receives the response. It also reports whether
// the connection may be used again.
func (s *Sender) exchange(ctx context.Context, attempt *dispatch.Attempt, connection *Connection) (dispatch.Ended, bool) {
	settle := AbortOnCancel(attempt.Context, connection)
	defer settle()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	encode(request, attempt)
	began := time.Now()
	if err := connection.Exchange(request, response); err != nil {
		return dispatch.Ended{Attempt: attempt, Result: failedResult(attempt, connection, err)}, false
	}
	ended := s.receive(ctx, attempt, connection, response)
	_, whole := ended.Result.(backend.Whole)
	if ended.Answer != nil {
		ended.Answer.Took = time.Since(began)
	}

	return ended, whole && !response.ConnectionClose()
}

// AbortOnCancel closes the socket of an open connection when the context ends, so
// that the exchange on it fails. The returned function revokes this and waits for an
// abort that has already started. The connection itself stays with its owner, which
// may close or open it again meanwhile.
func AbortOnCancel(ctx context.Context, connection *Connection) func() {
	socket := connection.conn
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = socket.Close() // the owner may have closed it already
		close(aborted)
	})

	return func() {
		if !stop() {
			<-aborted
		}
	}
}

// receive reads the body of a response. A body above maxBufferedBody is streamed.
func (s *Sender) receive(ctx context.Context, attempt *dispatch.Attempt, connection *Connection, response *fasthttp.Response) dispatch.Ended {
	answer, stream := decode(attempt, response), connection.Body()
	if isShed(answer) {
		return s.shed(attempt, connection, stream)
	}
	if stream == nil {
		return dispatch.Ended{Attempt: attempt, Result: backend.Whole{Status: answer.Status}, Answer: answer}
	}
	body := &body{stream: stream, remaining: answer.Length}
	first, err := body.read(maxBufferedBody)
	answer.Body = first
	if errors.Is(err, io.EOF) {
		return dispatch.Ended{Attempt: attempt, Result: backend.Whole{Status: answer.Status}, Answer: answer}
	}
	if err != nil {
		return dispatch.Ended{Attempt: attempt, Result: failedResult(attempt, connection, err)}
	}
	answer.Rest = ring.New[dispatch.Chunk]("answer", chunkRingCapacity)
	if err := s.Reports.Put(ctx, dispatch.Answering{Attempt: attempt, Answer: answer}); err != nil {
		return dispatch.Ended{Attempt: attempt, Result: backend.Cut{Cause: err}}
	}

	return s.stream(attempt, connection, body, answer)
}

// shed reads a response that marks the call as shed to its end, because a truncated one
// counts for nothing. The stream is nil if it has no body.
func (*Sender) shed(attempt *dispatch.Attempt, connection *Connection, stream io.Reader) dispatch.Ended {
	if stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return dispatch.Ended{Attempt: attempt, Result: failedResult(attempt, connection, err)}
		}
	}

	return dispatch.Ended{Attempt: attempt, Result: backend.Shed{}}
}

// stream passes on the rest of a large body in parts. A caller that does not read
// it delays the attempt until its deadline at most.
func (*Sender) stream(attempt *dispatch.Attempt, connection *Connection, body *body, answer *dispatch.Answer) dispatch.Ended {
	ctx, cancel := context.WithDeadline(attempt.Context, attempt.Deadline)
	defer cancel()
	for {
		data, err := body.read(chunkSize)
		chunk := dispatch.Chunk{Data: data, Last: errors.Is(err, io.EOF)}
		if !chunk.Last {
			chunk.Err = err
		}
		if answer.Rest.Put(ctx, chunk) != nil {
			return dispatch.Ended{Attempt: attempt, Result: failedResult(attempt, connection, ctx.Err())}
		}
		if chunk.Last {
			return dispatch.Ended{Attempt: attempt, Result: backend.Whole{Status: answer.Status}}
		}
		if err != nil {
			return dispatch.Ended{Attempt: attempt, Result: failedResult(attempt, connection, err)}
		}
	}
}

// failedResult returns the result of an attempt that failed with the error.
func failedResult(attempt *dispatch.Attempt, connection *Connection, err error) backend.Result {
	cause := eris.Wrapf(err, "sending to %s", attempt.Address)
	switch {
	case connection.Sent() == 0:
		return backend.Unsent{Cause: cause}
	case attempt.Context.Err() != nil:
		return backend.Cancelled{}
	case !time.Now().Before(attempt.Deadline):
		return backend.TimedOut{}
	default:
		return backend.Cut{Cause: cause}
	}
}

// encode fills the HTTP request of an attempt.
func encode(request *fasthttp.Request, attempt *dispatch.Attempt) {
	request.Header.SetMethod(attempt.Request.Method)
	request.SetRequestURI(target(attempt))
	request.Header.SetHost(attempt.Address)
	for _, header := range attempt.Request.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	request.Header.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(attempt.Deadline).Milliseconds(), 1), 10))
	if attempt.Depth > 0 {
		request.Header.Set(HeaderDepth, strconv.Itoa(attempt.Depth))
	}
	if attempt.Forward {
		request.Header.Set(HeaderHops, strconv.Itoa(attempt.Hops))
	}
	encodeOrder(request, attempt)
	request.SetBodyRaw(attempt.Request.Body)
}

// encodeOrder adds the header fields of a forwarded order.
func encodeOrder(request *fasthttp.Request, attempt *dispatch.Attempt) {
	if attempt.OrderID == "" {
		return
	}
	request.Header.Set(HeaderOrderID, attempt.OrderID)
	if attempt.OrderAttempt > 0 || attempt.OrderFirst {
		request.Header.Set(HeaderOrderAttempt, strconv.Itoa(attempt.OrderAttempt))
	}
}

// target returns the path and query of the request at the attempt's address.
func target(attempt *dispatch.Attempt) string {
	if attempt.OrderID != "" {
		return "/order/" + attempt.Service + attempt.Request.Target
	}
	if attempt.Forward {
		return "/call/" + attempt.Service + attempt.Request.Target
	}

	return attempt.Request.Target
}

// decode copies the status and the header fields of a response that are passed on.
func decode(attempt *dispatch.Attempt, response *fasthttp.Response) *dispatch.Answer {
	answer := &dispatch.Answer{
		Status:    response.StatusCode(),
		Length:    response.Header.ContentLength(),
		Headers:   make([]dispatch.Header, 0, headersCapacity),
		Forwarded: attempt.Forward,
	}
	if attempt.Forward {
		answer.Outcome = decodeOutcome(string(response.Header.Peek(HeaderOutcome)), string(response.Header.Peek(HeaderReason)))
	}
	connection := response.Header.Peek(fasthttp.HeaderConnection)
	for name, value := range response.Header.All() {
		if IsEndToEnd(name, connection) || attempt.Forward && !isHopByHop(name) || string(name) == HeaderShed {
			answer.Headers = append(answer.Headers, dispatch.Header{Name: string(name), Value: string(value)})
		}
	}

	return answer
}

// body reads the body of a response in parts.
type body struct {
	stream io.Reader
	// remaining is the number of unread bytes, or negative if it is unknown.
	remaining int
}

// read returns up to limit bytes. It returns io.EOF with the last bytes of a
// complete body and another error if the body was truncated.
func (b *body) read(limit int) ([]byte, error) {
	capacity := min(limit, initialBodyBuffer)
	if b.remaining >= 0 {
		capacity = min(limit, b.remaining)
	}
	data := make([]byte, 0, capacity)
	for len(data) < limit {
		if len(data) == cap(data) {
			data = slices.Grow(data, initialBodyBuffer)
		}
		count, err := b.stream.Read(data[len(data):min(cap(data), limit)])
		data = data[:len(data)+count]
		b.remaining -= count
		if err != nil {
			return data, err
		}
	}

	return data, nil
}
