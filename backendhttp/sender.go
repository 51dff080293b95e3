package backendhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// CutError reports a body that ended before its end.
type CutError struct {
	// Address is the ip:port that sent it.
	Address string
}

// Error names the address.
func (e *CutError) Error() string {
	return "the answer of " + e.Address + " ended before its end"
}

// Sender is a duty that runs one attempt at a time.
type Sender struct {
	// Attempts is the ring that the duty takes from.
	Attempts *ring.Ring[*dispatch.Attempt]
	// Reports is the ring of the dispatch duty.
	Reports *ring.Ring[dispatch.Input]
	// Connections are shared with the other senders.
	Connections *Connections
}

// Run takes attempts until the context ends.
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

// send runs an attempt and returns how it ended.
func (s *Sender) send(ctx context.Context, attempt *dispatch.Attempt) dispatch.Ended {
	if attempt.Context.Err() != nil || !time.Now().Before(attempt.Deadline) {
		return dispatch.Ended{Attempt: attempt, Result: backend.Unsent{Cause: context.DeadlineExceeded}}
	}
	connection, err := s.Connections.Acquire(attempt.Address)
	if err != nil {
		return dispatch.Ended{Attempt: attempt, Result: backend.Unsent{Cause: err}}
	}
	defer s.Connections.Release(attempt.Address, connection)
	connection.reset()
	defer abortOnCancel(attempt.Context, connection)()

	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	encode(request, attempt)
	if err := connection.client.DoDeadline(request, response, attempt.Deadline); err != nil {
		return dispatch.Ended{Attempt: attempt, Result: failure(attempt, connection, err)}
	}
	defer response.CloseBodyStream() //nolint:errcheck // the connection is closed if this fails

	return s.receive(ctx, attempt, connection, response)
}

// abortOnCancel aborts the connection when the context ends. The returned
// function ends that and waits for an abort that has begun, so that it cannot
// reach a later attempt on the same connection.
func abortOnCancel(ctx context.Context, connection *Connection) func() {
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		connection.abort()
		close(aborted)
	})

	return func() {
		if !stop() {
			<-aborted
		}
	}
}

// receive reads the body, in parts if it is large.
func (s *Sender) receive(ctx context.Context, attempt *dispatch.Attempt, connection *Connection, response *fasthttp.Response) dispatch.Ended {
	answer := decode(attempt, response)
	body := &body{stream: response.BodyStream(), connection: connection, length: answer.Length, address: attempt.Address}
	if response.SkipBody || body.stream == nil {
		answer.Body = append([]byte(nil), response.Body()...)

		return whole(attempt, answer)
	}
	first, err := body.read(wholeBody)
	if err != nil && !errors.Is(err, io.EOF) {
		return dispatch.Ended{Attempt: attempt, Result: failure(attempt, connection, err)}
	}
	answer.Body = first
	if errors.Is(err, io.EOF) {
		return whole(attempt, answer)
	}
	answer.Rest = ring.New[dispatch.Chunk]("answer", chunkRing)
	if err := s.Reports.Put(ctx, dispatch.Answering{Attempt: attempt, Answer: answer}); err != nil {
		return dispatch.Ended{Attempt: attempt, Result: backend.Cut{Cause: err}}
	}

	return s.stream(attempt, connection, body, answer)
}

// stream passes the rest of a large body on.
func (*Sender) stream(attempt *dispatch.Attempt, connection *Connection, body *body, answer *dispatch.Answer) dispatch.Ended {
	for {
		data, err := body.read(chunkSize)
		last := errors.Is(err, io.EOF)
		chunk := dispatch.Chunk{Data: data, Last: last}
		if err != nil && !last {
			chunk.Err = err
		}
		if put := answer.Rest.Put(attempt.Context, chunk); put != nil {
			connection.abort()

			return dispatch.Ended{Attempt: attempt, Result: backend.Cancelled{}}
		}
		if last {
			return dispatch.Ended{Attempt: attempt, Result: backend.Whole{Status: answer.Status}}
		}
		if err != nil {
			return dispatch.Ended{Attempt: attempt, Result: failure(attempt, connection, err)}
		}
	}
}

