package backendhttp_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
)

const (
	// hingeAnswer is a complete answer with a body of five bytes.
	hingeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhinge"
	// hingeLimit is the size in bytes of its body.
	hingeLimit = 5
)

// answerHinge serves requests with hingeAnswer.
func answerHinge(conn *net.TCPConn, requests *bufio.Reader) {
	for receive(requests) != "" {
		writeRaw(conn, hingeAnswer)
	}
}

// resetRequest resets the connection after the first request.
func resetRequest(conn *net.TCPConn, requests *bufio.Reader) {
	receive(requests)
	reset(conn)
}

// exchangeHinge sends a request and accepts any answer with a body of up to limit
// bytes.
func exchangeHinge(connection *backendhttp.Connection, limit int) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("/hinge")
	request.Header.SetHost(connection.Address)

	return connection.ExchangeWhole(request, response, backendhttp.LimitBody(limit), func(*fasthttp.Response) bool { return true })
}

func open(t *testing.T, connection *backendhttp.Connection) {
	t.Helper()
	assert.NilError(t, connection.Open(t.Context(), time.Now().Add(time.Second)))
}

// TestAnAttemptCancelledWhileItsConnectionFails guards against a nil pointer
// dereference in the goroutine that aborts the connection.
func TestAnAttemptCancelledWhileItsConnectionFails(t *testing.T) {
	tests := map[string]struct {
		serve connHandler
		fail  func(t *testing.T, connection *backendhttp.Connection)
	}{
		"closed by its owner": {
			serve: answerHinge,
			fail:  func(_ *testing.T, connection *backendhttp.Connection) { connection.Close() },
		},
		"reset by the remote side": {
			serve: resetRequest,
			fail: func(t *testing.T, connection *backendhttp.Connection) {
				t.Helper()
				assert.Assert(t, exchangeHinge(connection, hingeLimit) != nil)
			},
		},
		"body above the limit": {
			serve: answerHinge,
			fail: func(t *testing.T, connection *backendhttp.Connection) {
				t.Helper()
				assert.Assert(t, exchangeHinge(connection, hingeLimit-1) != nil)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			connection := backendhttp.NewConnection(listen(t, test.serve))
			open(t, connection)
			ctx, cancel := context.WithCancel(t.Context())
			settle := backendhttp.AbortOnCancel(ctx, connection)
			test.fail(t, connection)
			cancel()
			settle()
		})
	}
}

// TestAnAbortSparesLaterAttempts checks that an abort closes only the socket that
// its attempt used.
func TestAnAbortSparesLaterAttempts(t *testing.T) {
	tests := map[string]func(t *testing.T, connection *backendhttp.Connection){
		"cancelled after the socket was replaced": func(t *testing.T, connection *backendhttp.Connection) {
			t.Helper()
			ctx, cancel := context.WithCancel(t.Context())
			settle := backendhttp.AbortOnCancel(ctx, connection)
			connection.Close()
			open(t, connection)
			cancel()
			settle()
		},
		"cancelled after it was given back": func(t *testing.T, connection *backendhttp.Connection) {
			t.Helper()
			ctx, cancel := context.WithCancel(t.Context())
			settle := backendhttp.AbortOnCancel(ctx, connection)
			assert.NilError(t, exchangeHinge(connection, hingeLimit))
			settle()
			open(t, connection)
			cancel()
		},
		"cancelled after the whole answer and before it was given back": func(t *testing.T, connection *backendhttp.Connection) {
			t.Helper()
			ctx, cancel := context.WithCancel(t.Context())
			settle := backendhttp.AbortOnCancel(ctx, connection)
			assert.NilError(t, exchangeHinge(connection, hingeLimit))
			cancel()
			settle()
			open(t, connection)
		},
	}
	for name, cancelEarlier := range tests {
		t.Run(name, func(t *testing.T) {
			connection := backendhttp.NewConnection(listen(t, answerHinge, answerHinge))
			open(t, connection)
			cancelEarlier(t, connection)
			assert.NilError(t, exchangeHinge(connection, hingeLimit))
			connection.Close()
		})
	}
}

// TestAbortsRaceWithTheOwner cancels attempts at any moment of their exchanges, for
// the race detector.
func TestAbortsRaceWithTheOwner(t *testing.T) {
	const attempts = 200
	serve := make([]connHandler, attempts)
	for i := range serve {
		serve[i] = answerHinge
		if i%2 == 1 {
			serve[i] = resetRequest
		}
	}
	connection := backendhttp.NewConnection(listen(t, serve...))
	defer connection.Close()
	for i := range attempts {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Microsecond)
		if connection.Open(ctx, time.Now().Add(time.Second)) == nil {
			settle := backendhttp.AbortOnCancel(ctx, connection)
			_ = exchangeHinge(connection, hingeLimit) // cancelled or reset
			settle()
		}
		cancel()
	}
}
