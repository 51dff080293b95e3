package callerhttp_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
)

// BenchmarkCall measures sequential calls through the caller front, the dispatch
// duty, a sender and a fake backend server. The work of the fake server and of
// the caller is included.
func BenchmarkCall(b *testing.B) {
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstock")
	server := newFakeServer(b, func(_ context.Context, _ *http.Request, conn *net.TCPConn) {
		_, _ = conn.Write(answer)
	})
	s := newStack(b, schema.BackendServer{Address: server.address, Slots: 4})
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(b, err)
	defer conn.Close()
	request := []byte("GET /call/catalogue/stock HTTP/1.1\r\nHost: test\r\nAccept: */*\r\n\r\n")
	answers := bufio.NewReader(conn)
	b.ReportAllocs()
	for b.Loop() {
		_, err := conn.Write(request)
		assert.NilError(b, err)
		response, err := http.ReadResponse(answers, nil)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(b, err)
		assert.NilError(b, response.Body.Close())
	}
}
