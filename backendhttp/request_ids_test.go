package backendhttp_test

import (
	"bufio"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
)

// Guards against a response that cannot be told from a second copy of an earlier
// one: no connection carries a request ID twice.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	many := make([]string, 0, 257)
	for i := range cap(many) {
		many = append(many, strconv.Itoa(i))
	}
	tests := map[string]struct {
		ids         []string
		connections int64
	}{
		"other IDs":          {ids: []string{"a", "b", "c"}, connections: 1},
		"the same ID":        {ids: []string{"a", "a"}, connections: 2},
		"an earlier ID":      {ids: []string{"a", "b", "c", "a", "b"}, connections: 2},
		"no ID":              {ids: []string{"a", "", "b", ""}, connections: 3},
		"the most IDs":       {ids: many[:256], connections: 1},
		"more than the most": {ids: many, connections: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var opened atomic.Int64
			serve := func(conn *net.TCPConn, requests *bufio.Reader) {
				opened.Add(1)
				for receive(requests) != "" {
					writeRaw(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
			connection := backendhttp.NewConnection(listen(t, serve, serve, serve))
			defer connection.Close()
			for _, id := range test.ids {
				assert.NilError(t, connection.OpenFor(t.Context(), time.Now().Add(time.Second), id))
				var request fasthttp.Request
				var response fasthttp.Response
				request.SetRequestURI("/")
				request.Header.SetHost("a.example")
				acceptAny := func(*fasthttp.Response) bool { return true }
				assert.NilError(t, connection.ExchangeWhole(&request, &response, backendhttp.LimitBody(maxBodySize), acceptAny))
			}
			assert.Equal(t, opened.Load(), test.connections)
		})
	}
}
