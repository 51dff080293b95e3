package standin

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tablehttp"
)

// Fault kinds that can be injected into the platform.
const (
	faultOutage    = "outage"
	faultSlow      = "slow"
	faultLostReply = "lost_reply"
)

// tableRequest is a request to the duty that owns the table.
type tableRequest struct {
	apply func(t *Table, now time.Time) any
	reply *ring.Ring[tableReply]
	// ignoresFaults is set for control requests, which faults do not affect.
	ignoresFaults bool
}

// tableReply is the result of a request with the fault that was active.
type tableReply struct {
	result any
	fault  schema.PlatformFault
}

// Platform serves the table, the object store, the list of hosts and the
// control address.
type Platform struct {
	requests *ring.Ring[tableRequest]
	table    *Table
}

// RunPlatform runs the platform stand-in until the context ends.
func RunPlatform(ctx context.Context, settings schema.PlatformSettings) error {
	platform := &Platform{
		requests: ring.New[tableRequest]("table", 4096),
		table:    NewTable(settings.ListLag),
	}
	duties := group.New(ctx)
	duties.Go("table", platform.runTable)
	err := serve(duties, map[string]*fiber.App{
		settings.Address: platform.serviceApp(), settings.ControlAddress: platform.controlApp(),
	})
	if err != nil {
		return err
	}

	return duties.Wait()
}

// runTable owns the table and applies the requests from the ring. During an
// outage it applies only those that ignore faults.
func (p *Platform) runTable(ctx context.Context) error {
	for {
		request, err := p.requests.Take(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		fault := p.table.Fault(now)
		reply := tableReply{fault: fault}
		if request.ignoresFaults || fault.Kind != faultOutage {
			reply.result = request.apply(p.table, now)
		}
		_ = request.reply.Offer(reply) // the reply ring has room for the only reply
	}
}

// serviceApp returns the application for rows, transactions, objects and the
// list of hosts.
func (p *Platform) serviceApp() *fiber.App {
	app := newApp()
	app.Get(tablehttp.PathRows+"*", func(c fiber.Ctx) error {
		key := strings.Clone(c.Params("*"))

		return p.serve(c, false, func(t *Table, _ time.Time) any { return t.Read(key) })
	})
	app.Get(tablehttp.PathHosts, func(c fiber.Ctx) error {
		return p.serve(c, false, func(t *Table, now time.Time) any { return t.Hosts(now) })
	})
	p.serveObjects(app)
	app.Post(tablehttp.PathTransaction, func(c fiber.Ctx) error {
		transaction, err := decodeBody[schema.Transaction](c)
		if err != nil {
			return err
		}

		return p.serve(c, true, func(t *Table, _ time.Time) any { return t.Commit(transaction) })
	})

	return app
}

// serve runs a function on the table and answers as the active fault demands.
func (p *Platform) serve(c fiber.Ctx, write bool, use func(t *Table, now time.Time) any) error {
	reply, err := p.request(tableRequest{apply: use})
	if err != nil {
		return err
	}
	switch {
	case reply.fault.Kind == faultOutage:
		return fiber.NewError(http.StatusServiceUnavailable, "platform unavailable during an injected outage")
	case reply.fault.Kind == faultSlow:
		time.Sleep(time.Duration(reply.fault.DelayMs) * time.Millisecond)
	case reply.fault.Kind == faultLostReply && write:
		return c.Drop()
	}

	return respond(c, http.StatusOK, reply.result)
}

// request sends a request to the duty that owns the table and waits for the
// reply.
func (p *Platform) request(request tableRequest) (tableReply, error) {
	request.reply = ring.New[tableReply]("reply", 1)
	if err := p.requests.Offer(request); err != nil {
		return tableReply{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()

	return request.reply.Take(ctx)
}

// controlApp returns the application that injects faults and sets the list of
// hosts.
func (p *Platform) controlApp() *fiber.App {
	app := newApp()
	app.Post("/fault", func(c fiber.Ctx) error {
		fault, err := decodeBody[schema.PlatformFault](c)
		if err != nil {
			return err
		}

		return p.command(c, func(t *Table, now time.Time) { t.Inject(now, fault) })
	})
	app.Post("/hosts", func(c fiber.Ctx) error {
		list, err := decodeBody[schema.HostList](c)
		if err != nil {
			return err
		}

		return p.command(c, func(t *Table, now time.Time) { t.SetHosts(now, list) })
	})

	return app
}

// command changes the table regardless of the active fault.
func (p *Platform) command(c fiber.Ctx, change func(t *Table, now time.Time)) error {
	changed := func(t *Table, now time.Time) any {
		change(t, now)

		return nil
	}
	if _, err := p.request(tableRequest{apply: changed, ignoresFaults: true}); err != nil {
		return err
	}

	return c.SendStatus(http.StatusOK)
}
