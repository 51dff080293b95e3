// Package operatorhttp is the HTTP front end for operators. Its handlers decode,
// offer the request to a duty, wait for the reply and encode it. Change this
// package to change what operators send and see.
package operatorhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/platform"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/sheet"
)

// Paths that operators use.
const (
	// PathSheet accepts a sheet.
	PathSheet = "/sheet"
	// PathConfiguration returns the configuration in force at the host.
	PathConfiguration = "/configuration"
	// PathDataCentre precedes a data centre's name and state.
	PathDataCentre = "/data_centre"
	// PathDump returns the state of the host.
	PathDump = "/dump"
)

const (
	// changeTimeout bounds a change, including the platform's part.
	changeTimeout = 30 * time.Second
	// sheetLimit bounds a sheet in bytes.
	sheetLimit = 16 << 20
)

// ChangeReply answers a change: Result, or Err if it was not accepted.
type ChangeReply struct {
	// Result says what became of the change.
	Result schema.ChangeResult
	// Err says why it was not accepted.
	Err error
}

// ChangeRequest asks the operator duty for a change.
type ChangeRequest struct {
	// Change is the change.
	Change operator.Change
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[ChangeReply]
}

// DumpRequest asks the dump duty for the state of the host.
type DumpRequest struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.Dump]
}

// Front serves operators.
type Front struct {
	// Changes is the ring of the operator duty.
	Changes *ring.Ring[ChangeRequest]
	// Dumps is the ring of the dump duty.
	Dumps *ring.Ring[DumpRequest]

	app *fiber.App
}

// New returns a front end that accepts requests with the token, or all requests
// if the token is empty.
func New(changes *ring.Ring[ChangeRequest], dumps *ring.Ring[DumpRequest], token string) *Front {
	front := &Front{Changes: changes, Dumps: dumps}
	front.app = fiber.New(fiber.Config{AppName: "baobabdrum operator", BodyLimit: sheetLimit, ErrorHandler: refuse})
	front.app.Get("/live", func(c fiber.Ctx) error { return c.SendString("live\n") })
	front.app.Get("/ready", front.ready)
	front.app.Use(jsonhttp.Authorize(token))
	front.app.Get("/metrics", func(c fiber.Ctx) error {
		metrics.WritePrometheus(c.Response().BodyWriter(), true)

		return nil
	})
	front.app.Get(PathDump, front.dump)
	front.app.Get(PathConfiguration, front.configuration)
	front.app.Post(PathSheet, front.sheet)
	front.app.Post(PathDataCentre, jsonhttp.Handle(front.dataCentre))

	return front
}

// Run serves operators until the context ends.
func (f *Front) Run(ctx context.Context, listener net.Listener) error {
	return f.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true, GracefulContext: ctx})
}

// sheet accepts a sheet as the body.
func (f *Front) sheet(c fiber.Ctx) error {
	configuration, err := sheet.Parse("sheet", c.Body())
	if err != nil {
		return err
	}
	result, err := f.change(operator.ReplaceSheet{Configuration: configuration})
	if err != nil {
		return err
	}

	return c.JSON(result)
}

// dataCentre takes a data centre out or in.
func (f *Front) dataCentre(in schema.DataCentre) (schema.ChangeResult, error) {
	if in.State != schema.DataCentreStateIn && in.State != schema.DataCentreStateOut {
		return schema.ChangeResult{}, &schema.InvalidError{Input: "data centre", Faults: []schema.Fault{
			{Place: "state", Value: string(in.State), Problem: "must be in or out"},
		}}
	}

	return f.change(operator.SetDataCentre{Name: in.Name, State: in.State})
}

// change offers a change to the operator duty and waits for the reply.
func (f *Front) change(change operator.Change) (schema.ChangeResult, error) {
	reply := ring.New[ChangeReply]("change", 1)
	if err := f.Changes.Offer(ChangeRequest{Change: change, Reply: reply}); err != nil {
		return schema.ChangeResult{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	taken, err := reply.Take(ctx)
	if err != nil {
		return schema.ChangeResult{}, err
	}

	return taken.Result, taken.Err
}

// take asks the dump duty.
func (f *Front) take() (schema.Dump, error) {
	reply := ring.New[schema.Dump]("dump", 1)
	if err := f.Dumps.Offer(DumpRequest{Reply: reply}); err != nil {
		return schema.Dump{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()

	return reply.Take(ctx)
}

// dump returns the state of the host.
func (f *Front) dump(c fiber.Ctx) error {
	dump, err := f.take()
	if err != nil {
		return err
	}

	return c.JSON(dump)
}

// configuration returns the configuration in force.
func (f *Front) configuration(c fiber.Ctx) error {
	dump, err := f.take()
	if err != nil {
		return err
	}

	return c.JSON(dump.Configuration)
}

// ready says whether the host takes calls.
func (f *Front) ready(c fiber.Ctx) error {
	dump, err := f.take()
	if err != nil {
		return err
	}
	if dump.Host.State != schema.HostStateLive {
		c.Status(http.StatusServiceUnavailable)
	}

	return c.SendString(string(dump.Host.State) + "\n")
}

// refuse answers with the failure as JSON.
func refuse(c fiber.Ctx, err error) error {
	failure := schema.Failure{Outcome: "not_run", Detail: err.Error(), Addresses: []string{}, Faults: []schema.Fault{}}
	status := http.StatusInternalServerError
	var (
		invalid   *schema.InvalidError
		conflict  *platform.ConflictError
		unsettled *platform.UnsettledError
		outdated  *operator.OutdatedError
		unknown   *operator.UnknownDataCentreError
		full      *ring.FullError
		refused   *fiber.Error
	)
	switch {
	case errors.As(err, &invalid):
		status, failure.Reason, failure.Faults = http.StatusBadRequest, "invalid", invalid.Faults
	case errors.As(err, &conflict):
		status, failure.Reason = http.StatusConflict, "conflict"
	case errors.As(err, &outdated):
		status, failure.Reason = http.StatusConflict, "outdated"
	case errors.As(err, &unknown):
		status, failure.Reason = http.StatusNotFound, "unknown_data_centre"
	case errors.As(err, &unsettled):
		status, failure.Reason, failure.Outcome = http.StatusBadGateway, "unsettled", "unknown"
	case errors.As(err, &full):
		status, failure.Reason = http.StatusServiceUnavailable, "overloaded"
	case errors.As(err, &refused):
		status, failure.Reason = refused.Code, "refused"
	default:
		failure.Reason, failure.Outcome = "failed", "unknown"
	}

	return c.Status(status).JSON(failure)
}