// whole reports an answer whose body is complete.
func whole(attempt *dispatch.Attempt, answer *dispatch.Answer) dispatch.Ended {
	if shed(answer) {
		return dispatch.Ended{Attempt: attempt, Result: backend.Shed{}}
	}

	return dispatch.Ended{Attempt: attempt, Result: backend.Whole{Status: answer.Status}, Answer: answer}
}

// failure says how an attempt with an error ended.
func failure(attempt *dispatch.Attempt, connection *Connection, err error) backend.Result {
	cause := eris.Wrapf(err, "sending to %s", attempt.Address)
	var timeout net.Error
	switch {
	case !connection.wrote():
		return backend.Unsent{Cause: cause}
	case attempt.Context.Err() != nil:
		return backend.Cancelled{}
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &timeout) && timeout.Timeout():
		return backend.TimedOut{}
	default:
		return backend.Cut{Cause: cause}
	}
}

// encode fills the request.
func encode(request *fasthttp.Request, attempt *dispatch.Attempt) {
	request.Header.SetMethod(attempt.Request.Method)
	request.SetRequestURI(target(attempt))
	request.Header.SetHost(attempt.Address)
	for _, header := range attempt.Request.Headers {
		request.Header.Add(header.Name, header.Value)
	}
	request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(attempt.Deadline).Milliseconds(), 10))
	if attempt.Depth > 0 {
		request.Header.Set(HeaderDepth, strconv.Itoa(attempt.Depth))
	}
	if attempt.Forward {
		request.Header.Set(HeaderHops, strconv.Itoa(attempt.Hops))
	}
	encodeOrder(request, attempt)
	request.SetBodyRaw(attempt.Request.Body)
}

// encodeOrder adds what a forwarded order carries.
func encodeOrder(request *fasthttp.Request, attempt *dispatch.Attempt) {
	if attempt.OrderID == "" {
		return
	}
	request.Header.Set(HeaderOrderID, attempt.OrderID)
	if attempt.OrderAttempt > 0 || attempt.OrderFirst {
		request.Header.Set(HeaderOrderAttempt, strconv.Itoa(attempt.OrderAttempt))
	}
}

// target returns the path and query at the address.
func target(attempt *dispatch.Attempt) string {
	if attempt.OrderID != "" {
		return "/order/" + attempt.Service + attempt.Request.Target
	}
	if attempt.Forward {
		return "/call/" + attempt.Service + attempt.Request.Target
	}

	return attempt.Request.Target
}

// decode copies the head of a response.
func decode(attempt *dispatch.Attempt, response *fasthttp.Response) *dispatch.Answer {
	answer := &dispatch.Answer{
		Status:    response.StatusCode(),
		Length:    response.Header.ContentLength(),
		Forwarded: attempt.Forward,
	}
	if attempt.Forward {
		answer.Outcome = outcome(string(response.Header.Peek(HeaderOutcome)), string(response.Header.Peek(HeaderReason)))
	}
	for name, value := range response.Header.All() {
		lower := strings.ToLower(string(name))
		if PassedOn(lower) || attempt.Forward && !hopByHop[lower] || string(name) == HeaderShed {
			answer.Headers = append(answer.Headers, dispatch.Header{Name: string(name), Value: string(value)})
		}
	}

	return answer
}

// body reads a response's body and tells its end from a cut.
type body struct {
	stream     io.Reader
	connection *Connection
	length     int
	taken      int
	address    string
}

// read returns up to limit bytes. It returns io.EOF with the last bytes of a
// whole body and a *CutError if the body was cut.
func (b *body) read(limit int) ([]byte, error) {
	if b.length >= 0 {
		limit = min(limit, b.length-b.taken)
	}
	data := make([]byte, limit)
	count, err := io.ReadFull(b.stream, data)
	b.taken += count
	data = data[:count]
	switch {
	case b.length >= 0 && b.taken == b.length:
		return data, io.EOF
	case err == nil:
		return data, nil
	case !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return data, err
	case b.length == -1 && !b.connection.ended():
		return data, io.EOF
	default:
		return data, &CutError{Address: b.address}
	}
}
