package tcp

import (
	"bytes"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Attach makes an HTTP server use the set, which replaces the server's read timeouts up
// to the end of the head of a request. The body must arrive within a time of its own.
func (s *ConnectionSet) Attach(server *fasthttp.Server, bodyTimeout time.Duration) {
	server.ReadTimeout, server.IdleTimeout = 0, 0
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: bodyTimeout}
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

// HTTPRefusal returns an HTTP response that refuses a connection for lack of room, with
// further header fields.
func HTTPRefusal(retryAfter time.Duration, fields map[string]string) []byte {
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.Header.SetNoDefaultContentType(true)
	response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	for name, value := range fields {
		response.Header.Set(name, value)
	}
	response.SetConnectionClose()
	var text bytes.Buffer
	_, _ = response.WriteTo(&text) // writing to a buffer does not fail

	return text.Bytes()
}
