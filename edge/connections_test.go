package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

// testBound is the bound of the connections in these tests.
const testBound = 3

// boundedServer is an HTTP server with a bounded set of connections.
type boundedServer struct {
	address     string
	connections *tcp.ConnectionSet
	limits      *callerLimits
	metrics     *Metrics
	// hold delays the answers to requests for /held until it is closed.
	hold        chan struct{}
	releaseOnce sync.Once
	handled     atomic.Int64
}

// newBoundedServer starts a server that is stopped when the test ends.
func newBoundedServer(t *testing.T, limits schema.CallerLimits) *boundedServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &boundedServer{address: listener.Addr().String(), metrics: NewMetrics(), hold: make(chan struct{})}
	inForce := newCallerLimits()
	inForce.apply(limits)
	rejecting := ring.New[*tcp.LingeringConn]("rejecting", tcp.Rejecters)
	s.limits = inForce
	events := newListenerEvents("test", eventlog.New(logrus.NewEntry(logger)), s.metrics).connectionEvents()
	s.connections = tcp.NewConnectionSet(testBound, inForce.timeouts, events, rejecting)
	duties := group.New(t.Context())
	for range tcp.Rejecters {
		duties.Go("rejecter", func(ctx context.Context) error {
			return tcp.RunRejecter(ctx, rejecting, tcp.HTTPRefusal(rejectRetryAfter, nil))
		})
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		s.handled.Add(1)
		if string(ctx.Path()) == "/held" {
			<-s.hold
		}
		ctx.SetBodyString("done")
	}}
	s.connections.Attach(server, bodyTimeout)
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(tcp.NewBoundedListener(tcp.NewLingeringListener(listener.(*net.TCPListener)), s.connections))
	}()
	t.Cleanup(func() {
		s.release()
		assert.NilError(t, server.Shutdown())
		assert.NilError(t, <-ended)
		assert.NilError(t, duties.Wait())
	})

	return s
}

// release answers the held requests.
func (s *boundedServer) release() {
	s.releaseOnce.Do(func() { close(s.hold) })
}

// busy returns the number of connections that are not idle.
func (s *boundedServer) busy() int {
	return s.connections.Busy()
}

// waitBusy waits until a number of connections are not idle.
func (s *boundedServer) waitBusy(t *testing.T, want int) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.busy() == want {
			return
		}
	}
	t.Fatalf("%d connections are busy after 2 s, want %d", s.busy(), want)
}

// testCaller is a connection to a boundedServer.
type testCaller struct {
	net.Conn
	server *boundedServer
	reader *bufio.Reader
}

// dial opens a connection that is closed when the test ends.
func (s *boundedServer) dial(t *testing.T) *testCaller {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))

	return &testCaller{Conn: conn, server: s, reader: bufio.NewReader(conn)}
}

// send sends a request.
func (c *testCaller) send(t *testing.T, path string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
	assert.NilError(t, err)
}

// receive reads an answer and returns its status and retry delay.
func (c *testCaller) receive(t *testing.T) (status int, retryAfter string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	return response.StatusCode, response.Header.Get("Retry-After")
}

// assertServed reads an answer and checks that it is the handler's.
func (c *testCaller) assertServed(t *testing.T) {
	t.Helper()
	status, _ := c.receive(t)
	assert.Equal(t, status, http.StatusOK)
}

// ask sends a request, checks its answer and waits until the connection is idle.
func (c *testCaller) ask(t *testing.T) {
	t.Helper()
	busy := c.server.busy()
	c.send(t, "/")
	c.assertServed(t)
	c.server.waitBusy(t, busy)
}

// assertClosed checks that the server closes the connection without sending bytes.
func (c *testCaller) assertClosed(t *testing.T) {
	t.Helper()
	rest, err := io.ReadAll(c.reader)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "")
}

// assertMetric checks the value of a metric.
func (s *boundedServer) assertMetric(t *testing.T, line string) {
	t.Helper()
	var written strings.Builder
	s.metrics.Write(&written)
	assert.Assert(t, strings.Contains(written.String(), line+"\n"), "no line %q", line)
}

