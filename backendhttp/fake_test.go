package backendhttp_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
)

// settleTime is the time after which bytes sent on the loopback have arrived.
const settleTime = 30 * time.Millisecond

// connHandler serves one connection of the fake backend server.
type connHandler func(conn *net.TCPConn, requests *bufio.Reader)

// listen starts a fake backend server that serves the nth connection with the nth
// handler, and returns its address.
func listen(t *testing.T, handlers ...connHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	duties := group.New(t.Context())
	duties.Go("fake server", func(ctx context.Context) error {
		var conns sync.WaitGroup // a group accepts no duties once it is waited for
		defer conns.Wait()
		for _, serve := range handlers {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			conns.Go(func() {
				defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
				<-ctx.Done()
			})
		}
		<-ctx.Done()

		return nil
	})
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		assert.Check(t, duties.Wait())
	})

	return listener.Addr().String()
}

// receive reads one request and returns its path, or an empty string after an
// error.
func receive(requests *bufio.Reader) string {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return ""
	}

	return request.URL.Path
}

func writeRaw(conn *net.TCPConn, raw string) {
	_, _ = conn.Write([]byte(raw)) // the remote side may have closed the connection
}

// reset closes the connection with a TCP reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// sender is a running sender duty with its rings.
type sender struct {
	attempts    *ring.Ring[*dispatch.Attempt]
	reports     *ring.Ring[dispatch.Input]
	connections *backendhttp.Connections
	address     string
}

// newSender starts a sender with one connection to the address.
func newSender(t *testing.T, address string) *sender {
	t.Helper()
	s := &sender{
		attempts:    ring.New[*dispatch.Attempt]("senders", 1),
		reports:     ring.New[dispatch.Input]("dispatch", 1),
		connections: backendhttp.NewConnections(1),
		address:     address,
	}
	duties := group.New(t.Context())
	duty := &backendhttp.Sender{Attempts: s.attempts, Reports: s.reports, Connections: s.connections}
	duties.Go("sender", duty.Run)
	t.Cleanup(func() {
		assert.Check(t, duties.Wait())
		s.connections.Close()
	})

	return s
}

// start passes a request to the sender and returns its attempt.
func (s *sender) start(t *testing.T, method, target string, timeout time.Duration) *dispatch.Attempt {
	t.Helper()
	attempt := dispatch.NewAttempt(dispatch.Attempt{
		Address:  s.address,
		Request:  &dispatch.Request{Method: method, Target: target},
		Deadline: time.Now().Add(timeout),
	})
	assert.NilError(t, s.attempts.Put(t.Context(), attempt))

	return attempt
}

// received holds the result of an attempt and the reported body.
type received struct {
	result backend.Result
	body   string
	// whole is true if the body was reported as complete.
	whole bool
}

// wait waits for the end of the attempt.
func (s *sender) wait(t *testing.T) received {
	t.Helper()
	var got received
	for {
		report, err := s.reports.Take(t.Context())
		assert.NilError(t, err)
		if answering, ok := report.(dispatch.Answering); ok {
			got.body, got.whole = readBody(t, answering.Answer)

			continue
		}
		ended, ok := report.(dispatch.Ended)
		assert.Assert(t, ok, "unexpected report %T", report)
		got.result = ended.Result
		if ended.Answer != nil {
			got.body, got.whole = string(ended.Answer.Body), true
		}

		return got
	}
}

// readBody reads a streamed body and reports whether it is complete.
func readBody(t *testing.T, answer *dispatch.Answer) (body string, whole bool) {
	t.Helper()
	body = string(answer.Body)
	for {
		chunk, err := answer.Rest.Take(t.Context())
		assert.NilError(t, err)
		body += string(chunk.Data)
		if chunk.Last || chunk.Err != nil {
			return body, chunk.Last
		}
	}
}

// cancelledAttempt returns an attempt that is cancelled before a sender takes it.
func cancelledAttempt(address string) *dispatch.Attempt {
	attempt := dispatch.NewAttempt(dispatch.Attempt{
		Address:  address,
		Request:  &dispatch.Request{Method: http.MethodPost, Target: "/"},
		Deadline: time.Now().Add(time.Second),
	})
	attempt.Cancel()

	return attempt
}
