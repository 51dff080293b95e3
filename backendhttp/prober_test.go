package backendhttp_test

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
)

func TestProberReportsHealth(t *testing.T) {
	answering := func(raw string) connHandler {
		return func(conn *net.TCPConn, requests *bufio.Reader) {
			if receive(requests) == "/health" {
				writeRaw(conn, raw)
			}
		}
	}
	tests := map[string]struct {
		serve   connHandler
		timeout time.Duration
		busy    bool
		want    bool
	}{
		"healthy":                 {serve: answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), want: true},
		"healthy, without a body": {serve: answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), want: true},
		"error status":            {serve: answering("HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")},
		"no response":             {serve: answering(""), timeout: settleTime},
		"incomplete response":     {serve: answering("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"), timeout: settleTime},
		"blank in a name":         {serve: answering("HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n")},
		"blank behind the length": {serve: answering("HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n")},
		"blank in a trailer":      {serve: answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n")},
		"status 000":              {serve: answering("HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n")},
		"reset":                   {serve: func(conn *net.TCPConn, _ *bufio.Reader) { reset(conn) }},
		"all connections of this host in use": {
			serve: answering(""), busy: true, want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address := listen(t, test.serve)
			prober := &backendhttp.Prober{
				Probes:      ring.New[dispatch.Probe]("probers", 1),
				Reports:     ring.New[dispatch.Input]("dispatch", 1),
				Connections: backendhttp.NewConnections(1),
			}
			if test.busy {
				_, err := prober.Connections.Acquire(address)
				assert.NilError(t, err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			duties := group.New(ctx)
			duties.Go("prober", prober.Run)
			probe := dispatch.Probe{Address: address, Timeout: 5 * time.Second}
			if test.timeout > 0 {
				probe.Timeout = test.timeout
			}
			assert.NilError(t, prober.Probes.Offer(probe))
			waiting, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			report, err := prober.Reports.Take(waiting)
			assert.NilError(t, err)
			assert.DeepEqual(t, report, dispatch.Input(dispatch.Probed{Address: address, Healthy: test.want}))
			cancel()
			assert.NilError(t, duties.Wait())
		})
	}
}
