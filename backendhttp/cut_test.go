package backendhttp_test

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
)

const (
	// stallTimeout is the time after which an exchange whose response stalls ends.
	stallTimeout = 400 * time.Millisecond
	// exchangesAtOnce is the number of concurrent exchanges of one test.
	exchangesAtOnce = 32
	// firstPath is the path of a request that is answered completely.
	firstPath = "/first"
)

// bodySize is the size in bytes of a body that exceeds the read buffer.
const bodySize = 20 << 10

// cuttable is a complete response that the tests cut.
type cuttable struct {
	raw    string
	method string
	// endsWithConnection is true if the body has no length, so that a cut behind the
	// head cannot be told from its end.
	endsWithConnection bool
	// step is the distance of cuts within the body.
	step int
}

// cuttables are complete responses by their framing.
var cuttables = map[string]cuttable{
	"length":                   {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 12\r\n\r\ntwelve bytes"},
	"length before the id":     {raw: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: wanted\r\n\r\ntwelve bytes"},
	"no body":                  {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 0\r\n\r\n"},
	"no reason":                {raw: "HTTP/1.1 200\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody"},
	"chunks":                   {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n2\r\nxy\r\n0\r\n\r\n"},
	"chunks and trailers":      {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4;a=b\r\nbody\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"},
	"end of the connection":    {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nConnection: close\r\n\r\nbody", endsWithConnection: true},
	"interim responses before": {raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: wanted\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody"},
	"failure":                  {raw: "HTTP/1.1 500 Internal Server Error\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody"},
	"no content":               {raw: "HTTP/1.1 204 No Content\r\nId: wanted\r\n\r\n"},
	"not modified":             {raw: "HTTP/1.1 304 Not Modified\r\nId: wanted\r\nContent-Length: 4\r\n\r\n"},
	"to HEAD":                  {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\n", method: http.MethodHead},
	"line ends before":         {raw: "\r\n\r\nHTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody"},
	"larger than the buffer":   {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 20480\r\n\r\n" + strings.Repeat("x", bodySize), step: 1021},
	"chunks beyond the buffer": {raw: "HTTP/1.1 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\n\r\n5000\r\n" + strings.Repeat("x", bodySize) + "\r\n0\r\n\r\n", step: 1021},
}

// cuts returns the positions at which the tests cut the response: each byte of its
// heads, and of its body in steps.
func (c cuttable) cuts() []int {
	var positions []int
	head := strings.LastIndex(c.raw[:min(len(c.raw), 400)], "\r\n\r\n") + 4
	for at := 0; at < len(c.raw); at++ {
		if at <= head || c.step == 0 || (at-head)%c.step == 0 || len(c.raw)-at < 10 {
			positions = append(positions, at)
		}
	}

	return positions
}

// headLength returns the number of bytes up to the end of the last head.
func (c cuttable) headLength() int {
	return strings.LastIndex(c.raw, "\r\n\r\n") + 4
}

// cutEnds are the ways in which a cut response ends.
var cutEnds = map[string]func(conn *net.TCPConn){
	"closed":      func(conn *net.TCPConn) { _ = conn.Close() },
	"half closed": func(conn *net.TCPConn) { _ = conn.CloseWrite() },
	"reset":       reset,
	"stalled":     func(*net.TCPConn) {},
}

// exchangeCut sends a request on an open connection and reads a response that the
// backend server cuts.
func exchangeCut(connection *backendhttp.Connection, method, path string) (string, error) {
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(method)
	request.SetRequestURI(path)
	request.Header.SetHost("a.example")
	err := connection.ExchangeWhole(&request, &response, backendhttp.LimitBody(maxBodySize), matchesRequest)

	return string(response.Body()), err
}

// Guards against a response that the backend server broke off at any byte, and that
// is taken for a complete one.
func TestCutResponsesAreNeverComplete(t *testing.T) {
	for name, whole := range cuttables {
		for end, finish := range cutEnds {
			for _, kept := range []bool{false, true} {
				t.Run(name+", "+end+map[bool]string{true: ", kept connection"}[kept], func(t *testing.T) {
					t.Parallel()
					checkCuts(t, whole, end, finish, kept)
				})
			}
		}
	}
}

// serveCuts serves a connection. It answers the request for firstPath, and cuts the
// response at the byte that is the path of another request.
func (c cuttable) serveCuts(finish func(*net.TCPConn)) connHandler {
	return func(conn *net.TCPConn, requests *bufio.Reader) {
		path := receive(requests)
		if path == firstPath {
			writeRaw(conn, "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 5\r\n\r\nfirst")
			path = receive(requests)
		}
		if at, err := strconv.Atoi(strings.TrimPrefix(path, "/")); err == nil {
			writeRaw(conn, c.raw[:at])
			finish(conn)
		}
	}
}

// checkCuts cuts a response at each position.
func checkCuts(t *testing.T, whole cuttable, end string, finish func(*net.TCPConn), kept bool) {
	t.Helper()
	positions := whole.cuts()
	address := listen(t, slices.Repeat([]connHandler{whole.serveCuts(finish)}, len(positions))...)
	exchanges := pool.New().WithMaxGoroutines(exchangesAtOnce)
	defer exchanges.Wait()
	for _, at := range positions {
		exchanges.Go(func() { whole.checkCut(t, address, end, at, kept) })
	}
}

// checkCut cuts a response at one position.
func (c cuttable) checkCut(t *testing.T, address, end string, at int, kept bool) {
	t.Helper()
	connection := backendhttp.NewConnection(address)
	defer connection.Close()
	if !assert.Check(t, connection.Open(t.Context(), time.Now().Add(5*time.Second))) {
		return
	}
	if kept {
		body, err := exchangeCut(connection, http.MethodGet, firstPath)
		assert.Check(t, err)
		assert.Check(t, body == "first")
	}
	if end == "stalled" && !assert.Check(t, connection.Open(t.Context(), time.Now().Add(stallTimeout))) {
		return
	}
	method := c.method
	if method == "" {
		method = http.MethodGet
	}
	body, err := exchangeCut(connection, method, "/"+strconv.Itoa(at))
	if c.endsWithConnection && at >= c.headLength() && strings.HasSuffix(end, "closed") {
		assert.Check(t, err, "cut at byte %d", at)
		assert.Check(t, body == c.raw[c.headLength():at])

		return
	}
	assert.Check(t, err != nil, "cut at byte %d of %q, and taken as %q", at, c.raw[:min(at, 400)], body)
}

// Guards against a check of cut responses that passes because nothing is accepted.
func TestUncutResponsesAreComplete(t *testing.T) {
	for name, whole := range cuttables {
		t.Run(name, func(t *testing.T) {
			connection := backendhttp.NewConnection(listen(t, func(conn *net.TCPConn, requests *bufio.Reader) {
				receive(requests)
				writeRaw(conn, whole.raw)
				closeConn(conn)
			}))
			defer connection.Close()
			assert.NilError(t, connection.Open(t.Context(), time.Now().Add(time.Second)))
			_, err := exchangeCut(connection, whole.method, "/")
			assert.NilError(t, err)
		})
	}
}

// Guards against heads that are read as something else than was sent: bytes that
// belong to two responses, or a status that is none.
func TestMalformedHeadsAreRejected(t *testing.T) {
	const rest = "Id: wanted\r\nContent-Length: 4\r\n\r\nbody"
	tests := map[string]string{
		"cut head before a response":            "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nX-" + "HTTP/1.1 200 OK\r\n" + rest,
		"cut value before a response":           "HTTP/1.1 503 Busy\r\nX-Refused: 1HTTP/1.1 200 OK\r\n" + rest,
		"cut name before a response":            "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nX-Odd:HTTP/1.1 200 OK\r\n" + rest,
		"cut status line before a response":     "HTTP/1.1 503 HTTP/1.1 200 OK\r\n" + rest,
		"cut value before status 0":             "HTTP/1.1 200 OK\r\nX-Odd: 1HTTP/1.1 000 None\r\n" + rest,
		"cut head before status 99":             "HTTP/1.1 200 OK\r\nX-Odd: 1\r\nX-" + "HTTP/1.1 099 None\r\n" + rest,
		"status 0 after an interim response":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" + rest,
		"signed status":                         "HTTP/1.1 +20 None\r\n" + rest,
		"status 0":                              "HTTP/1.1 000 None\r\n" + rest,
		"status below 100":                      "HTTP/1.1 099 None\r\n" + rest,
		"chunks that HTTP/1.0 does not know":    "HTTP/1.0 200 OK\r\nId: wanted\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
		"bare line feeds":                       "HTTP/1.1 200 OK\nId: wanted\nContent-Length: 4\n\nbody",
		"empty line that is a bare line feed":   "HTTP/1.1 200 OK\r\nId: wanted\r\n\nContent-Length: 4\r\n\r\nbody",
		"bare line feed at the end of a line":   "HTTP/1.1 200 OK\r\nId: wanted\nContent-Length: 4\r\n\r\nbody",
		"length in the middle of its digits":    "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4 4\r\n\r\nbody",
		"two lengths":                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + rest,
		"interim response with a body":          "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n" + rest,
		"interim response that is cut":          "HTTP/1.1 100 Continue\r\nHTTP/1.1 200 OK\r\n" + rest,
		"more interim responses than are usual": strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 200) + "HTTP/1.1 200 OK\r\n" + rest,
	}
	for name, raw := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := exchangeWith(t, raw, false, matchesRequest)
			assert.Assert(t, err != nil, "taken as %q", body)
		})
	}
}

// Guards against a refusal that breaks off at any byte, and whose status is taken for
// that of the response behind it.
func TestCutRefusalBeforeAResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbody"
	refusals := map[string]string{
		"unnamed, no body":   "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
		"unnamed, body":      "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nX-Refused: 1\r\n\r\nbusy",
		"unnamed, chunks":    "HTTP/1.1 429 Busy\r\nTransfer-Encoding: chunked\r\nX-Refused: 1\r\n\r\n4\r\nbusy\r\n0\r\nX-Sum: 1\r\n\r\n",
		"of another request": "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nContent-Length: 0\r\nId: other\r\n\r\n",
		"behind an interim":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 421 Misdirected\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			handlers := make([]connHandler, 0, len(refusal)+1)
			for at := range len(refusal) + 1 {
				handlers = append(handlers, func(conn *net.TCPConn, requests *bufio.Reader) {
					receive(requests)
					writeRaw(conn, refusal[:at]+response)
					_ = conn.CloseWrite()
				})
			}
			address, whole := listen(t, handlers...), 0
			for at := range len(refusal) + 1 {
				connection := backendhttp.NewConnection(address)
				status := 0
				assert.NilError(t, connection.Open(t.Context(), time.Now().Add(time.Second)))
				var request fasthttp.Request
				var got fasthttp.Response
				request.SetRequestURI("/")
				request.Header.SetHost("a.example")
				if connection.ExchangeWhole(&request, &got, backendhttp.LimitBody(maxBodySize), matchesRequest) == nil {
					status = got.StatusCode()
					whole++
				}
				assert.Assert(t, status == 0 || status == http.StatusOK && string(got.Body()) == "body", "status %d, cut at byte %d", status, at)
				connection.Close()
			}
			assert.Assert(t, whole >= 2, "%d responses were read", whole)
		})
	}
}

// Guards against a response that is taken for that to a request whose sending failed,
// although it is truncated or belongs to another request.
func TestResponsesToUnfinishedRequests(t *testing.T) {
	const wanted = "HTTP/1.1 503 Busy\r\nId: wanted\r\nContent-Length: 4\r\n\r\nbusy"
	tests := map[string]struct {
		raw   string
		taken bool
	}{
		"to this request":           {raw: wanted, taken: true},
		"interim responses before":  {raw: "HTTP/1.1 100 Continue\r\n\r\n" + wanted, taken: true},
		"behind another one's":      {raw: strings.Replace(wanted, "wanted", "other", 1) + wanted, taken: true},
		"to another request":        {raw: strings.Replace(wanted, "wanted", "other", 1)},
		"to no request":             {raw: strings.Replace(wanted, "Id: wanted\r\n", "", 1)},
		"truncated head":            {raw: wanted[:30]},
		"truncated body":            {raw: wanted[:len(wanted)-1]},
		"truncated one before this": {raw: wanted[:30] + wanted},
		"none":                      {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			connection := backendhttp.NewConnection(listen(t, func(conn *net.TCPConn, requests *bufio.Reader) {
				receive(requests)
				writeRaw(conn, test.raw)
				time.Sleep(settleTime)
				_ = conn.Close()
			}))
			defer connection.Close()
			assert.NilError(t, connection.Open(t.Context(), time.Now().Add(5*time.Second)))
			var request fasthttp.Request
			var response fasthttp.Response
			request.Header.SetMethod(http.MethodPost)
			request.SetRequestURI("/")
			request.Header.SetHost("a.example")
			request.SetBodyRaw(make([]byte, 64<<20))
			err := connection.ExchangeWhole(&request, &response, backendhttp.LimitBody(maxBodySize), matchesRequest)
			assert.Equal(t, err == nil, test.taken, "%v", err)
			assert.Assert(t, connection.Sent() > 0 && connection.Sent() < 64<<20)
			assert.Assert(t, err != nil || response.ConnectionClose())
		})
	}
}

// Guards against trailers that are taken for fields of the head, in which a backend
// server says to which request a response belongs.
func TestTrailersAreNotFieldsOfTheHead(t *testing.T) {
	tests := map[string]string{
		"announced":     "Trailer: Id\r\n",
		"not announced": "",
	}
	for name, announced := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := exchangeWith(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+announced+"\r\n4\r\nbody\r\n0\r\nId: wanted\r\n\r\n", false, matchesRequest)
			assert.Assert(t, err != nil)
		})
	}
}

