// Package operatorhttp is the HTTP front end for operators. Its handlers decode
// requests, offer them to a duty over a ring, wait for the reply and encode it.
// It holds the encoding of operators' requests and responses; package operator
// makes the decisions. Change this package to change what operators send and
// receive.
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
	"github.com/baobabdrum/baobabdrum/tcp"
)

// Paths that operators use.
const (
	// PathSheet accepts a sheet.
	PathSheet = "/sheet"
	// PathConfiguration returns the configuration in force at the host.
	PathConfiguration = "/configuration"
	// PathDataCentre accepts a data centre's name and state.
	PathDataCentre = "/data_centre"
	// PathStop starts a planned stop of the host.
	PathStop = "/stop"
	// QueryBaseVersion is the query parameter with the configuration version
	// that a sheet is based on.
	QueryBaseVersion = "base_version"
	// PathDump returns the state of the host.
	PathDump = "/dump"
)

const (
	// replyTimeout limits the wait for a duty's reply, including the platform
	// requests of a change.
	replyTimeout = 30 * time.Second
	// maxConnections is the largest number of operators' connections.
	maxConnections = 16
	// headerTimeout is the time in which the head of a request must arrive.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = time.Minute
	// maxSheetBytes limits the size of a sheet.
	maxSheetBytes = 16 << 20
)

// ChangeReply is the reply to a ChangeRequest.
type ChangeReply struct {
	// Result is the result of an accepted change.
	Result schema.ChangeResult
	// Err is the reason for which the change was not accepted, or nil.
	Err error
}

// ChangeRequest asks the operator duty to apply a change.
type ChangeRequest struct {
	// Change is the requested change.
	Change operator.Change
	// Reply receives one reply; it must have free capacity.
	Reply *ring.Ring[ChangeReply]
}

// DumpRequest asks the dump duty for the state of the host.
type DumpRequest struct {
	// Reply receives one reply; it must have free capacity.
	Reply *ring.Ring[schema.Dump]
}

// StopRequest asks the stop duty to start a planned stop.
type StopRequest struct {
	// Reply receives one reply; it must have free capacity.
	Reply *ring.Ring[schema.StopResult]
}

// Front is the HTTP server for operators.
type Front struct {
	// Changes carries requests to the operator duty.
	Changes *ring.Ring[ChangeRequest]
	// Dumps carries requests to the dump duty.
	Dumps *ring.Ring[DumpRequest]
	// Stops carries requests to the stop duty.
	Stops *ring.Ring[StopRequest]

	// Events receives what happens to the connections.
	Events tcp.ConnectionEvents

	app *fiber.App
}

// New returns a front end that accepts requests with the token, or all requests
// if the token is empty. The liveness and readiness paths need no token.
func New(
	changes *ring.Ring[ChangeRequest], dumps *ring.Ring[DumpRequest], stops *ring.Ring[StopRequest], token string,
) *Front {
	front := &Front{Changes: changes, Dumps: dumps, Stops: stops, Events: tcp.IgnoreConnections()}
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

// Run serves operators on the listener until the context ends. At the bound on
// connections, one that is idle makes room, or the new one is closed.
func (f *Front) Run(ctx context.Context, listener *net.TCPListener) error {
	timeouts := tcp.ConnectionTimeouts{Header: headerTimeout, Idle: idleTimeout}
	connections := tcp.NewConnectionSet(maxConnections, func() tcp.ConnectionTimeouts { return timeouts }, f.Events, nil)
	connections.RequestBytes = 2*maxSheetBytes + tcp.DefaultRequestBytes
	connections.Attach(f.app.Server(), replyTimeout)
	bounded := tcp.NewBoundedListener(tcp.NewLingeringListener(listener), connections)

	return f.app.Listener(bounded, fiber.ListenConfig{DisableStartupMessage: true, GracefulContext: ctx})
}

// sheet applies the sheet in the request's body.
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

// baseVersion returns the version that a sheet is based on, or 0 if the query
// does not name one.
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

// stop starts a planned stop and returns how long the host continues to forward
// calls.
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

// dataCentre takes a data centre in or out of service.
func (f *Front) dataCentre(in schema.DataCentre) (schema.ChangeResult, error) {
	if in.State != schema.DataCentreStateIn && in.State != schema.DataCentreStateOut {
		return schema.ChangeResult{}, &schema.InvalidError{Input: "data centre", Faults: []schema.Fault{
			{Place: "state", Value: string(in.State), Problem: "must be in or out"},
		}}
	}

	return f.change(operator.SetDataCentre{Name: in.Name, State: in.State})
}

// change offers a change to the operator duty and waits for its reply.
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

// requestDump offers a request to the dump duty and waits for its reply.
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

// ready responds with the host's state, and with status 503 unless the host is
// live.
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

// errorResponse holds the HTTP status, reason and outcome of an error response.
type errorResponse struct {
	status  int
	reason  string
	outcome string
}

// Outcomes of a change that was not accepted.
const (
	outcomeNotRun  = "not_run"
	outcomeUnknown = "unknown"
)

// writeError writes an error as a JSON failure.
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

// classify maps an error to the response for it.
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

// conflictReason returns the reason of a change that conflicts with another
// one, or an empty string for other errors.
func conflictReason(err error) string {
	var (
		conflict     *table.ConflictError
		outdated     *operator.OutdatedError
		superseded   *operator.SupersededError
		collided     *operator.CollisionError
		notPersisted *operator.NotPersistedError
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
	case errors.As(err, &notPersisted):
		return "override_not_kept"
	default:
		return ""
	}
}

// classifyPlatform maps an error of the platform or of this host to the
// response for it.
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
