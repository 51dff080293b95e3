package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// testSenders is the number of sender duties of a stack.
	testSenders = 8
	// testTimeout is the maximum duration of each wait.
	testTimeout = 5 * time.Second
	// bodyLimit is the maximum size in bytes of a request body.
	bodyLimit = 1 << 20
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, ignoredGoroutines()...)
}

// ignoredGoroutines excludes goroutines of fasthttp from the leak check: one lives
// as long as the process, the other ends by itself up to 10 s after its server.
func ignoredGoroutines() []goleak.Option {
	return []goleak.Option{
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	}
}

// stack is a caller front, a dispatch duty and senders in one process.
type stack struct {
	routes  *caller.Routes
	address string
	inputs  *ring.Ring[dispatch.Input]
	metrics *prometheus.Metrics
}

// newStack starts a stack that places calls of service catalogue on the backend
// server.
func newStack(t testing.TB, backendServer schema.BackendServer) *stack {
	t.Helper()

	return newStackWithTimeout(t, backendServer, testTimeout)
}

// newStackWithTimeout is newStack with a timeout for calls that state no deadline.
func newStackWithTimeout(t testing.TB, backendServer schema.BackendServer, callTimeout time.Duration) *stack {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &stack{address: listener.Addr().String(), inputs: ring.New[dispatch.Input]("dispatch", 1024), metrics: prometheus.New()}
	attempts := ring.New[*dispatch.Attempt]("senders", testSenders)
	connections := backendhttp.NewConnections(testSenders)
	ctx, stop := context.WithCancel(context.Background())
	duties := group.New(ctx)
	log := logrus.New()
	log.SetOutput(t.Output())
	probes := ring.New[dispatch.Probe]("probers", 1)
	pool := backend.NewPool(backend.Options{QueueLength: 16, Hosts: 1, Seed: 1})
	duty := dispatch.New(s.inputs, attempts, probes, caller.NewRouter("host-1", time.Second), pool, eventlog.New(log.WithField("test", t.Name())))
	duty.Metrics = prometheus.NewDispatch(s.metrics)
	duties.Go("dispatch", duty.Run)
	for range testSenders {
		duties.Go("sender", (&backendhttp.Sender{Attempts: attempts, Reports: s.inputs, Connections: connections}).Run)
	}
	duties.Go("caller front", func(ctx context.Context) error {
		front := callerhttp.New(s.inputs, callTimeout, bodyLimit)
		front.Metrics = s.metrics

		return front.Run(ctx, listener.(*net.TCPListener))
	})
	t.Cleanup(func() {
		stop()
		assert.Check(t, duties.Wait())
		connections.Close()
	})
	s.configure(t, backendServer)

	return s
}

// configure applies a configuration with one backend server.
func (s *stack) configure(t testing.TB, backendServer schema.BackendServer) {
	t.Helper()
	backendServer.Service, backendServer.DataCentre, backendServer.Connections = "catalogue", "mu-north", testSenders
	s.routes = caller.NewRoutes("host-1", schema.Configuration{
		Version:        1,
		Services:       []schema.Service{{Name: "catalogue", Idempotent: true}},
		DataCentres:    []schema.DataCentre{{Name: "mu-north", State: schema.DataCentreStateIn}},
		BackendServers: []schema.BackendServer{backendServer},
	}, nil, nil)
	s.setOwner(t, "host-1", s.address)
}

// setOwner makes the named host the only live one and so the owner of the cell.
func (s *stack) setOwner(t testing.TB, name, address string) {
	t.Helper()
	hosts := []schema.Host{{Name: name, DataCentre: "mu-north", CallerAddress: address, State: schema.HostStateLive}}
	assert.NilError(t, s.inputs.Offer(dispatch.Route{Routes: s.routes.WithHosts(hosts, nil)}))
}

// cell returns the dump of the only cell of the stack.
func (s *stack) cell(t *testing.T) schema.CellDump {
	t.Helper()
	reply := ring.New[[]schema.CellDump]("dump", 1)
	assert.NilError(t, s.inputs.Put(t.Context(), dispatch.Dump{Reply: reply}))
	cells, err := reply.Take(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(cells), 1)

	return cells[0]
}

// waitFor waits until the cell has the given numbers of calls in flight and queued.
func (s *stack) waitFor(t *testing.T, inFlight, queued int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		cell := s.cell(t)
		if cell.BackendServers[0].InFlight != inFlight || cell.Queued != queued {
			return poll.Continue("%d in flight, %d queued, want %d and %d", cell.BackendServers[0].InFlight, cell.Queued, inFlight, queued)
		}

		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(2*time.Millisecond))
}

// connect opens a caller connection and sends a request on it.
func (s *stack) connect(t *testing.T, method, path, headers string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(2*testTimeout)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: test\r\n%s\r\n", method, path, headers)
	assert.NilError(t, err)

	return conn.(*net.TCPConn)
}

// fakeServer is a backend server whose responses are written by a function.
type fakeServer struct {
	address string
	// ended receives an item for each connection that the host closes.
	ended *ring.Ring[error]
}

// newFakeServer starts a fake server that calls serve for each request.
func newFakeServer(t testing.TB, serve func(ctx context.Context, request *http.Request, conn *net.TCPConn)) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fakeServer{address: listener.Addr().String(), ended: ring.New[error]("ended", 64)}
	ctx, stop := context.WithCancel(context.Background())
	duties := group.New(ctx)
	duties.Go("fake server", func(ctx context.Context) error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return err
			}
			duties.Go("fake connection", func(context.Context) error {
				server.connection(ctx, conn.(*net.TCPConn), serve)
				<-ctx.Done()

				return nil
			})
		}
	})
	t.Cleanup(func() {
		stop()
		assert.Check(t, listener.Close())
		assert.Check(t, duties.Wait())
	})

	return server
}

// connection serves the requests of one connection until the host closes it.
func (f *fakeServer) connection(ctx context.Context, conn *net.TCPConn, serve func(ctx context.Context, request *http.Request, conn *net.TCPConn)) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			_ = f.ended.Offer(err)

			return
		}
		serve(ctx, request, conn)
	}
}

// waitEnded waits until the host closes a connection.
func (f *fakeServer) waitEnded(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := f.ended.Take(ctx)
	assert.NilError(t, err, "the connection to the backend server is still open")
}

func writeRaw(conn io.Writer, raw string) {
	_, _ = io.WriteString(conn, raw) // the host may have closed the connection
}
