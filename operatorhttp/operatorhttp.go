// Package operatorhttp is the HTTP front end for operators. Its handlers decode,
// offer the request to a duty, wait for the reply and encode it. Change this
// package to change what operators send and see.
package operatorhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/jsonhttp"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/sheetcsv"
	"github.com/baobabdrum/baobabdrum/table"
)

// Paths that operators use.
const (
	// PathSheet accepts a sheet.
	PathSheet = "/sheet"
	// PathConfiguration returns the configuration in force at the host.
	PathConfiguration = "/configuration"
	// PathDataCentre precedes a data centre's name and state.
	PathDataCentre = "/data_centre"
	// PathStop starts a planned stop of the host.
	PathStop = "/stop"
	// QueryBaseVersion names the version that a sheet was planned on.
	QueryBaseVersion = "base_version"
	// PathDump returns the state of the host.
	PathDump = "/dump"
)

const (
	// replyTimeout bounds a change, including the platform's part.
	replyTimeout = 30 * time.Second
	// maxSheetBytes bounds a sheet in bytes.
	maxSheetBytes = 16 << 20
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

// StopRequest asks the stop duty for a planned stop.
type StopRequest struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.StopResult]
}

// Front serves operators.
type Front struct {
	// Changes is the ring of the operator duty.
	Changes *ring.Ring[ChangeRequest]
	// Dumps is the ring of the dump duty.
	Dumps *ring.Ring[DumpRequest]
	// Stops is the ring of the stop duty.
	Stops *ring.Ring[StopRequest]

	app *fiber.App
}

// New returns a front end that accepts requests with the token, or all requests
// if the token is empty.
func New(
	changes *ring.Ring[ChangeRequest], dumps *ring.Ring[DumpRequest], stops *ring.Ring[StopRequest], token string,
) *Front {
	front := &Front{Changes: changes, Dumps: dumps, Stops: stops}
	front.app = fiber.New(fiber.Config{AppName: "baobabdrum operator", BodyLimit: maxSheetBytes, ErrorHandler: writeError})
	front.app.Get("/live", func(c fiber.Ctx) error { return c.SendString("live\n") })
	front.app.Get("/ready", front.ready)
	front.app.Use(jsonhttp.Authorize(token))
	front.app.Get("/metrics", func(c fiber.Ctx) error {
		metrics.WritePrometheus(c.Response().BodyWriter(), true)

		return nil
	})
	front.app.Get(PathProfile, profile)
	front.app.Get(PathDump, front.dump)
	front.app.Get(PathConfiguration, front.configuration)
	front.app.Post(PathSheet, front.sheet)
	front.app.Post(PathStop, front.stop)
	front.app.Post(PathDataCentre, jsonhttp.Handle(front.dataCentre))

	return front
}

// Run serves operators until the context ends.
func (f *Front) Run(ctx context.Context, listener net.Listener) error {
	return f.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true, GracefulContext: ctx})
}

// sheet accepts a sheet as the body.
func (f *Front) sheet(c fiber.Ctx) error {
	configuration, err := sheetcsv.Parse("sheet", c.Body())
	if err != nil {
		return err
	}
	base, err := baseVersion(c)
	if err != nil {
		return err
	}
	result, err := f.change(operator.ReplaceSheet{Configuration: configuration, BaseVersion: base})
	if err != nil {
		return err
	}

	return c.JSON(result)
}

// baseVersion reads the version that a sheet was planned on.
func baseVersion(c fiber.Ctx) (int, error) {
	raw := c.Query(QueryBaseVersion, "0")
	base, err := strconv.Atoi(raw)
	if err != nil || base < 0 {
		return 0, &schema.InvalidError{Input: "query", Faults: []schema.Fault{
			{Place: QueryBaseVersion, Value: strings.Clone(raw), Problem: "must be a whole number from 0"},
		}}
	}

	return base, nil
}

