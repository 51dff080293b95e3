package edge

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// soon is the time within which requests that are read ahead become calls. It allows
	// for a busy machine; a poll takes disconnectPollInterval.
	soon = 80 * time.Millisecond
	// never is how long a test waits for what must not happen.
	never = 150 * time.Millisecond
)

// get returns a request without a body.
func get(target string, fields ...string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n" + strings.Join(append(fields, "", ""), "\r\n")
}

// gets returns a number of requests for /0, /1 and so on.
func gets(count int, fields ...string) string {
	var text strings.Builder
	for i := range count {
		text.WriteString(get(fmt.Sprintf("/%d", i), fields...))
	}

	return text.String()
}

// pipeliner is a caller that pipelines.
type pipeliner struct {
	*net.TCPConn
	front  *testFront
	reader *bufio.Reader
}

// dial opens a connection that is closed when the test ends.
func (f *testFront) dial(t *testing.T) *pipeliner {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))

	return &pipeliner{TCPConn: conn.(*net.TCPConn), front: f, reader: bufio.NewReader(conn)}
}

// send sends text at once.
func (p *pipeliner) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(p, text)
	assert.NilError(t, err)
}

// receive reads the response to a request for a target.
func (p *pipeliner) receive(t *testing.T, target string) {
	t.Helper()
	status, body := readResponse(t, p.reader)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, target)
}

// next returns the next input of the calls duty, or nil if there is none in a time.
func (f *testFront) next(within time.Duration) Input {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	input, err := f.inputs.Take(ctx)
	if err != nil {
		return nil
	}

	return input
}

// arrived returns the next call, which must come soon and be for a target.
func (f *testFront) arrived(t *testing.T, target string, ahead bool) CallArrived {
	t.Helper()
	arrived, ok := f.next(soon).(CallArrived)
	assert.Assert(t, ok, "no call for %s", target)
	assert.Equal(t, arrived.Request.Target, target)
	assert.Equal(t, arrived.Ahead, ahead)

	return arrived
}

// quiet checks that the calls duty gets no input.
func (f *testFront) quiet(t *testing.T) {
	t.Helper()
	input := f.next(never)
	assert.Assert(t, input == nil, "%+v", input)
}

// assertUnused checks how much is still read ahead, and how many calls were not used.
func (f *testFront) assertUnused(t *testing.T, ahead, unused int) {
	t.Helper()
	assert.Equal(t, f.aheadRequests.Load(), int64(ahead))
	var text strings.Builder
	f.metrics.Write(&text)
	if unused > 0 {
		assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf("baobabdrum_unused_calls_ahead_total %d\n", unused)))
	} else {
		assert.Assert(t, !strings.Contains(text.String(), "baobabdrum_unused_calls_ahead_total"))
	}
}

// Guards against pipelined requests that wait for each other, and against responses out
// of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	for _, count := range []int{5, 3} {
		caller.send(t, gets(count))
		calls := make([]CallArrived, 0, count)
		for i := range count {
			calls = append(calls, front.arrived(t, fmt.Sprintf("/%d", i), i > 0))
		}
		for i := range calls {
			answer(calls[count-1-i])
		}
		for i := range calls {
			caller.receive(t, fmt.Sprintf("/%d", i))
		}
	}
	front.assertUnused(t, 0, 0)
}

// Guards against a response that is held back until the next one, which is what the HTTP
// server does while it has bytes of another request.
func TestAResponseDoesNotWaitForTheNext(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	caller.send(t, gets(2))
	first := front.arrived(t, "/0", false)
	front.arrived(t, "/1", true)
	answer(first)
	caller.receive(t, "/0")
}

// Guards against memory and calls that grow with what a caller sends without reading
// responses, and against requests that are lost at a bound.
func TestBoundsOfReadingAhead(t *testing.T) {
	large := "X-Fill: " + strings.Repeat("x", 10<<10)
	tests := map[string]struct {
		requests string
		count    int
		open     int64
		least    int
		most     int
	}{
		"requests of a connection": {requests: gets(60), count: 60, least: maxAheadRequests, most: maxAheadRequests},
		"bytes of a connection":    {requests: gets(30, large), count: 30, least: 5, most: 8},
		"requests of a host":       {requests: gets(20), count: 20, open: maxHostAheadRequests - 3, least: 3, most: 3},
		"host at its bound":        {requests: gets(20), count: 20, open: maxHostAheadRequests},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			front := newTestFront(t)
			front.aheadRequests.Store(test.open)
			caller := front.dial(t)
			caller.send(t, test.requests)
			calls := []CallArrived{front.arrived(t, "/0", false)}
			for input := front.next(never); input != nil; input = front.next(never) {
				calls = append(calls, input.(CallArrived))
			}
			ahead := len(calls) - 1
			assert.Assert(t, ahead >= test.least && ahead <= test.most, "%d read ahead", ahead)
			for _, call := range calls {
				answer(call)
			}
			front.answerAll(t)
			for i := range test.count {
				caller.receive(t, fmt.Sprintf("/%d", i))
			}
			front.assertUnused(t, int(test.open), 0)
			assert.Equal(t, front.budget.Used(), 0)
		})
	}
}

