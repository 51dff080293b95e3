// Package callerhttp is the HTTP front end for callers. Its handlers only
// decode, offer the call to the dispatch duty, wait for the reply and encode
// it. Change this package to change what callers send and see.
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
	// HeaderOutcome carries answered, not_run or unknown.
	HeaderOutcome = backendhttp.HeaderOutcome
	// HeaderReason carries the reason of not_run and unknown.
	HeaderReason = backendhttp.HeaderReason
)

const (
	// idleTimeout closes a caller's connection that was not used for as long.
	idleTimeout = time.Minute
	// minReadTimeout is the least time to read a request.
	minReadTimeout = time.Second
	// shutdownTimeout bounds how long requests in flight may hold up a stop after
	// the deadline of calls that state none.
	shutdownTimeout = 10 * time.Second
)

// Front serves callers.
type Front struct {
	// Inputs is the ring of the dispatch duty.
	Inputs *ring.Ring[dispatch.Input]
	// CallTimeout is the deadline of calls that state none, and bounds the time to
	// read a request if it is longer than minReadTimeout.
	CallTimeout time.Duration
	// Metrics receives the added latency and refused requests.
	Metrics *prometheus.Metrics

	app *fiber.App
}

// New returns a front end that accepts request bodies of up to bodyLimit bytes.
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

// Run serves callers until the context ends, and then until no request is in
// flight.
func (f *Front) Run(ctx context.Context, listener net.Listener) error {
	finished := ring.New[error]("shutdown", 1)
	stop := context.AfterFunc(ctx, func() {
		_ = finished.Offer(f.app.ShutdownWithTimeout(f.CallTimeout + shutdownTimeout)) // the ring has room
	})
	if err := f.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); stop() {
		return err
	}
	err, _ := finished.Take(context.Background()) // shutting down is bounded

	return err
}
