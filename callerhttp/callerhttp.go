// Package callerhttp is the HTTP front end for callers. Its handlers decode a
// request, offer it to the dispatch duty, wait for the reply and encode it; they
// make no routing decisions. Change this package to change the HTTP interface for
// callers.
package callerhttp

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
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

	app *fiber.App
}

// New returns a front end that accepts request bodies of up to bodyLimit bytes
// and has its own metrics.
func New(inputs *ring.Ring[dispatch.Input], callTimeout time.Duration, bodyLimit int) *Front {
	front := &Front{Inputs: inputs, CallTimeout: callTimeout, Metrics: prometheus.New()}
	front.app = fiber.New(fiber.Config{
		AppName:                   "baobabdrum",
		BodyLimit:                 bodyLimit,
		CaseSensitive:             true,
		DisableDefaultContentType: true,
		DisableHeadAutoRegister:   true,
		ErrorHandler:              handleError,
		IdleTimeout:               idleTimeout,
		ReadTimeout:               max(callTimeout, minReadTimeout),
	})
	front.app.Get("/ask/:service", front.ask)
	front.app.All("/call/:service/*", front.call)
	front.app.Add(orderMethods, "/order/:service/*", front.order)
	front.app.Get("/order/:id", front.orderStatus)

	return front
}

// Run serves callers until the context ends, then waits for the requests in
// flight, for CallTimeout and shutdownTimeout together at most.
func (f *Front) Run(ctx context.Context, listener net.Listener) error {
	finished := ring.New[error]("shutdown", 1)
	stop := context.AfterFunc(ctx, func() {
		_ = finished.Offer(f.app.ShutdownWithTimeout(f.CallTimeout + shutdownTimeout)) // the ring has room, because this is its only item
	})
	if err := f.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); stop() {
		return err
	}
	err, _ := finished.Take(context.Background()) // the shutdown has a timeout

	return err
}