// Guards against requests that run before those before them, although these or they
// themselves may change something.
func TestRequestsThatWaitForTheirTurn(t *testing.T) {
	post := "POST /post HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\n\r\nhello"
	tests := map[string]struct {
		text   string
		target string
	}{
		"POST":                    {text: post, target: "/post"},
		"POST without a body":     {text: "POST /post HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n", target: "/post"},
		"GET with a body":         {text: get("/body", "Content-Length: 3") + "abc", target: "/body"},
		"chunks":                  {text: "POST /post HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", target: "/post"},
		"bare line feeds":         {text: "GET /bare HTTP/1.1\nHost: a.example\n\n", target: "/bare"},
		"announced body":          {text: "POST /post HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello", target: "/post"},
		"target with a host name": {text: "GET http://a.example/other HTTP/1.1\r\nHost: a.example\r\n\r\n", target: "http://a.example/other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			front := newTestFront(t)
			caller := front.dial(t)
			caller.send(t, get("/before")+test.text+get("/after"))
			before := front.arrived(t, "/before", false)
			front.quiet(t)
			answer(before)
			caller.receive(t, "/before")
			call := front.arrived(t, test.target, false)
			if call.Request.Method == http.MethodPost {
				front.quiet(t)
			}
			answer(call)
			if strings.Contains(test.text, "Expect") {
				_, err := caller.reader.Discard(len("HTTP/1.1 100 Continue\r\n\r\n"))
				assert.NilError(t, err)
			}
			caller.receive(t, test.target)
			arrived := front.next(soon).(CallArrived)
			assert.Equal(t, arrived.Request.Target, "/after")
			answer(arrived)
			caller.receive(t, "/after")
			front.assertUnused(t, 0, 0)
		})
	}
}

// Guards against a deferred call that is not made again, is made before its turn, or
// whose time begins anew.
func TestADeferredCallArrivesAgain(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	caller.send(t, gets(3))
	calls := []CallArrived{front.arrived(t, "/0", false), front.arrived(t, "/1", true), front.arrived(t, "/2", true)}
	assert.NilError(t, calls[1].Reply.Offer(Reply{Outcome: placement.Deferred{}}))
	answer(calls[2])
	front.quiet(t)
	answer(calls[0])
	caller.receive(t, "/0")
	again := front.arrived(t, "/1", false)
	assert.Assert(t, again.Call != calls[1].Call)
	assert.Equal(t, again.Request.Deadline, calls[1].Request.Deadline)
	assert.Assert(t, again.ReadFor >= never, "%s", again.ReadFor)
	answer(again)
	caller.receive(t, "/1")
	caller.receive(t, "/2")
}

// Guards against requests that run after a response that closes the connection, and
// against responses that are lost because unread requests reset it.
func TestAResponseThatClosesEndsThePipeline(t *testing.T) {
	tests := map[string]struct {
		second string
		fails  bool
		unused int
	}{
		"requested by the caller": {second: get("/1", "Connection: close")},
		"call without an answer":  {second: get("/1"), fails: true, unused: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			front := newTestFront(t)
			caller := front.dial(t)
			caller.send(t, get("/0")+test.second+get("/2")+get("/3"))
			first, second := front.arrived(t, "/0", false), front.arrived(t, "/1", true)
			for i := range test.unused {
				front.arrived(t, fmt.Sprintf("/%d", i+2), true)
			}
			caller.send(t, strings.Repeat(get("/unread"), 4000))
			if test.fails {
				_ = second.Reply.Offer(Reply{Outcome: placement.Abandoned{}})
			} else {
				answer(second)
			}
			answer(first)
			caller.receive(t, "/0")
			response, err := http.ReadResponse(caller.reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, response.Close)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			rest, err := io.ReadAll(caller.reader)
			assert.NilError(t, err)
			assert.Equal(t, string(rest), "")
			for input := front.next(never); input != nil; input = front.next(never) {
				arrived, isCall := input.(CallArrived)
				assert.Assert(t, !isCall || arrived.Ahead, "%+v", input)
			}
			assert.Equal(t, front.aheadRequests.Load(), int64(0))
		})
	}
}

