// Package callerhttp is the HTTP front end for callers. Its handlers decode a
// request, offer it to the dispatch duty, wait for the reply and encode it; they
// make no routing decisions. Change this package to change the HTTP interface for
// callers.
package callerhttp

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// HeaderOutcome carries the outcome: answered, not_run or unknown.
	HeaderOutcome = backendhttp.HeaderOutcome
	// HeaderReason carries the reason for not_run and unknown.
	HeaderReason = backendhttp.HeaderReason
)

const (
	// idleTimeout is the time after which an idle caller connection is closed.
	idleTimeout = time.Minute
	// minReadTimeout is the minimum time allowed for reading a request.
	minReadTimeout = time.Second
	// defaultMaxConnections is the number of callers' connections unless another is set.
	defaultMaxConnections = 1024
	// overheadFactor is the number of bytes that a request may have for each byte of its
	// body: as much framing as content.
	overheadFactor = 2
	// rejectRetryAfter is the retry delay of connections for which there is no room.
	rejectRetryAfter = time.Second
	// shutdownTimeout is the time that requests in flight may delay a shutdown
	// beyond Front.CallTimeout.
	shutdownTimeout = 10 * time.Second
)

// Front is the HTTP server for callers.
type Front struct {
	// Inputs is the ring of the dispatch duty.
	Inputs *ring.Ring[dispatch.Input]
	// CallTimeout is the timeout of calls that state no deadline. It also limits the
	// time to read a request, unless minReadTimeout is longer.
	CallTimeout time.Duration
	// Metrics records the added latency and the rejected requests.
	Metrics *prometheus.Metrics

	// MaxConnections is the largest number of callers' connections.
	MaxConnections int
	// Events receives what happens to them.
	Events tcp.ConnectionEvents

	app     *fiber.App
	leaving atomic.Bool
}

// New returns a front end that accepts request bodies of up to bodyLimit bytes
// and has its own metrics.
func New(inputs *ring.Ring[dispatch.Input], callTimeout time.Duration, bodyLimit int) *Front {
	front := &Front{
		Inputs: inputs, CallTimeout: callTimeout, Metrics: prometheus.New(), MaxConnections: defaultMaxConnections,
		Events: tcp.IgnoreConnections(),
	}
	front.app = fiber.New(fiber.Config{
		AppName:                   "baobabdrum",
		BodyLimit:                 bodyLimit,
		CaseSensitive:             true,
		DisableDefaultContentType: true,
		DisableHeadAutoRegister:   true,
		ErrorHandler:              handleError,
	})
	front.app.Use(front.closeWhenLeaving)
	front.app.Get("/ask/:service", front.ask)
	front.app.All("/call/:service/*", front.call)
	front.app.Add(orderMethods, "/order/:service/*", front.order)
	front.app.Get("/order/:id", front.orderStatus)

	return front
}

// Leave makes callers close their connections: each response from now on says that its
// connection ends. A planned stop calls it some time before it closes the front end.
func (f *Front) Leave() {
	f.leaving.Store(true)
}

// closeWhenLeaving handles a request and closes its connection after Leave.
func (f *Front) closeWhenLeaving(c fiber.Ctx) error {
	err := c.Next()
	if f.leaving.Load() {
		c.Response().SetConnectionClose()
	}

	return err
}

// Run serves callers until the context ends. It then accepts the connections that the
// kernel has queued, and waits for the requests in flight, for CallTimeout and
// shutdownTimeout together at most.
func (f *Front) Run(ctx context.Context, listener *net.TCPListener) error {
	rejecting := ring.New[*tcp.LingeringConn]("rejecting", tcp.Rejecters)
	connections := tcp.NewConnectionSet(f.MaxConnections, f.timeouts, f.Events, rejecting)
	connections.RequestBytes = overheadFactor*f.app.Config().BodyLimit + tcp.DefaultRequestBytes
	server := f.app.Server()
	server.Handler, server.CloseOnShutdown = f.app.Handler(), true
	connections.Attach(server, f.timeouts().Header)
	accepting := tcp.NewLingeringListener(listener)
	stop := context.AfterFunc(ctx, func() {
		f.Leave()
		connections.Finish()
		_ = accepting.Drain() // fails only on a closed listener
	})
	var rejecters conc.WaitGroup
	defer rejecters.Wait()
	serving, served := context.WithCancel(context.Background())
	defer served()
	refusal := tcp.HTTPRefusal(rejectRetryAfter, map[string]string{HeaderOutcome: outcomeNotRun, HeaderReason: string(caller.ReasonOverloaded)})
	for range tcp.Rejecters {
		rejecters.Go(func() { _ = tcp.RunRejecter(serving, rejecting, refusal) }) // ends with its context
	}
	if err := server.Serve(tcp.NewBoundedListener(accepting, connections)); stop() {
		return eris.Wrap(err, "serving callers")
	}
	closing, cancel := context.WithTimeout(context.Background(), f.CallTimeout+shutdownTimeout)
	defer cancel()

	if err := server.ShutdownWithContext(closing); !errors.Is(err, net.ErrClosed) { // the listener is closed already
		return eris.Wrap(err, "finishing the requests in flight")
	}

	return nil
}

// timeouts returns for how long a connection waits for bytes.
func (f *Front) timeouts() tcp.ConnectionTimeouts {
	return tcp.ConnectionTimeouts{Header: max(f.CallTimeout, minReadTimeout), Idle: idleTimeout}
}
