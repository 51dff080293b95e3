package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/tcp"
)

// Guards against a process that stays after its planned stop until the probes in
// flight time out, and reads requests meanwhile that nobody answers.
func TestProbesEndWithTheHost(t *testing.T) {
	listener, err := tcp.Listen(t.Context(), "127.0.0.1:0") // nobody accepts
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	duty := &prober{connections: backendhttp.NewConnections(1)}
	began := time.Now()
	ended := duty.probe(ctx, placement.Probe{Server: "a", Address: listener.Addr().String(), Path: "/", Connections: 1, Timeout: 2 * time.Second})
	assert.Assert(t, !ended.Answered)
	assert.Assert(t, time.Since(began) < time.Second, "the probe took %s", time.Since(began))
}

// Guards against a backend server that counts as healthy for a broken answer to a probe.
func TestBrokenAnswersToProbes(t *testing.T) {
	const okHead = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		raw     string
		resets  bool
		healthy bool
	}{
		"blank in a name":          {raw: okHead + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		"blank behind the length":  {raw: okHead + "Content-Length : 2\r\n\r\nok"},
		"control byte in a name":   {raw: okHead + "X-\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok"},
		"interim, blank in a name": {raw: "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\n" + okHead + "Content-Length: 2\r\n\r\nok"},
		"trailer, blank in a name": {raw: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Sum: 1\r\n\r\n"},
		"status 000":               {raw: "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok"},
		"cut length":               {raw: okHead + "Content-Length: 3\r\n\r\nok"},
		"no last chunk":            {raw: okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"},
		"no length, reset":         {raw: okHead + "\r\nok", resets: true},
		"length":                   {raw: okHead + "Content-Length: 2\r\n\r\nok", healthy: true},
		"end of the connection":    {raw: okHead + "\r\nok", healthy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := tcp.Listen(t.Context(), "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn)) // a failure shows in the result
				_, _ = io.WriteString(conn, test.raw)          // as above
				if test.resets {
					time.Sleep(50 * time.Millisecond) // the bytes arrive before the reset
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
			duty := &prober{connections: backendhttp.NewConnections(1), adapter: Adapter{
				AnswersProbe: func(*fasthttp.Response) bool { return true },
				DecodeProbe: func(response *fasthttp.Response, server string) placement.ProbeEnded {
					return placement.ProbeEnded{Server: server, Answered: true, Healthy: response.StatusCode() == http.StatusOK}
				},
			}}
			ended := duty.probe(t.Context(), placement.Probe{Server: "a", Address: listener.Addr().String(), Path: "/", Connections: 1, Timeout: 2 * time.Second})
			assert.DeepEqual(t, ended, placement.ProbeEnded{Server: "a", Answered: test.healthy, Healthy: test.healthy})
		})
	}
}