// Guards against calls that go on for callers that have left.
func TestAllCallsOfACallerThatLeavesAreCancelled(t *testing.T) {
	tests := map[string]func(caller *pipeliner) error{
		"closed":      func(caller *pipeliner) error { return caller.Close() },
		"half closed": func(caller *pipeliner) error { return caller.CloseWrite() },
		"reset": func(caller *pipeliner) error {
			return errors.Join(caller.SetLinger(0), caller.Close())
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			front := newTestFront(t)
			caller := front.dial(t)
			caller.send(t, gets(4))
			calls := map[placement.CallID]CallArrived{}
			for i := range 4 {
				call := front.arrived(t, fmt.Sprintf("/%d", i), i > 0)
				calls[call.Call] = call
			}
			assert.NilError(t, leave(caller))
			abandoned := make([]CallArrived, 0, len(calls))
			for range 4 {
				left, ok := front.next(soon).(CallerLeft)
				assert.Assert(t, ok)
				call, open := calls[left.Call]
				assert.Assert(t, open)
				delete(calls, left.Call)
				abandoned = append(abandoned, call)
			}
			for _, call := range abandoned {
				_ = call.Reply.Offer(Reply{Outcome: placement.Abandoned{}}) // the ring has room
			}
			for end := time.Now().Add(time.Second); front.connections.Open() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
				continue
			}
			assert.Equal(t, front.connections.Open(), 0)
			assert.Equal(t, front.aheadRequests.Load(), int64(0))
		})
	}
}

// Guards against bytes that are noticed only with the next response: those after the
// read of the first request by the first poll, and later ones at once.
func TestBytesThatArriveLater(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	caller.send(t, get("/0"))
	calls := []CallArrived{front.arrived(t, "/0", false)}
	caller.send(t, get("/1"))
	found, ok := front.next(disconnectPollInterval + soon).(CallArrived)
	assert.Assert(t, ok)
	calls = append(calls, found)
	for i := 2; i < 6; i++ {
		target := fmt.Sprintf("/%d", i)
		text := get(target)
		caller.send(t, text[:10])
		time.Sleep(5 * time.Millisecond)
		caller.send(t, text[10:])
		calls = append(calls, front.arrived(t, target, true))
	}
	for i, call := range calls {
		answer(call)
		caller.receive(t, fmt.Sprintf("/%d", i))
	}
	caller.send(t, get("/6"))
	last := front.arrived(t, "/6", false)
	caller.send(t, get("/7"))
	answer(front.arrived(t, "/7", true))
	answer(last)
	caller.receive(t, "/6")
	caller.receive(t, "/7")
}

// Guards against callers with two requests open at a time that are never noticed: each
// call ends before the first poll, and each read of the server returns one request.
func TestTwoRequestsAtATime(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	caller.send(t, get("/0"))
	first := front.arrived(t, "/0", false)
	caller.send(t, get("/1"))
	time.Sleep(10 * time.Millisecond)
	answer(first)
	caller.receive(t, "/0")
	open := front.arrived(t, "/1", false)
	for i := 2; i < 6; i++ {
		target := fmt.Sprintf("/%d", i)
		caller.send(t, get(target))
		next := front.arrived(t, target, true)
		answer(open)
		caller.receive(t, fmt.Sprintf("/%d", i-1))
		open = next
	}
}

// Guards against a next request that escapes the limits because it was read ahead.
func TestLimitsOfRequestsReadAhead(t *testing.T) {
	limits := schema.CallerLimits{HeaderTimeoutMs: 200, HeaderBytes: 2000, IdleTimeoutMs: 400}
	tests := map[string]struct {
		next   string
		status int
	}{
		"head that is too large":     {next: get("/1", "X-Fill: "+strings.Repeat("x", 3000)), status: http.StatusRequestHeaderFieldsTooLarge},
		"head that never ends":       {next: get("/1")[:20], status: http.StatusRequestTimeout},
		"head that is malformed":     {next: "nonsense\r\n\r\n", status: http.StatusBadRequest},
		"malformed field":            {next: get("/1", "X-A: \x01"), status: http.StatusBadRequest},
		"body that is not announced": {next: "\x00\x00\x00\r\n\r\n", status: http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			front := newTestFront(t, func(front *callerFront) { front.limits.apply(limits) })
			caller := front.dial(t)
			caller.send(t, get("/0")+test.next)
			first := front.arrived(t, "/0", false)
			front.quiet(t)
			answer(first)
			caller.receive(t, "/0")
			began := time.Now()
			status, _ := readResponse(t, caller.reader)
			assert.Equal(t, status, test.status)
			if status == http.StatusRequestTimeout {
				assert.Assert(t, time.Since(began) >= 150*time.Millisecond, "after %s", time.Since(began))
			}
			assert.Equal(t, front.aheadRequests.Load(), int64(0))
		})
	}
}

