package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// requestTimeout is the time-out of a request to the duty that owns the state.
const requestTimeout = time.Second

// admission is the server's decision on a call, with the service time and the
// fault that apply to it.
type admission struct {
	shed       bool
	restarting bool
	fault      schema.BackendFault
	failures   int
	duration   time.Duration
}

// serverRequest is a request to the duty that owns the server's state.
type serverRequest struct {
	apply func(s *Server, now time.Time) any
	reply *ring.Ring[any]
}

// Backend serves calls, probes, load reports and the control address.
type Backend struct {
	settings schema.BackendSettings
	requests *ring.Ring[serverRequest]
	server   *Server
}

// RunBackend runs a backend server stand-in until the context ends.
func RunBackend(ctx context.Context, settings schema.BackendSettings) error {
	seed := uint64(settings.Seed)               //nolint:gosec // checked to be positive
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a simulation
	backend := &Backend{
		settings: settings,
		requests: ring.New[serverRequest]("server", 65536),
		server:   NewServer(time.Now(), settings, random),
	}
	duties := group.New(ctx)
	duties.Go("server", backend.runServer)
	if err := serve(duties, map[string]*fiber.App{settings.ControlAddress: backend.controlApp()}); err != nil {
		return err
	}
	limited := func(inner net.Listener) net.Listener { return &limitedListener{Listener: inner, backend: backend} }
	if err := serveLimited(duties, settings.Address, backend.serviceApp(), limited); err != nil {
		return err
	}

	return duties.Wait()
}

// runServer owns the server's state and applies the requests from the ring.
func (b *Backend) runServer(ctx context.Context) error {
	for {
		request, err := b.requests.Take(ctx)
		if err != nil {
			return err
		}
		_ = request.reply.Offer(request.apply(b.server, time.Now())) // the reply ring has room for the only reply
	}
}

// queryServer runs a function on the duty that owns the server's state and
// returns its result.
func queryServer[Out any](b *Backend, use func(s *Server, now time.Time) Out) (Out, error) {
	var none Out
	reply := ring.New[any]("reply", 1)
	request := serverRequest{apply: func(s *Server, now time.Time) any { return use(s, now) }, reply: reply}
	if err := b.requests.Offer(request); err != nil {
		return none, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	out, err := reply.Take(ctx)
	if err != nil {
		return none, err
	}

	return out.(Out), nil
}

// updateServer runs a function without a result on the duty that owns the
// server's state and waits until it has run.
func updateServer(b *Backend, use func(s *Server, now time.Time)) error {
	_, err := queryServer(b, func(s *Server, now time.Time) bool {
		use(s, now)

		return true
	})

	return err
}

// serviceApp returns the application for calls, health probes and load reports.
func (b *Backend) serviceApp() *fiber.App {
	app := newApp()
	app.Get("/health", b.probe)
	app.Get("/load", b.load)
	app.All("/*", b.call)

	return app
}

// probe answers a health probe after the configured probe time.
func (b *Backend) probe(c fiber.Ctx) error {
	time.Sleep(b.settings.ProbeTime)
	if err := updateServer(b, func(s *Server, _ time.Time) { s.RecordProbe() }); err != nil {
		return err
	}

	return c.SendStatus(http.StatusOK)
}

// load answers with the current load report.
func (b *Backend) load(c fiber.Ctx) error {
	report, err := queryServer(b, func(s *Server, now time.Time) schema.LoadReport { return s.Report(now) })
	if err != nil {
		return err
	}

	return respond(c, http.StatusOK, report)
}

// controlApp returns the application that injects faults and returns the run
// record.
func (b *Backend) controlApp() *fiber.App {
	app := newApp()
	app.Post("/fault", func(c fiber.Ctx) error {
		fault, err := decodeBody[schema.BackendFault](c)
		if err != nil {
			return err
		}
		if err := updateServer(b, func(s *Server, now time.Time) { s.Inject(now, fault) }); err != nil {
			return err
		}

		return c.SendStatus(http.StatusOK)
	})
	app.Get("/runs", func(c fiber.Ctx) error {
		record, err := queryServer(b, func(s *Server, now time.Time) schema.RunRecord { return s.Record(now) })
		if err != nil {
			return err
		}

		return respond(c, http.StatusOK, record)
	})

	return app
}
