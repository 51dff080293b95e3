package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// HeaderEcho carries back the header field by which a caller recognises the
// answer to its own request.
const HeaderEcho = "Echo"

// HeaderOrder carries an order to the backend server.
const HeaderOrder = "Order"

// admission says whether a call may run and how long it takes.
type admission struct {
	shed  bool
	fault schema.BackendFault
	took  time.Duration
}

// serverRequest is what the server's duty takes from its ring.
type serverRequest struct {
	use   func(s *Server, now time.Time) admission
	reply *ring.Ring[admission]
}

// Backend serves calls, probes, load reports and the control address.
type Backend struct {
	settings schema.BackendSettings
	requests *ring.Ring[serverRequest]
	server   *Server
}

// RunBackend runs a backend server stand-in until the context ends.
func RunBackend(ctx context.Context, settings schema.BackendSettings) error {
	seed := uint64(settings.Seed) //nolint:gosec // checked to be positive
	backend := &Backend{
		settings: settings,
		requests: ring.New[serverRequest]("server", 65536),
		server:   NewServer(settings, rand.New(rand.NewPCG(seed, seed))), //nolint:gosec // a simulation
	}
	duties := group.New(ctx)
	duties.Go("server", backend.runServer)
	err := serve(duties, map[string]*fiber.App{
		settings.Address: backend.front(), settings.ControlAddress: backend.control(),
	})
	if err != nil {
		return err
	}

	return duties.Wait()
}

// runServer owns the server's state.
func (b *Backend) runServer(ctx context.Context) error {
	for {
		request, err := b.requests.Take(ctx)
		if err != nil {
			return err
		}
		_ = request.reply.Offer(request.use(b.server, time.Now())) // the ring has room by contract
	}
}

// ask gives a request to the server's duty and waits for the reply.
func (b *Backend) ask(use func(s *Server, now time.Time) admission) (admission, error) {
	reply := ring.New[admission]("reply", 1)
	if err := b.requests.Offer(serverRequest{use: use, reply: reply}); err != nil {
		return admission{}, err
	}

	return reply.Take(context.Background())
}

// front serves calls, probes and load reports.
func (b *Backend) front() *fiber.App {
	front := app()
	front.Get("/health", b.probe)
	front.Get("/load", b.load)
	front.All("/*", b.call)

	return front
}

// call runs a call.
func (b *Backend) call(c fiber.Ctx) error {
	run := schema.Run{Order: strings.Clone(c.Get(HeaderOrder)), Path: strings.Clone(c.Path())}
	admitted, err := b.ask(func(s *Server, now time.Time) admission { return s.Admit(now, run) })
	if err != nil {
		return err
	}
	if admitted.shed {
		c.Set(backendhttp.HeaderShed, "1")

		return c.SendStatus(http.StatusServiceUnavailable)
	}
	time.Sleep(admitted.took)
	if _, err := b.ask(func(s *Server, _ time.Time) admission { return s.Finish() }); err != nil {
		return err
	}
	if admitted.fault.Kind == faultFailFast {
		return c.SendStatus(http.StatusInternalServerError)
	}
	c.Set(HeaderEcho, c.Get(HeaderEcho))

	return b.answer(c, admitted.fault.Kind == faultCut)
}

// answer sends a small body, or a large one for /pack/BYTES, whole or cut.
func (*Backend) answer(c fiber.Ctx, cut bool) error {
	size := 64
	if raw, ok := strings.CutPrefix(c.Path(), "/pack/"); ok {
		if parsed, err := strconv.Atoi(raw); err == nil {
			size = parsed
		}
	}
	sent := size
	if cut {
		sent = size / 2
	}
	c.Response().SetBodyStream(&pattern{left: sent}, size)

	return nil
}

// probe answers a health probe.
func (b *Backend) probe(c fiber.Ctx) error {
	time.Sleep(b.settings.ProbeTime)
	if _, err := b.ask(func(s *Server, _ time.Time) admission { return s.Probed() }); err != nil {
		return err
	}

	return c.SendStatus(http.StatusOK)
}

// load answers with a load report.
func (b *Backend) load(c fiber.Ctx) error {
	var report schema.LoadReport
	_, err := b.ask(func(s *Server, now time.Time) admission {
		report = s.Report(now)

		return admission{}
	})
	if err != nil {
		return err
	}

	return respond(c, http.StatusOK, report)
}

// control serves the control address.
func (b *Backend) control() *fiber.App {
	control := app()
	control.Post("/fault", func(c fiber.Ctx) error {
		fault, err := accept[schema.BackendFault](c)
		if err != nil {
			return err
		}
		if _, err := b.ask(func(s *Server, now time.Time) admission { return s.Inject(now, fault) }); err != nil {
			return err
		}

		return c.SendStatus(http.StatusOK)
	})
	control.Get("/runs", func(c fiber.Ctx) error {
		var record schema.RunRecord
		_, err := b.ask(func(s *Server, _ time.Time) admission {
			record = s.Record()

			return admission{}
		})
		if err != nil {
			return err
		}

		return respond(c, http.StatusOK, record)
	})

	return control
}

// pattern is a body of a known pattern.
type pattern struct {
	left int
}

// Read fills the buffer.
func (p *pattern) Read(buffer []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	count := min(len(buffer), p.left)
	for i := range buffer[:count] {
		buffer[i] = 'x'
	}
	p.left -= count

	return count, nil
}
