package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/schema"
)

// secretKey is a key that must not appear in the log.
const secretKey = "k3y-0f-acme"

// loggedBy returns the lines that a log holds.
func loggedBy(t *testing.T, log *eventlog.Log, written *bytes.Buffer) string {
	t.Helper()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, log.Run(ended), context.Canceled)

	return written.String()
}

// newBufferedLog returns a log and the buffer to which it writes when it is run.
func newBufferedLog() (*eventlog.Log, *bytes.Buffer) {
	var written bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&written)

	return eventlog.New(logrus.NewEntry(logger)), &written
}

// Guards against a 4xx that no line of the log explains, and against a key in the line.
func TestRejectedRequestsAreLogged(t *testing.T) {
	const key = "Authorization: Token " + secretKey + "\r\n"
	const head = "POST /a HTTP/1.1\r\nHost: a.example\r\n" + key
	tests := map[string]struct {
		request string
		status  int
		line    []string
	}{
		"method": {request: "G(T /a HTTP/1.1\r\nHost: a.example\r\n" + key + "\r\n", status: http.StatusBadRequest, line: []string{
			"reason=malformed", "status=400", `error="unsupported http request method"`, "head_bytes=70", "pipelining=false", "unlogged=0",
		}},
		"version":           {request: "GET /a HTTP/x\r\nHost: a.example\r\n" + key + "\r\n", status: http.StatusBadRequest, line: []string{`error="unsupported http version"`}},
		"key as field name": {request: "GET /a HTTP/1.1\r\nHost: a.example\r\n" + secretKey + "(: a\r\n\r\n", status: http.StatusBadRequest, line: []string{`error="malformed mime header"`}},
		"two host names":    {request: "GET /a HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n" + key + "\r\n", status: http.StatusBadRequest, line: []string{`error="too many host headers"`}},
		"no host name":      {request: "GET /a HTTP/1.1\r\n" + key + "\r\n", status: http.StatusBadRequest, line: []string{`error="missing required host header"`}},
		"length":            {request: head + "Content-Length: x" + secretKey + "\r\n\r\n", status: http.StatusBadRequest, line: []string{`error="cannot parse content-length"`}},
		"transfer encoding": {request: head + "Transfer-Encoding: " + secretKey + "\r\n\r\n", status: http.StatusBadRequest, line: []string{`error="unsupported transfer-encoding"`, "undivided=true"}},
		"head over the limit": {request: head + "X-Fill: " + strings.Repeat("x", 1000) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge, line: []string{
			"reason=header_bytes", "status=431", `error="head exceeds the declared limit"`, "head_bytes=1081",
		}},
		"head over the buffer": {request: head + "X-Fill: " + strings.Repeat("x", 40000) + "\r\n\r\n", status: http.StatusRequestHeaderFieldsTooLarge, line: []string{`error="head exceeds the read buffer"`}},
		"body over the limit": {request: head + "Content-Length: 2001\r\n\r\n" + strings.Repeat("x", 2001), status: http.StatusRequestEntityTooLarge, line: []string{
			"reason=body_bytes", "status=413", `error="announced body exceeds the declared limit"`,
		}},
		"chunk": {request: head + "Transfer-Encoding: chunked\r\n\r\n" + secretKey + "\r\n", status: http.StatusBadRequest, line: []string{
			"reason=malformed", `error="body is malformed"`, "undivided=true",
		}},
		"head not in time": {request: head, status: http.StatusRequestTimeout, line: []string{"reason=header_timeout", "status=408", `error="request was not complete in time"`, "head_bytes=69"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			log, written := newBufferedLog()
			front := newTestFront(t, func(front *callerFront) {
				front.log = log
				front.limits.apply(schema.CallerLimits{HeaderBytes: 1000, BodyBytes: 2000, HeaderTimeoutMs: 200})
			})
			front.answerAll(t)
			caller := front.dial(t)
			caller.send(t, test.request)
			response, err := http.ReadResponse(caller.reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.status)
			lines := loggedBy(t, log, written)
			assert.Equal(t, strings.Count(lines, "event=request_rejected"), 1, lines)
			for _, want := range test.line {
				assert.Assert(t, strings.Contains(lines, want), "%s in %s", want, lines)
			}
			assert.Assert(t, !strings.Contains(lines, secretKey), lines)
		})
	}
}

// Guards against a rejection beside pipelined requests that looks like any other.
func TestARejectionBesidePipelinedRequestsIsMarked(t *testing.T) {
	log, written := newBufferedLog()
	front := newTestFront(t, func(front *callerFront) { front.log = log })
	caller := front.dial(t)
	caller.send(t, get("/a")+get("/b")+"GET /c HTTP/x\r\nHost: a.example\r\n\r\n")
	answer(front.arrived(t, "/a", false))
	answer(front.arrived(t, "/b", true))
	caller.receive(t, "/a")
	caller.receive(t, "/b")
	response, err := http.ReadResponse(caller.reader, nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	lines := loggedBy(t, log, written)
	assert.Assert(t, strings.Contains(lines, "pipelining=true"), lines)
}

// Guards against a log that grows with the number of malformed requests.
func TestLinesAboutRejectedRequestsAreBounded(t *testing.T) {
	const requests = eventlog.MaxBurstLines + 10
	log, written := newBufferedLog()
	front := newTestFront(t, func(front *callerFront) { front.log = log })
	for range requests {
		caller := front.dial(t)
		caller.send(t, "GET /a HTTP/x\r\n\r\n")
		_, err := io.Copy(io.Discard, caller.reader)
		assert.NilError(t, err)
	}
	assert.Equal(t, strings.Count(loggedBy(t, log, written), "event=request_rejected"), eventlog.MaxBurstLines)
	assert.Assert(t, hasMetric(front.metrics, fmt.Sprintf(`baobabdrum_rejected_requests_total{reason="malformed"} %d`, requests)))
	unlogged, ok := front.rejections.Next(time.Now().Add(eventlog.BurstInterval))
	assert.Assert(t, ok)
	assert.Equal(t, unlogged, uint64(requests-eventlog.MaxBurstLines))
}
