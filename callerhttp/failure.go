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

// The words for outcomes in header fields and bodies.
const (
	outcomeNotRun  = backendhttp.OutcomeNotRun
	outcomeUnknown = backendhttp.OutcomeUnknown
)

// fault is a rejected header field.
type fault = schema.Fault

// faults collects rejected header fields.
type faults struct {
	found []fault
}

// number reads a whole number from a header field, or the fallback if the
// field is absent.
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

// reject answers a malformed request.
func reject(c fiber.Ctx, found []fault) error {
	return writeFailure(c, http.StatusBadRequest, schema.Failure{
		Outcome: outcomeNotRun, Reason: string(caller.ReasonInvalid), Detail: "the request is malformed", Faults: found,
	})
}

// fail answers a call that has no backend server's answer.
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

// notRunStatus returns the HTTP status of a call that was not run.
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

// unknownStatus returns the HTTP status of a call that may have run.
func unknownStatus(reason caller.Reason) int {
	if reason == caller.ReasonDeadline {
		return http.StatusGatewayTimeout
	}

	return http.StatusBadGateway
}

// handleError answers requests that no handler accepts.
func handleError(c fiber.Ctx, err error) error {
	var refused *fiber.Error
	if errors.As(err, &refused) && refused.Code < http.StatusInternalServerError {
		return writeFailure(c, refused.Code, schema.Failure{
			Outcome: outcomeNotRun, Reason: string(caller.ReasonInvalid), Detail: err.Error(),
		})
	}

	return writeFailure(c, http.StatusInternalServerError, schema.Failure{Outcome: outcomeUnknown, Detail: err.Error()})
}

// writeFailure answers with a failure as JSON.
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
