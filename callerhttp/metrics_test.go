package callerhttp_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/schema"
)

func TestRequestsAreCounted(t *testing.T) {
	tests := map[string]struct {
		path    string
		headers string
		raw     string
		want    []string
	}{
		"answered": {
			path: "/call/catalogue/stock", raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
			want: []string{
				`baobabdrum_calls_total{service="catalogue",outcome="answered",reason=""} 1`,
				`baobabdrum_attempts_total{result="whole"} 1`,
				`baobabdrum_added_latency_seconds_count 1`,
			},
		},
		"cut": {
			path: "/call/catalogue/stock", raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
			want: []string{
				`baobabdrum_calls_total{service="catalogue",outcome="unknown",reason="cut"} 1`,
				`baobabdrum_attempts_total{result="cut"} 1`,
				`baobabdrum_added_latency_seconds_count 0`,
			},
		},
		"unknown service is not a label": {
			path: "/call/no-such/stock",
			want: []string{`baobabdrum_calls_total{service="",outcome="not_run",reason="unknown_service"} 1`},
		},
		"malformed": {
			path: "/call/catalogue/stock", headers: "Baobabdrum-Deadline-Ms: soon\r\n",
			want: []string{`baobabdrum_rejected_requests_total{reason="invalid"} 1`},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, func(_ context.Context, _ *http.Request, conn *net.TCPConn) {
				writeRaw(conn, test.raw)
				closeFake(conn)
			})
			s := newStack(t, schema.BackendServer{Address: server.address, Slots: 1})
			defer s.metrics.Expose()()
			conn := s.connect(t, http.MethodPost, test.path, test.headers+"Content-Length: 0\r\n")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			var text bytes.Buffer
			metrics.WritePrometheus(&text, false)
			for _, want := range test.want {
				assert.Assert(t, cmp.Contains(text.String(), want+"\n"))
			}
		})
	}
}