func TestConnectionsAtTheirBound(t *testing.T) {
	tests := map[string]func(t *testing.T, s *boundedServer){
		"that idle for longest is closed": func(t *testing.T, s *boundedServer) {
			callers := []*testCaller{s.dial(t), s.dial(t), s.dial(t)}
			for _, i := range []int{1, 0, 2} {
				callers[i].ask(t)
			}
			s.dial(t).ask(t)
			callers[1].assertClosed(t)
			callers[0].ask(t)
			callers[2].ask(t)
			s.assertMetric(t, `baobabdrum_evicted_connections_total{listener="test"} 1`)
		},
		"one with a request is not closed": func(t *testing.T, s *boundedServer) {
			held, other := s.dial(t), s.dial(t)
			held.send(t, "/held")
			s.waitBusy(t, 1)
			other.ask(t)
			s.dial(t).ask(t)
			s.dial(t).ask(t)
			other.assertClosed(t)
			s.release()
			held.assertServed(t)
		},
		"a new one is rejected if none is idle": func(t *testing.T, s *boundedServer) {
			callers := []*testCaller{s.dial(t), s.dial(t), s.dial(t)}
			for _, caller := range callers {
				caller.send(t, "/held")
			}
			s.waitBusy(t, testBound)
			late := s.dial(t)
			late.send(t, "/")
			status, retryAfter := late.receive(t)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, retryAfter, "1")
			late.assertClosed(t)
			s.assertMetric(t, `baobabdrum_rejected_connections_total{listener="test"} 1`)
			s.release()
			for _, caller := range callers {
				caller.assertServed(t)
			}
			s.waitBusy(t, 0)
			s.dial(t).ask(t)
		},
	}
	for name, check := range tests {
		t.Run(name, func(t *testing.T) {
			check(t, newBoundedServer(t, schema.CallerLimits{}))
		})
	}
}

// TestEveryHandledRequestIsAnswered closes idle connections at the bound while their
// callers begin requests. A request that crosses the close may not be handled.
func TestEveryHandledRequestIsAnswered(t *testing.T) {
	const callers, connections = 8, 200
	s := newBoundedServer(t, schema.CallerLimits{})
	var (
		answered atomic.Int64
		running  sync.WaitGroup
	)
	for range callers {
		running.Go(func() {
			for range connections {
				answered.Add(askTwice(s.address))
			}
		})
	}
	running.Wait()
	assert.Equal(t, answered.Load(), s.handled.Load())
	assert.Assert(t, answered.Load() > 0)
}

// askTwice sends up to two requests on one connection, one after the other, and
// returns the number of answers other than rejections.
func askTwice(address string) (answered int64) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
			return answered
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answered
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			answered++
		}
	}

	return answered
}

// TestABeginningRequestIsNotDropped checks that a connection whose request has
// arrived, and was not read yet, is not taken for idle.
func TestABeginningRequestIsNotDropped(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	events := newListenerEvents("test", eventlog.New(logrus.NewEntry(logger)), NewMetrics())
	set := tcp.NewConnectionSet(1, newCallerLimits().timeouts, events.connectionEvents(), ring.New[*tcp.LingeringConn]("rejecting", 1))
	accepting := tcp.NewLingeringListener(listener.(*net.TCPListener))
	pair := func() (near *tcp.LingeringConn, far net.Conn) {
		far, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = far.Close() })
		conn, err := accepting.Accept()
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })

		return conn.(*tcp.LingeringConn), far
	}
	near, far := pair()
	first, ok := set.Admit(near)
	assert.Assert(t, ok)
	_, err = far.Write([]byte("GET / HTTP/1.1\r\n"))
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	next, _ := pair()
	_, ok = set.Admit(next)
	assert.Assert(t, !ok, "a connection with a request was closed")
	assert.Assert(t, first.Begin())
}

func TestIdleTimeFollowsTheDeclaration(t *testing.T) {
	tests := map[string]struct {
		later  int
		atMost time.Duration
		least  time.Duration
	}{
		"a longer one holds for idle connections":  {later: 900, least: 900 * time.Millisecond, atMost: 2 * time.Second},
		"a shorter one holds for later idle times": {later: 100, least: 400 * time.Millisecond, atMost: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newBoundedServer(t, schema.CallerLimits{IdleTimeoutMs: 400})
			caller := s.dial(t)
			caller.ask(t)
			began := time.Now()
			time.Sleep(50 * time.Millisecond)
			s.limits.apply(schema.CallerLimits{IdleTimeoutMs: test.later})
			caller.assertClosed(t)
			idle := time.Since(began)
			assert.Assert(t, idle > test.least-50*time.Millisecond && idle < test.atMost, "closed after %s", idle)
		})
	}
}

func TestConnectionBound(t *testing.T) {
	tests := map[string]struct {
		descriptors int
		share       float64
		want        int
	}{
		"callers":             {descriptors: 4100, share: callerSocketShare, want: 2340},
		"few descriptors":     {descriptors: 210, share: callerSocketShare, want: minServedConnections},
		"fewer than reserved": {descriptors: 10, share: callerSocketShare, want: minServedConnections},
		"not stated":          {share: 0.5, want: (defaultDescriptors - fileDescriptors) / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, connectionBound(test.descriptors, test.share), test.want)
		})
	}
}