// stop starts a planned stop.
func (f *Front) stop(c fiber.Ctx) error {
	reply := ring.New[schema.StopResult]("stop", 1)
	if err := f.Stops.Offer(StopRequest{Reply: reply}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	result, err := reply.Take(ctx)
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
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	answer, err := reply.Take(ctx)
	if err != nil {
		return schema.ChangeResult{}, err
	}

	return answer.Result, answer.Err
}

// requestDump asks the dump duty.
func (f *Front) requestDump() (schema.Dump, error) {
	reply := ring.New[schema.Dump]("dump", 1)
	if err := f.Dumps.Offer(DumpRequest{Reply: reply}); err != nil {
		return schema.Dump{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()

	return reply.Take(ctx)
}

// dump returns the state of the host.
func (f *Front) dump(c fiber.Ctx) error {
	dump, err := f.requestDump()
	if err != nil {
		return err
	}

	return c.JSON(dump)
}

// configuration returns the configuration in force.
func (f *Front) configuration(c fiber.Ctx) error {
	dump, err := f.requestDump()
	if err != nil {
		return err
	}

	return c.JSON(dump.Configuration)
}

// ready says whether the host takes calls.
func (f *Front) ready(c fiber.Ctx) error {
	dump, err := f.requestDump()
	if err != nil {
		return err
	}
	if dump.Host.State != schema.HostStateLive {
		c.Status(http.StatusServiceUnavailable)
	}

	return c.SendString(string(dump.Host.State) + "\n")
}

// errorResponse is the HTTP status, the reason and the outcome of a failure.
type errorResponse struct {
	status  int
	reason  string
	outcome string
}

// The outcomes of a change that was not accepted.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// writeError answers with the failure as JSON.
func writeError(c fiber.Ctx, err error) error {
	failure := schema.Failure{Detail: err.Error(), Addresses: []string{}, Faults: []schema.Fault{}}
	var invalid *schema.InvalidError
	if errors.As(err, &invalid) {
		failure.Faults = invalid.Faults
	}
	response := classify(err)
	failure.Outcome, failure.Reason = response.outcome, response.reason

	return c.Status(response.status).JSON(failure)
}

// classify chooses the status and the reason of a failure.
func classify(err error) errorResponse {
	var (
		invalid   *schema.InvalidError
		unknown   *operator.UnknownDataCentreError
		refused   *fiber.Error
		profiling *ProfilingError
	)
	switch {
	case errors.As(err, &invalid):
		return errorResponse{http.StatusBadRequest, "invalid", outcomeNotRun}
	case errors.As(err, &unknown):
		return errorResponse{http.StatusNotFound, "unknown_data_centre", outcomeNotRun}
	case errors.As(err, &profiling):
		return errorResponse{http.StatusConflict, "profiling", outcomeNotRun}
	case errors.As(err, &refused):
		return errorResponse{refused.Code, "refused", outcomeNotRun}
	}
	if reason := conflictReason(err); reason != "" {
		return errorResponse{http.StatusConflict, reason, outcomeNotRun}
	}

	return classifyPlatform(err)
}

// conflictReason returns the reason of a change that collides with another one, or
// nothing.
func conflictReason(err error) string {
	var (
		conflict   *table.ConflictError
		outdated   *operator.OutdatedError
		superseded *operator.SupersededError
		collided   *operator.CollisionError
		notKept    *operator.NotKeptError
	)
	switch {
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &outdated):
		return "outdated"
	case errors.As(err, &superseded):
		return "superseded"
	case errors.As(err, &collided):
		return "collision"
	case errors.As(err, &notKept):
		return "override_not_kept"
	default:
		return ""
	}
}

// classifyPlatform describes a failure of the platform or of this host.
func classifyPlatform(err error) errorResponse {
	var (
		unsettled   *table.UnsettledError
		unavailable *table.UnavailableError
		regressed   *operator.RegressedError
		full        *ring.FullError
	)
	switch {
	case errors.As(err, &unsettled):
		return errorResponse{http.StatusBadGateway, "unsettled", outcomeUnknown}
	case errors.As(err, &unavailable):
		return errorResponse{http.StatusServiceUnavailable, "platform_unavailable", outcomeNotRun}
	case errors.As(err, &regressed):
		return errorResponse{http.StatusBadGateway, "platform_regressed", outcomeNotRun}
	case errors.As(err, &full):
		return errorResponse{http.StatusServiceUnavailable, "overloaded", outcomeNotRun}
	default:
		return errorResponse{http.StatusInternalServerError, "failed", outcomeUnknown}
	}
}
