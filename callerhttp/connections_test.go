package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

// Guards against a host whose descriptors callers use up with connections that they
// keep, idle or at work.
func TestCallersConnectionsAreBounded(t *testing.T) {
	const bound = 4
	tests := map[string]struct {
		work   time.Duration
		status int
	}{
		"idle connections make room":        {work: time.Millisecond, status: http.StatusOK},
		"calls at work keep their own ones": {work: time.Second, status: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inputs := ring.New[dispatch.Input]("dispatch", 1024)
			listener := listen(t)
			ctx, stop := context.WithCancel(t.Context())
			front := callerhttp.New(inputs, 5*time.Second, 1<<20)
			front.MaxConnections = bound
			var running sync.WaitGroup
			running.Go(func() { assert.Check(t, front.Run(ctx, listener)) })
			running.Go(func() { answerCalls(ctx, inputs, test.work) })
			defer func() {
				stop()
				running.Wait()
			}()
			conns := make([]net.Conn, 0, bound)
			send := func() net.Conn {
				conn, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				t.Cleanup(func() { _ = conn.Close() })
				_, err = fmt.Fprint(conn, "GET /call/orders/x HTTP/1.1\r\nHost: a.example\r\n\r\n")
				assert.NilError(t, err)

				return conn
			}
			for range bound {
				conns = append(conns, send())
				if test.status == http.StatusOK {
					response, err := http.ReadResponse(bufio.NewReader(conns[len(conns)-1]), nil)
					assert.NilError(t, err)
					assert.NilError(t, response.Body.Close())
				}
			}
			time.Sleep(100 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(send()), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, test.status)
			if test.status == http.StatusServiceUnavailable {
				assert.Equal(t, response.Header.Get(callerhttp.HeaderOutcome), "not_run")
				for _, conn := range conns {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					assert.NilError(t, err)
					assert.NilError(t, response.Body.Close())
					assert.Equal(t, response.StatusCode, http.StatusOK)
				}
			}
		})
	}
}
