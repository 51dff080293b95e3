package jsonhttp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
)

// answerRaw answers one request with bytes, and then closes or resets the connection.
func answerRaw(listener net.Listener, raw string, resets bool) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if !resets {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, raw) // the client may have closed it
	if resets {
		time.Sleep(50 * time.Millisecond) // the bytes arrive before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a broken answer of a store or of an operator's host that is taken for
// what it states.
func TestBrokenAnswersAreErrors(t *testing.T) {
	tests := map[string]struct {
		raw    string
		resets bool
		whole  bool
	}{
		"blank in a name":            {raw: okHead + "X Odd: 1\r\nContent-Length: 2\r\n\r\n{}"},
		"blank behind the length":    {raw: okHead + "Content-Length : 2\r\n\r\n{}"},
		"control byte in a name":     {raw: okHead + "X-\x01Odd: 1\r\nContent-Length: 2\r\n\r\n{}"},
		"interim, blank in a name":   {raw: "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\n{}"},
		"trailer, blank in a name":   {raw: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Sum: 1\r\n\r\n"},
		"status 000":                 {raw: "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}"},
		"cut length":                 {raw: okHead + "Content-Length: 3\r\n\r\n{}"},
		"no last chunk":              {raw: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
		"no length, reset":           {raw: okHead + "\r\n{}", resets: true},
		"whole: length":              {raw: okHead + "Content-Length: 2\r\n\r\n{}", whole: true},
		"whole: length, then reset":  {raw: okHead + "Content-Length: 2\r\n\r\n{}", resets: true, whole: true},
		"whole: end of connection":   {raw: okHead + "\r\n{}", whole: true},
		"whole: chunks and trailers": {raw: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n", whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go answerRaw(listener, test.raw, test.resets)
			client := jsonhttp.NewClient(listener.Addr().String(), "", 5*time.Second)
			defer client.Close()
			size := 10
			if test.resets {
				size = 16 << 20 // sending it blocks until the reset
			}
			response, err := client.Do(http.MethodPost, "/", make([]byte, size))
			if !test.whole {
				assert.Assert(t, err != nil, "taken as %d %q", response.Status, response.Body)

				return
			}
			assert.NilError(t, err)
			assert.Equal(t, string(response.Body), "{}")
		})
	}
}