// Guards against a pipelining connection that is taken for idle, closed for a new one or
// kept open without end.
func TestAPipelineIsIdleOnlyWhenItIsAnswered(t *testing.T) {
	front := newTestFront(t, func(front *callerFront) { front.limits.apply(schema.CallerLimits{IdleTimeoutMs: 300}) })
	caller := front.dial(t)
	caller.send(t, gets(2))
	first, second := front.arrived(t, "/0", false), front.arrived(t, "/1", true)
	assert.Equal(t, front.connections.Busy(), 1)
	answer(first)
	caller.receive(t, "/0")
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, front.connections.Busy(), 1)
	answer(second)
	caller.receive(t, "/1")
	began := time.Now()
	rest, err := io.ReadAll(caller.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
	assert.Assert(t, time.Since(began) >= 200*time.Millisecond && time.Since(began) < time.Second, "closed after %s", time.Since(began))
}

// Guards against a caller that does not read its responses and holds what was read ahead
// for longer than the write timeout.
func TestACallerThatDoesNotReadIsClosed(t *testing.T) {
	front := newTestFront(t, func(front *callerFront) { front.server.WriteTimeout = 300 * time.Millisecond })
	caller := front.dial(t)
	caller.send(t, gets(8))
	body := strings.Repeat("x", 32<<20)
	for i := range 8 {
		call := front.arrived(t, fmt.Sprintf("/%d", i), i > 0)
		call.Request.Target = body
		if i < 4 {
			answer(call)
		}
	}
	for range 4 {
		_, ok := front.next(3 * time.Second).(CallerLeft)
		assert.Assert(t, ok)
	}
	front.assertUnused(t, 0, 7)
}

// Guards against a planned stop that reads further requests ahead, closes a connection
// before the requests read ahead are answered, or loses responses by a reset.
func TestAPlannedStopAnswersWhatWasReadAhead(t *testing.T) {
	front := newTestFront(t)
	caller := front.dial(t)
	caller.send(t, gets(3))
	calls := []CallArrived{front.arrived(t, "/0", false), front.arrived(t, "/1", true), front.arrived(t, "/2", true)}
	front.stopping.Store(true)
	caller.send(t, strings.Repeat(get("/later"), 2000))
	front.stop()
	front.quiet(t)
	for i, call := range calls {
		time.Sleep(30 * time.Millisecond) // the server closes idle connections meanwhile
		answer(call)
		response, err := http.ReadResponse(caller.reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(body), fmt.Sprintf("/%d", i))
		assert.Equal(t, response.Close, i == 2)
	}
	rest, err := io.ReadAll(caller.reader)
	assert.NilError(t, err, "the connection was reset")
	assert.Equal(t, string(rest), "")
	front.quiet(t)
	assert.NilError(t, caller.Close())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = front.ended.Take(ctx)
	assert.NilError(t, err, "the front did not end")
	front.assertUnused(t, 0, 0)
}

// Guards against the reply to a call that was started for another request.
func TestACallForAnotherRequestIsNotTakenOver(t *testing.T) {
	front := newTestFront(t)
	conn := &tcp.ServedConn{}
	p := front.newPipeline(conn)
	p.started = []*aheadCall{{head: []byte(get("/a")), call: 1}, {head: []byte(get("/b")), call: 2}}
	front.aheadRequests.Store(2)
	ctx := &fasthttp.RequestCtx{}
	ctx.Init2(conn, discardLogger{}, true)
	assert.NilError(t, ctx.Request.Header.Read(bufio.NewReader(strings.NewReader(get("/other")))))
	assert.Assert(t, !front.serveAhead(ctx))
	for id := range 2 {
		assert.Equal(t, front.next(soon).(CallerLeft).Call, placement.CallID(id+1))
	}
	assert.Assert(t, conn.Requests.Undivided())
	front.assertUnused(t, 0, 2)
}

// Guards against heads that are taken for equal.
func TestIsHead(t *testing.T) {
	tests := map[string]struct {
		text, other string
		same        bool
	}{
		"equal":             {text: get("/a?b=1", "X-A: 1", "x-b:\t2 "), other: get("/a?b=1", "X-A: 1", "x-b:\t2 "), same: true},
		"other method":      {text: get("/a"), other: strings.Replace(get("/a"), "GET", "HEAD", 1)},
		"other target":      {text: get("/a"), other: get("/b")},
		"other field":       {text: get("/a", "X-A: 1"), other: get("/a", "X-A: 2")},
		"other letter case": {text: get("/a", "X-A: 1"), other: get("/a", "x-a: 1")},
		"one field more":    {text: get("/a"), other: get("/a", "X-A: 1")},
		"one field less":    {text: get("/a", "X-A: 1"), other: get("/a")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			parsed := &fasthttp.RequestHeader{}
			assert.NilError(t, parsed.Read(bufio.NewReader(strings.NewReader(test.other))))
			assert.Equal(t, isHead([]byte(test.text), parsed), test.same)
		})
	}
}