// Guards against a response that the backend server broke off at any byte, and that
// a sender reports as complete or as shed.
func TestSenderNeverReportsCutResponsesAsComplete(t *testing.T) {
	wholes := map[string]cuttable{
		"length": cuttables["length"], "chunks": cuttables["chunks"], "chunks and trailers": cuttables["chunks and trailers"],
		"interim responses before": cuttables["interim responses before"], "failure": cuttables["failure"],
		"larger than the buffer": cuttables["larger than the buffer"],
		"streamed":               {raw: "HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n" + strings.Repeat("x", 700_000), step: 99_991},
		"shed":                   {raw: "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 4\r\n\r\nbusy"},
	}
	for name, whole := range wholes {
		for _, end := range []string{"closed", "reset"} {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				positions := whole.cuts()
				handlers := make([]connHandler, 0, len(positions))
				for _, at := range positions {
					handlers = append(handlers, func(conn *net.TCPConn, requests *bufio.Reader) {
						receive(requests)
						writeRaw(conn, whole.raw[:at])
						cutEnds[end](conn)
					})
				}
				s := newSender(t, listen(t, handlers...))
				for _, at := range positions {
					s.start(t, http.MethodPost, "/", time.Second)
					got := s.wait(t)
					result := resultName(got.result)
					assert.Equal(t, result, "Cut", "cut at byte %d", at)
					assert.Assert(t, !got.whole, "cut at byte %d", at)
				}
			})
		}
	}
}

// Guards against a second copy of a shed response that is taken for the response to
// the next request: responses to this front end name no request.
func TestSenderClosesTheConnectionOfAShedResponse(t *testing.T) {
	const shed = "HTTP/1.1 503 Busy\r\nBaobabdrum-Shed: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]time.Duration{"at once": 0, "while the next request runs": settleTime}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSender(t, listen(t, func(conn *net.TCPConn, requests *bufio.Reader) {
				receive(requests)
				writeRaw(conn, shed)
				time.Sleep(delay)
				writeRaw(conn, shed)
			}, respondAfter(0)))
			s.start(t, http.MethodPost, "/one", time.Second)
			assert.Equal(t, resultName(s.wait(t).result), "Shed")
			s.start(t, http.MethodPost, "/two", time.Second)
			got := s.wait(t)
			assert.Equal(t, resultName(got.result), "Whole")
			assert.Equal(t, got.body, "/two")
		})
	}
}
