package tcp

import (
	"bytes"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// BodyTimeout is the time in which a caller must send the body of a request.
const BodyTimeout = 10 * time.Second

// Attach makes an HTTP server use the set. The set replaces the server's read timeouts
// up to the end of the head of a request.
func (s *ConnectionSet) Attach(server *fasthttp.Server) {
	server.ReadTimeout, server.IdleTimeout = 0, 0
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: BodyTimeout}
	}
	server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		served, ok := conn.(*ServedConn)
		switch {
		case !ok:
		case state == fasthttp.StateActive:
			served.Begin()
		case state == fasthttp.StateIdle:
			served.Rest()
		}
	}
}

// HTTPRefusal returns an HTTP response that refuses a connection for lack of room.
func HTTPRefusal(retryAfter time.Duration) []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	response.SetConnectionClose()
	var text bytes.Buffer
	_, _ = response.WriteTo(&text) // writing to a buffer does not fail

	return text.Bytes()
}
