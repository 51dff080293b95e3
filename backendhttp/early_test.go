package backendhttp_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
)

// uploadSize is the size in bytes of a body that exceeds the buffers of a socket, so
// that sending it blocks until the backend server reads or ends the connection.
const uploadSize = 64 << 20

// earlyEnds are the ways in which a backend server ends a connection on which it has
// sent an early response. The uploads to it are blocked then.
var earlyEnds = map[string]func(conn *net.TCPConn){
	"reset":              reset,
	"closed with unread": func(conn *net.TCPConn) { _ = conn.Close() }, // which the kernel turns into a reset
	"ended, then reset":  closeConn,
	"ended, then read": func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		discard(conn)
	},
}

// discard reads a connection to its end.
func discard(conn *net.TCPConn) {
	buffer := make([]byte, 1<<20)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// upload sends a request with a body to a backend server that responds with raw bytes
// before it has read the body, and then ends the connection.
func upload(t *testing.T, size int, raw string, kept bool, end func(conn *net.TCPConn)) (*backendhttp.Connection, string, error) {
	t.Helper()
	connection := backendhttp.NewConnection(listen(t, func(conn *net.TCPConn, requests *bufio.Reader) {
		if receive(requests) == firstPath {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 5\r\n\r\nfirst")
			receive(requests)
		}
		writeRaw(conn, raw)
		time.Sleep(settleTime)
		end(conn)
	}))
	t.Cleanup(connection.Close)
	assert.NilError(t, connection.Open(t.Context(), time.Now().Add(10*time.Second)))
	if kept {
		body, err := exchangeCut(connection, http.MethodGet, firstPath)
		assert.NilError(t, err)
		assert.Equal(t, body, "first")
		assert.NilError(t, connection.Open(t.Context(), time.Now().Add(10*time.Second)))
	}
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(http.MethodPost)
	request.SetRequestURI("/")
	request.Header.SetHost("a.example")
	request.SetBodyRaw(make([]byte, size))
	err := connection.ExchangeWhole(&request, &response, backendhttp.LimitBody(maxBodySize), matchesRequest)

	return connection, string(response.Body()), err
}

// Guards against a part of a response that is taken for a complete one, and against the
// loss of a complete one, because sending the request failed at the same time.
func TestResponsesBeforeTheRequestWasSent(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: wanted\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	tests := map[string]struct {
		raw string
		// orderly is true if only an orderly end of the connection completes the
		// response, and cut if nothing does.
		orderly, cut bool
	}{
		"no length":                 {raw: head + "\r\nbody", orderly: true},
		"no length, close":          {raw: head + "Connection: close\r\n\r\nbody", orderly: true},
		"no length, HTTP/1.0":       {raw: "HTTP/1.0 200 OK\r\nId: wanted\r\n\r\nbody", orderly: true},
		"no length, behind interim": {raw: "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\nbody", orderly: true},
		"no length, failure":        {raw: "HTTP/1.1 500 Failed\r\nId: wanted\r\n\r\nbody", orderly: true},
		"length":                    {raw: head + "Content-Length: 4\r\n\r\nbody"},
		"chunks":                    {raw: chunked + "4\r\nbody\r\n0\r\n\r\n"},
		"chunks and trailers":       {raw: chunked + "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n"},
		"cut length":                {raw: head + "Content-Length: 5\r\n\r\nbody", cut: true},
		"cut chunk":                 {raw: chunked + "5\r\nbody", cut: true},
		"no last chunk":             {raw: chunked + "4\r\nbody\r\n", cut: true},
		"cut last chunk":            {raw: chunked + "4\r\nbody\r\n0\r\n", cut: true},
		"cut trailers":              {raw: chunked + "4\r\nbody\r\n0\r\nX-Sum: 1\r\n", cut: true},
		"cut head":                  {raw: head, cut: true},
		"switched protocol":         {raw: "HTTP/1.1 101 Switching Protocols\r\nId: wanted\r\n\r\n", cut: true},
	}
	for name, test := range tests {
		for end, finish := range earlyEnds {
			for _, kept := range []bool{false, true} {
				t.Run(name+", "+end+map[bool]string{true: ", kept connection"}[kept], func(t *testing.T) {
					connection, body, err := upload(t, uploadSize, test.raw, kept, finish)
					if end != "ended, then read" {
						assert.Assert(t, connection.Sent() > 0 && connection.Sent() < uploadSize, "%d bytes were sent", connection.Sent())
					}
					ordered := end == "ended, then reset" || end == "ended, then read"
					if test.cut || test.orderly && !ordered {
						assert.Assert(t, err != nil, "taken as %q", body)

						return
					}
					assert.NilError(t, err)
					assert.Equal(t, body, "body")
				})
			}
		}
	}
}

// Guards against a part of a response that is taken for a complete one when the
// connection is reset after the whole request was sent.
func TestResponsesWithoutLengthThatAreReset(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for name, size := range map[string]int{"no body": 0, "body within the buffers": 32 << 10} {
			t.Run(name+map[bool]string{true: ", kept connection"}[kept], func(t *testing.T) {
				_, body, err := upload(t, size, "HTTP/1.1 200 OK\r\nId: wanted\r\n\r\nbody", kept, reset)
				assert.Assert(t, err != nil, "taken as %q", body)
			})
		}
	}
}
