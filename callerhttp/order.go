package callerhttp

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxOrderNumber is the maximum length in bytes of a caller's own order number.
	maxOrderNumber = 128
	// maxOrderAttempt is the maximum attempt number.
	maxOrderAttempt = 1_000_000
	// orderNotAnswered is the failure detail for an order without a response.
	orderNotAnswered = "the order has no answer to give; GET /order/ID tells its state"
)

// orderMethods are the HTTP methods accepted for orders, all of them unsafe.
var orderMethods = []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// order handles /order/SERVICE/PATH: it runs an order at most once and returns
// the response. Once a valid order id or number has been read, only the order's
// host returns not_run, because an earlier request may have run the order. The
// exception is a request that the caller guarantees to be its first.
func (f *Front) order(c fiber.Ctx) error {
	input, found := f.decodeOrder(c)
	if len(found) > 0 {
		return rejectOrder(c, found)
	}
	ctx, cancel := context.WithDeadline(context.Background(), input.Order.Call.Deadline)
	defer cancel()
	if err := f.Inputs.Put(ctx, input); err != nil {
		return fail(c, input.Order.Undelivered(caller.ReasonOverloaded), err.Error())
	}
	switch reply := f.wait(c, input.Order.Call, input.Reply).(type) {
	case dispatch.AnswerBegun:
		return f.stream(c, input.Order.Call, reply.Answer)
	case dispatch.Finished:
		if reply.Answer == nil {
			return fail(c, reply.Outcome, orderNotAnswered)
		}

		return finish(c, reply)
	default:
		return fail(c, caller.Unknown{Reason: caller.ReasonStopping}, "the host stopped before the order ended")
	}
}

// decodeOrder returns the order that a request describes, and the rejected header
// fields.
func (f *Front) decodeOrder(c fiber.Ctx) (dispatch.OrderCall, []fault) {
	call, found := f.decode(c)
	limits := faults{found: found}
	order := caller.OrderRequest{
		Call:    call,
		Attempt: int(limits.number(c, backendhttp.HeaderOrderAttempt, 0, 0, maxOrderAttempt)),
	}
	order.First = order.Attempt == 0 && c.Get(backendhttp.HeaderOrderAttempt) != ""
	number := strings.Clone(c.Get(backendhttp.HeaderOrderNumber))
	raw := strings.Clone(c.Get(backendhttp.HeaderOrderID))
	switch {
	case (raw == "") == (number == ""):
		limits.found = append(limits.found, fault{
			Place: backendhttp.HeaderOrderID, Value: raw, Problem: "either this or " + backendhttp.HeaderOrderNumber + " must be given",
		})
	case raw != "":
		order.Order = limits.orderID(raw)
	case !validOrderNumber(number):
		limits.found = append(limits.found, fault{
			Place: backendhttp.HeaderOrderNumber, Value: number, Problem: "must have 1 to 128 printable ASCII characters",
		})
	}
	content := copyRequest(c)
	order.Fingerprint = fingerprint(call.Service, content)

	return dispatch.OrderCall{
		Order: order, Number: number, Request: content, Reply: ring.New[dispatch.Reply]("reply", 1),
	}, limits.found
}

// orderID parses an order id and records a malformed one as a fault.
func (f *faults) orderID(raw string) caller.OrderID {
	id, err := caller.ParseOrderID(raw)
	var invalid *schema.InvalidError
	if errors.As(err, &invalid) {
		f.found = append(f.found, invalid.Faults...)
	}

	return id
}

// validOrderNumber reports whether a caller's order number is short enough and
// consists of printable ASCII characters.
func validOrderNumber(number string) bool {
	unprintable := func(r rune) bool { return r < ' ' || r > '~' }

	return len(number) <= maxOrderNumber && !strings.ContainsFunc(number, unprintable)
}

// fingerprint returns a hash of the content of an order.
func fingerprint(service string, content *dispatch.Request) caller.Fingerprint {
	head := strings.Join([]string{service, content.Method, content.Target, ""}, "\x00")

	return sha256.Sum256(append([]byte(head), content.Body...))
}

// rejectOrder writes the response to a malformed request for an order. An earlier
// request may have run the same order, so the outcome is not_run only if the
// request has no valid order id or number.
func rejectOrder(c fiber.Ctx, found []fault) error {
	_, err := caller.ParseOrderID(c.Get(backendhttp.HeaderOrderID))
	number := c.Get(backendhttp.HeaderOrderNumber)
	if err != nil && (number == "" || !validOrderNumber(number)) {
		return reject(c, found)
	}

	return writeFailure(c, http.StatusBadRequest, schema.Failure{
		Outcome: outcomeUnknown, Reason: string(caller.ReasonInvalid),
		Detail: "the request is malformed; an earlier one may have run the order", Faults: found,
	})
}

// orderStatus handles GET /order/ID, which returns the state of an order as far as
// this host knows it.
func (f *Front) orderStatus(c fiber.Ctx) error {
	limits := faults{}
	id := limits.orderID(strings.Clone(c.Params("id")))
	if len(limits.found) > 0 {
		return reject(c, limits.found)
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(f.CallTimeout, time.Minute))
	defer cancel()
	reply := ring.New[schema.OrderStatus]("order status", 1)
	if err := f.Inputs.Put(ctx, dispatch.OrderAsk{Order: id, Reply: reply}); err != nil {
		return fail(c, caller.Unknown{Reason: caller.ReasonOverloaded}, err.Error())
	}
	status, err := reply.Take(ctx)
	if err != nil {
		return fail(c, caller.Unknown{Reason: caller.ReasonStopping}, err.Error())
	}

	return c.JSON(status)
}
