package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// startBackend starts a backend server with the given service time and returns
// it with its address.
func startBackend(t *testing.T, took time.Duration) (*Backend, string) {
	t.Helper()
	settings := schema.BackendSettings{Slots: 4, Connections: 16, ServiceTime: took}
	backend := &Backend{
		settings: settings, requests: ring.New[serverRequest]("server", 64),
		server: NewServer(time.Now(), settings, rand.New(rand.NewPCG(1, 1))), //nolint:gosec // a simulation
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	duties := group.New(ctx)
	duties.Go("server", backend.runServer)
	duties.Go("front", func(ctx context.Context) error {
		limited := &limitedListener{Listener: listener, backend: backend}

		return backend.serviceApp().Listener(limited, fiber.ListenConfig{DisableStartupMessage: true, GracefulContext: ctx, ShutdownTimeout: shutdownTimeout})
	})
	t.Cleanup(func() {
		cancel()
		_ = duties.Wait()
	})

	return backend, listener.Addr().String()
}

// record returns the run record of the server.
func record(b *Backend) schema.RunRecord {
	record, _ := queryServer(b, func(s *Server, now time.Time) schema.RunRecord { return s.Record(now) })

	return record
}

func TestCallFreesItsSlot(t *testing.T) {
	t.Parallel()
	const packBytes = 32 << 20
	for name, test := range map[string]struct {
		took      time.Duration
		path      string
		deadline  string
		fault     string
		read      int64
		status    int
		cancelled int
		expired   int
	}{
		"when the answer is sent":                             {path: "/item", read: answerSize, status: http.StatusOK},
		"when a pack is sent":                                 {path: fmt.Sprint("/pack/", packBytes), read: packBytes, status: http.StatusOK},
		"when the caller closes the connection":               {took: time.Hour, path: "/item", cancelled: 1},
		"when the caller closes the connection during a pack": {path: fmt.Sprint("/pack/", packBytes), read: packBytes / 4, status: http.StatusOK, cancelled: 1},
		"when the deadline passes":                            {took: time.Hour, path: "/item", deadline: "20", status: http.StatusGatewayTimeout, expired: 1},
		"when the answer is cut":                              {path: "/item", fault: faultCut, read: answerSize / 2, status: http.StatusOK},
		"when a pack is cut":                                  {path: fmt.Sprint("/pack/", packBytes), fault: faultCut, read: packBytes / 2, status: http.StatusOK},
		"when the server fails fast":                          {path: "/item", fault: faultFailFast, status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, address := startBackend(t, test.took)
			assert.NilError(t, updateServer(backend, func(s *Server, now time.Time) {
				s.Inject(now, schema.BackendFault{Kind: test.fault, ForMs: 60_000})
			}))
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nEcho: 7\r\nBaobabdrum-Deadline-Ms: %s\r\n\r\n", test.path, test.deadline)
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if record(backend).Calls == 1 {
					return poll.Success()
				}

				return poll.Continue("the call has not arrived")
			})
			if test.status != 0 {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				defer response.Body.Close()
				assert.Equal(t, response.StatusCode, test.status)
				assert.Equal(t, response.Header.Get(HeaderEcho), "7")
				count, _ := io.CopyN(io.Discard, response.Body, test.read)
				assert.Equal(t, count, test.read)
			}
			assert.NilError(t, conn.Close())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				now := record(backend)
				if now.InFlight == 0 && now.Cancelled == test.cancelled && now.Expired == test.expired {
					return poll.Success()
				}

				return poll.Continue("in flight %d, cancelled %d, expired %d", now.InFlight, now.Cancelled, now.Expired)
			}, poll.WithTimeout(5*time.Second))
		})
	}
}
