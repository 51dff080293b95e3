package backendhttp_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/dispatch"
)

const (
	okHead  = "HTTP/1.1 200 OK\r\n"
	chunked = okHead + "Transfer-Encoding: chunked\r\n\r\n"
	// longBody is a body size in bytes that the sender streams instead of buffering.
	longBody = 200_000
)

// sized returns a response with a content length.
func sized(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body)
}

func TestSenderReportsWhatArrived(t *testing.T) {
	long := strings.Repeat("x", longBody)
	tests := map[string]struct {
		method string
		raw    string
		end    func(conn *net.TCPConn)
		want   string
		body   string
	}{
		"content length":                          {raw: sized("stock"), want: "Whole", body: "stock"},
		"content length, then closed":             {raw: sized("stock"), end: closeConn, want: "Whole", body: "stock"},
		"empty body":                              {raw: sized(""), want: "Whole"},
		"content length, long":                    {raw: sized(long), want: "Whole", body: long},
		"chunked":                                 {raw: chunked + "5\r\nstock\r\n0\r\n\r\n", want: "Whole", body: "stock"},
		"chunked, then closed":                    {raw: chunked + "5\r\nstock\r\n0\r\n\r\n", end: closeConn, want: "Whole", body: "stock"},
		"chunked, long":                           {raw: chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", longBody, long), want: "Whole", body: long},
		"content length, closed early":            {raw: sized("stock")[:len(sized("stock"))-1], end: closeConn, want: "Cut"},
		"content length, closed after the head":   {raw: okHead + "Content-Length: 5\r\n\r\n", end: closeConn, want: "Cut"},
		"content length, long, closed early":      {raw: sized(long)[:longBody], end: closeConn, want: "Cut"},
		"content length, long, reset early":       {raw: sized(long)[:longBody], end: resetLate, want: "Cut"},
		"chunked, closed between chunks":          {raw: chunked + "5\r\nstock\r\n", end: closeConn, want: "Cut"},
		"chunked, closed before a chunk's CRLF":   {raw: chunked + "5\r\nstock", end: closeConn, want: "Cut"},
		"chunked, closed within a chunk size":     {raw: chunked + "5\r\nstock\r\n1", end: closeConn, want: "Cut"},
		"chunked, closed within the last chunk":   {raw: chunked + "5\r\nstock\r\n0\r\n", end: closeConn, want: "Cut"},
		"chunked, long, closed between chunks":    {raw: chunked + fmt.Sprintf("%x\r\n%s\r\n", longBody, long), end: closeConn, want: "Cut"},
		"chunked, malformed chunk size":           {raw: chunked + "zz\r\nstock\r\n0\r\n\r\n", want: "Cut"},
		"neither length nor chunks, closed":       {raw: okHead + "Connection: close\r\n\r\nstock", end: closeConn, want: "Cut"},
		"neither length nor chunks, long, closed": {raw: okHead + "Connection: close\r\n\r\n" + long, end: closeConn, want: "Cut"},
		"neither length nor chunks, reset":        {raw: okHead + "Connection: close\r\n\r\nstock", end: resetLate, want: "Cut"},
		"closed before the head":                  {end: closeConn, want: "Cut"},
		"reset before the head":                   {end: reset, want: "Cut"},
		"closed within the head":                  {raw: "HTTP/1.1 200 OK\r\nContent-Le", end: closeConn, want: "Cut"},
		"malformed head":                          {raw: "\x16\x03\x01 not HTTP\r\n\r\n", want: "Cut"},
		"status 000":                              {raw: "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\nstock", want: "Cut"},
		"blank in a name":                         {raw: okHead + "X Odd: 1\r\nContent-Length: 5\r\n\r\nstock", want: "Cut"},
		"blank behind the content length":         {raw: okHead + "Content-Length : 5\r\n\r\nstock", want: "Cut"},
		"blank before the content length":         {raw: okHead + "X-Odd: 1\r\n Content-Length: 5\r\n\r\nstock", want: "Cut"},
		"control byte in a name":                  {raw: okHead + "X-\x01Odd: 1\r\nContent-Length: 5\r\n\r\nstock", want: "Cut"},
		"interim response, blank in a name":       {raw: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + sized("stock"), want: "Cut"},
		"trailer, blank in a name":                {raw: chunked + "5\r\nstock\r\n0\r\nX Sum: 1\r\n\r\n", want: "Cut"},
		"trailer, blank behind a name":            {raw: chunked + "5\r\nstock\r\n0\r\nX-Sum : 1\r\n\r\n", want: "Cut"},
		"malformed content length":                {raw: okHead + "Content-Length: five\r\n\r\nstock", want: "Cut"},
		"conflicting content lengths":             {raw: okHead + "Content-Length: 5\r\nContent-Length: 3\r\n\r\nstock", want: "Cut"},
		"content length and chunked":              {raw: okHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstock\r\n0\r\n\r\n", want: "Whole", body: "stock"},
		"interim response before the final one":   {raw: "HTTP/1.1 103 Early Hints\r\n\r\n" + sized("stock"), want: "Whole", body: "stock"},
		"interim response only":                   {raw: "HTTP/1.1 100 Continue\r\n\r\n", end: closeConn, want: "Cut"},
		"switched protocol":                       {raw: "HTTP/1.1 101 Switching Protocols\r\n\r\n", want: "Cut"},
		"head incomplete at the deadline":         {raw: okHead + "Content-Length: 5\r\n", want: "TimedOut"},
		"body incomplete at the deadline":         {raw: okHead + "Content-Length: 5\r\n\r\nsto", want: "TimedOut"},
		"HEAD":                                    {method: http.MethodHead, raw: okHead + "Content-Length: 5\r\n\r\n", want: "Whole"},
		"HEAD chunked":                            {method: http.MethodHead, raw: chunked, want: "Whole"},
		"no content":                              {raw: "HTTP/1.1 204 No Content\r\n\r\n", want: "Whole"},
		"not modified":                            {raw: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", want: "Whole"},
		"shed":                                    {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 0\r\n\r\n", want: "Shed"},
		"shed, body":                              {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 4\r\n\r\nbusy", want: "Shed"},
		"shed, chunks":                            {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n", want: "Shed"},
		"shed, closed early":                      {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 9\r\n\r\n", end: closeConn, want: "Cut"},
		"shed, no last chunk":                     {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n", end: closeConn, want: "Cut"},
		"shed, malformed trailer":                 {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n", want: "Cut"},
		"shed, neither length nor chunks":         {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\n\r\nbusy", end: closeConn, want: "Cut"},
		"shed, long body":                         {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1_000_000), want: "Shed"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			method := test.method
			if method == "" {
				method = http.MethodGet
			}
			s := newSender(t, listen(t, func(conn *net.TCPConn, requests *bufio.Reader) {
				receive(requests)
				writeRaw(conn, test.raw)
				if test.end != nil {
					test.end(conn)
				}
			}))
			s.start(t, method, "/", 500*time.Millisecond)
			got := s.wait(t)
			assert.Equal(t, resultName(got.result), test.want)
			assert.Equal(t, got.whole, test.want == "Whole")
			if got.whole {
				assert.Assert(t, got.body == test.body, "%d bytes", len(got.body))
			}
		})
	}
}

func TestSenderNeverReportsAnotherRequestsResponse(t *testing.T) {
	answered := func(conn *net.TCPConn, requests *bufio.Reader) {
		for path := receive(requests); path != ""; path = receive(requests) {
			writeRaw(conn, sized(path))
		}
	}
	after := func(extra func(conn *net.TCPConn)) connHandler {
		return func(conn *net.TCPConn, requests *bufio.Reader) {
			writeRaw(conn, sized(receive(requests)))
			extra(conn)
			answered(conn, requests)
		}
	}
	tests := map[string]struct {
		first connHandler
		// gone is the result of the first attempt if it gets no response.
		gone string
		// cancel is true if the first attempt is cancelled.
		cancel bool
	}{
		"kept alive": {first: answered},
		"second response sent at once": {first: func(conn *net.TCPConn, requests *bufio.Reader) {
			path := receive(requests)
			writeRaw(conn, sized(path)+sized(path))
			answered(conn, requests)
		}},
		"truncated second response sent at once": {first: func(conn *net.TCPConn, requests *bufio.Reader) {
			path := receive(requests)
			writeRaw(conn, sized(path)+"HTTP/1.1 200 OK\r\nContent-Le")
			time.Sleep(2 * settleTime)
			answered(conn, requests)
		}},
		"second response while idle":     {first: after(func(conn *net.TCPConn) { time.Sleep(settleTime / 3); writeRaw(conn, sized("/another")) })},
		"single byte while idle":         {first: after(func(conn *net.TCPConn) { time.Sleep(settleTime / 3); writeRaw(conn, "x") })},
		"second response, then closed":   {first: after(func(conn *net.TCPConn) { writeRaw(conn, sized("/another")); closeConn(conn) })},
		"closed while idle":              {first: after(closeConn)},
		"reset while idle":               {first: after(reset)},
		"half closed while idle":         {first: after(func(conn *net.TCPConn) { _ = conn.CloseWrite() })},
		"timed out, response late":       {gone: "TimedOut", first: respondAfter(6 * settleTime)},
		"cancelled, response late":       {gone: "Cancelled", cancel: true, first: respondAfter(6 * settleTime)},
		"extra bytes after the response": {first: after(func(conn *net.TCPConn) { writeRaw(conn, "stock") })},
		"response with Connection: close": {first: func(conn *net.TCPConn, requests *bufio.Reader) {
			receive(requests)
			writeRaw(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\n/one")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSender(t, listen(t, test.first, answered))
			first := s.start(t, http.MethodPost, "/one", 4*settleTime)
			if test.cancel {
				time.Sleep(settleTime)
				first.Cancel()
			}
			got := s.wait(t)
			if test.gone != "" {
				assert.Equal(t, resultName(got.result), test.gone)
			} else {
				assert.Equal(t, got.body, "/one")
			}
			time.Sleep(settleTime)
			for _, path := range []string{"/two", "/three"} {
				s.start(t, http.MethodPost, path, time.Second)
				got = s.wait(t)
				assert.Equal(t, resultName(got.result), "Whole")
				assert.Equal(t, got.body, path)
			}
		})
	}
}

func TestSenderReportsUnsentOnlyIfNoByteWasSent(t *testing.T) {
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := refusing.Addr().String()
	assert.NilError(t, refusing.Close())
	silent := listen(t, func(*net.TCPConn, *bufio.Reader) {})

	tests := map[string]struct {
		address string
		timeout time.Duration
		cancel  bool
		busy    bool
		want    string
		local   bool
	}{
		"connection refused":               {address: refused, timeout: time.Second, want: "Unsent"},
		"deadline passed":                  {address: silent, timeout: -time.Second, want: "Unsent", local: true},
		"cancelled before sending":         {address: silent, timeout: time.Second, cancel: true, want: "Unsent", local: true},
		"all connections in use":           {address: silent, timeout: time.Second, busy: true, want: "Unsent", local: true},
		"connection accepted, no response": {address: silent, timeout: settleTime, want: "TimedOut"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSender(t, test.address)
			if test.busy {
				_, err := s.connections.Acquire(test.address)
				assert.NilError(t, err)
			}
			if test.cancel {
				attempt := cancelledAttempt(test.address)
				assert.NilError(t, s.attempts.Put(t.Context(), attempt))
			} else {
				s.start(t, http.MethodPost, "/", test.timeout)
			}
			got := s.wait(t)
			assert.Equal(t, resultName(got.result), test.want)
			unsent, ok := got.result.(backend.Unsent)
			assert.Assert(t, !ok || unsent.Local == test.local)
		})
	}
}

func TestSenderReadsAShedResponseToAnUnfinishedRequest(t *testing.T) {
	tests := map[string]struct {
		raw  string
		want string
	}{
		"shed":                    {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", want: "Shed"},
		"shed, body":              {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 4\r\n\r\nbusy", want: "Shed"},
		"shed, cut length":        {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 9\r\n\r\nbusy", want: "Cut"},
		"shed, no last chunk":     {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n", want: "Cut"},
		"shed, no length":         {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\n\r\nbusy", want: "Cut"},
		"no length":               {raw: "HTTP/1.1 200 OK\r\n\r\nbody", want: "Cut"},
		"another status":          {raw: "HTTP/1.1 500 Failed\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", want: "Cut"},
		"no response":             {want: "Cut"},
		"truncated shed response": {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\n", want: "Cut"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSender(t, listen(t, func(conn *net.TCPConn, requests *bufio.Reader) {
				receive(requests)
				writeRaw(conn, test.raw)
				time.Sleep(settleTime)
				_ = conn.Close()
			}))
			attempt := dispatch.NewAttempt(dispatch.Attempt{
				Address:  s.address,
				Request:  &dispatch.Request{Method: http.MethodPost, Target: "/", Body: make([]byte, 64<<20)},
				Deadline: time.Now().Add(5 * time.Second),
			})
			assert.NilError(t, s.attempts.Put(t.Context(), attempt))
			assert.Equal(t, resultName(s.wait(t).result), test.want)
		})
	}
}

// closeConn closes the connection once the bytes already sent have arrived.
func closeConn(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	time.Sleep(settleTime)
	_ = conn.Close()
}

// resetLate resets the connection once the bytes already sent have arrived.
func resetLate(conn *net.TCPConn) {
	time.Sleep(settleTime)
	reset(conn)
}

// respondAfter delays the response to the first request and then responds to
// further ones without delay.
func respondAfter(delay time.Duration) connHandler {
	return func(conn *net.TCPConn, requests *bufio.Reader) {
		path := receive(requests)
		time.Sleep(delay)
		writeRaw(conn, sized(path))
		for path = receive(requests); path != ""; path = receive(requests) {
			writeRaw(conn, sized(path))
		}
	}
}

// resultName returns the name of a result's type.
func resultName(result backend.Result) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", result), "backend.")
}
