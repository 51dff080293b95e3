package callerhttp

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Outcome values in header fields and bodies.
const (
	outcomeNotRun  = backendhttp.OutcomeNotRun
	outcomeUnknown = backendhttp.OutcomeUnknown
)

// fault describes a rejected header field.
type fault = schema.Fault

// faults collects rejected header fields.
type faults struct {
	found []fault
}

// number returns the whole number in a header field, or the fallback if the
// field is absent. Values outside the range from low to high are recorded as
// faults.
func (f *faults) number(c fiber.Ctx, header string, fallback, low, high int64) int64 {
	raw := c.Get(header)
	if raw == "" {
		return fallback
	}
	value, err := strconv.ParseInt(raw, 10, 64)
	if err != nil || value < low || value > high {
		f.found = append(f.found, fault{
			Place: header, Value: string([]byte(raw)), Problem: fmt.Sprintf("must be a whole number from %d to %d", low, high),
		})
	}

	return value
}

// reject writes the response to a malformed request.
func reject(c fiber.Ctx, found []fault) error {
	return writeFailure(c, http.StatusBadRequest, schema.Failure{
		Outcome: outcomeNotRun, Reason: string(caller.ReasonInvalid), Detail: "the request is malformed", Faults: found,
	})
}

// fail writes the response to a call for which there is no backend server
// response.
func fail(c fiber.Ctx, outcome caller.Outcome, detail string) error {
	switch outcome := outcome.(type) {
	case caller.NotRun:
		return writeFailure(c, notRunStatus(outcome.Reason), schema.Failure{
			Outcome: outcomeNotRun, Reason: string(outcome.Reason), Detail: detail, Addresses: outcome.Addresses,
		})
	case caller.Unknown:
		return writeFailure(c, unknownStatus(outcome.Reason), schema.Failure{
			Outcome: outcomeUnknown, Reason: string(outcome.Reason), Detail: detail,
		})
	case caller.Answered:
		return writeFailure(c, http.StatusGone, schema.Failure{
			Outcome: backendhttp.OutcomeAnswered, Reason: string(outcome.Reason), Detail: detail,
		})
	}

	return writeFailure(c, http.StatusInternalServerError, schema.Failure{Outcome: outcomeUnknown, Detail: detail})
}

// notRunStatus returns the HTTP status for a call that was not run.
func notRunStatus(reason caller.Reason) int {
	switch reason {
	case caller.ReasonUnknownService:
		return http.StatusNotFound
	case caller.ReasonMisdirected:
		return http.StatusMisdirectedRequest
	case caller.ReasonInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// unknownStatus returns the HTTP status for a call that may have run.
func unknownStatus(reason caller.Reason) int {
	if reason == caller.ReasonDeadline {
		return http.StatusGatewayTimeout
	}

	return http.StatusBadGateway
}

// handleError writes the response to a request that no handler has answered.
func handleError(c fiber.Ctx, err error) error {
	var refused *fiber.Error
	if errors.As(err, &refused) && refused.Code < http.StatusInternalServerError {
		return writeFailure(c, refused.Code, schema.Failure{
			Outcome: outcomeNotRun, Reason: string(caller.ReasonInvalid), Detail: err.Error(),
		})
	}

	return writeFailure(c, http.StatusInternalServerError, schema.Failure{Outcome: outcomeUnknown, Detail: err.Error()})
}

// writeFailure writes a failure as JSON and in the header fields.
func writeFailure(c fiber.Ctx, status int, failure schema.Failure) error {
	if failure.Addresses == nil {
		failure.Addresses = []string{}
	}
	if failure.Faults == nil {
		failure.Faults = []schema.Fault{}
	}
	c.Set(HeaderOutcome, failure.Outcome)
	c.Set(HeaderReason, failure.Reason)

	return c.Status(status).JSON(failure)
}
