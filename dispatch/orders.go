package dispatch

import (
	"io"
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/table"
)

// stateElsewhere is the state of an order that another host knows about.
const stateElsewhere = "elsewhere"

// OrderCall is a caller's request for an order.
type OrderCall struct {
	// Order describes the request; its call's ID comes from NextCall. Its order id
	// is empty if a number is given.
	Order caller.OrderRequest
	// Number is the caller's own number for the order, or empty.
	Number string
	// Request is what a backend server receives.
	Request *Request
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[Reply]
}

// OrderAsk asks for the state of an order.
type OrderAsk struct {
	// Order identifies the order.
	Order caller.OrderID
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.OrderStatus]
}

// OrdersDump asks for the state of the order book.
type OrdersDump struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.OrdersDump]
}

// Claim wants a caller's own order number for an order id of this incarnation.
type Claim struct {
	table.Claim
	// Call identifies the request.
	Call caller.CallID
}

// Claimed says what became of a claim.
type Claimed struct {
	// Claim is the claim.
	Claim Claim
	// Result says what became of it.
	Result table.ClaimResult
}

// Orders holds what the duty keeps for orders.
type Orders struct {
	// Book decides which orders run.
	Book *caller.OrderBook
	// Claims is the ring that the claims duty takes from, or nil.
	Claims *ring.Ring[Claim]
	// Random is drawn from for order ids, or nil.
	Random io.Reader

	answers   map[caller.OrderID]*Answer
	runEvents []runEvent
}

// NewOrders returns the state of a duty without orders. Callers' own order
// numbers are refused if there is no ring for claims.
func NewOrders(book *caller.OrderBook, claims *ring.Ring[Claim], random io.Reader) *Orders {
	return &Orders{Book: book, Claims: claims, Random: random, answers: map[caller.OrderID]*Answer{}}
}

// tickOrders tells the order book that time passed.
func (d *Duty) tickOrders(now time.Time) {
	if d.Orders.Book.Busy() {
		d.stepOrders(now, caller.OrdersTicked{}, nil)
	}
	d.processRunEvents(now)
}

// stepOrders steps the order book and carries out its actions. The answer is the one
// that came with the event, or nil.
func (d *Duty) stepOrders(now time.Time, event caller.OrderEvent, answer *Answer) {
	for _, action := range d.Orders.Book.Step(now, event) {
		switch action := action.(type) {
		case caller.StartRun:
			d.startRun(now, action)
		case caller.CancelRun:
			d.cancel(now, action.Run)
		case caller.BeginAnswer:
			d.beginOrder(event, action.Call, answer)
		case caller.EndRequest:
			d.endRequest(action, answer)
		case caller.KeepAnswer:
			d.Orders.answers[action.Order] = answer
		case caller.ForgetOrder:
			delete(d.Orders.answers, action.Order)
		case caller.Violation:
			d.reportViolation(action)
		}
	}
}

// endRequest replies with what the order book decided.
func (d *Duty) endRequest(action caller.EndRequest, answer *Answer) {
	finished := Finished{Outcome: action.Outcome}
	if answered, ok := action.Outcome.(caller.Answered); ok && answered.Reason == "" {
		finished.Answer = answer
		if answer == nil {
			finished.Answer = d.Orders.answers[action.Order]
		}
	}
	d.finish(action.Call, finished)
}

// orderCalled takes a caller's request for an order.
func (d *Duty) orderCalled(now time.Time, input OrderCall) {
	request := input.Order
	d.calls[request.Call.ID] = &pendingCall{
		request: input.Request, call: request.Call, reply: input.Reply, order: &request,
	}
	if input.Number != "" {
		d.claim(now, &request, input.Number)

		return
	}
	d.routeOrder(now, &request)
}

// claim asks the platform for the caller's own number.
func (d *Duty) claim(now time.Time, request *caller.OrderRequest, number string) {
	refused := Finished{Outcome: request.Undelivered(caller.ReasonOverloaded)}
	if d.Orders.Claims == nil || d.Orders.Random == nil {
		d.finish(request.Call.ID, refused)

		return
	}
	id, err := caller.NewOrderID(d.Orders.Book.Incarnation, now, d.Orders.Random)
	if err != nil {
		d.finish(request.Call.ID, refused)

		return
	}
	request.Order = id
	claim := table.Claim{Key: table.ClaimKey(request.Call.Service, number), Token: id.String()}
	if d.Orders.Claims.Offer(Claim{Claim: claim, Call: request.Call.ID}) != nil {
		d.finish(request.Call.ID, refused)
	}
}

// claimed goes on with a request whose number is settled. The order id that
// holds the number decides where the order runs. A number that is not settled
// may hold this request's id, which therefore never runs for it.
func (d *Duty) claimed(now time.Time, input Claimed) {
	call, ok := d.calls[input.Claim.Call]
	if !ok {
		return
	}
	switch result := input.Result.(type) {
	case table.ClaimHeld:
		id, err := caller.ParseOrderID(result.By)
		if err != nil {
			d.finish(call.call.ID, Finished{Outcome: caller.Unknown{Reason: caller.ReasonInvalid}})

			return
		}
		call.order.Order = id
		d.routeOrder(now, call.order)
	case table.ClaimUnsettled:
		outcome := call.order.Undelivered(caller.ReasonPlatformUnavailable)
		notRun, refused := outcome.(caller.NotRun)
		if !refused {
			d.finish(call.call.ID, Finished{Outcome: outcome})

			return
		}
		d.stepOrders(now, caller.OrderDeclined{OrderRequest: *call.order, Outcome: notRun}, nil)
	}
}

// routeOrder gives a request to the only incarnation that may run its order.
func (d *Duty) routeOrder(now time.Time, request *caller.OrderRequest) {
	switch route := d.Router.RouteOrder(request.Order, request.Call.Hops).(type) {
	case caller.OrderHere:
		d.stepOrders(now, caller.OrderArrived{OrderRequest: *request, Run: NextCall()}, nil)
	case caller.OrderElsewhere:
		d.forwardOrder(request, route.Address)
	case caller.OrderUnreachable:
		d.finish(request.Call.ID, Finished{Outcome: request.Undelivered(route.Reason)})
	}
}

// forwardOrder sends a request to the host that may run its order.
func (d *Duty) forwardOrder(request *caller.OrderRequest, address string) {
	call := d.calls[request.Call.ID]
	call.forward = NewAttempt(Attempt{
		Call:         request.Call.ID,
		Service:      request.Call.Service,
		Address:      address,
		Request:      call.request,
		Deadline:     request.Call.Deadline,
		Forward:      true,
		Hops:         request.Call.Hops + 1,
		Depth:        request.Call.Depth,
		OrderID:      request.Order.String(),
		OrderAttempt: request.Attempt,
		OrderFirst:   request.First,
	})
	if d.Attempts.Offer(call.forward) != nil {
		d.finish(request.Call.ID, Finished{Outcome: request.Undelivered(caller.ReasonOverloaded)})
	}
}

// forwarded returns how a call ended that was forwarded to another host.
func (d *Duty) forwarded(input Ended) Finished {
	finished := Finished{Outcome: backend.OutcomeOf(input.Result), Answer: input.Answer}
	call, ok := d.calls[input.Attempt.Call]
	if !ok || call.order == nil && call.run == nil {
		return finished
	}
	if call.order != nil {
		return forwardedOrder(call.order, finished)
	}
	if _, whole := finished.Outcome.(caller.Answered); !whole {
		return finished
	}
	answer := input.Answer
	if answer == nil {
		answer = call.run.begun
	}
	finished.Outcome = statedOutcome(answer)

	return finished
}

// forwardedOrder returns how a forwarded request for an order ended. The other
// host's answer is passed on with the outcome that it states.
func forwardedOrder(request *caller.OrderRequest, finished Finished) Finished {
	switch outcome := finished.Outcome.(type) {
	case caller.NotRun:
		finished.Outcome = request.Undelivered(outcome.Reason)
	case caller.Answered:
		if finished.Answer != nil && finished.Answer.Outcome == nil {
			return Finished{Outcome: caller.Unknown{Reason: caller.ReasonCut}}
		}
	case caller.Unknown:
	}

	return finished
}

// statedOutcome returns the outcome that another host stated with its answer. A run
// that may have happened is never taken for one that did not.
func statedOutcome(answer *Answer) caller.Outcome {
	if answer == nil || answer.Outcome == nil {
		return caller.Unknown{Reason: caller.ReasonCut}
	}

	return answer.Outcome
}

// cancelOrderRequest forgets a request whose caller went away.
func (d *Duty) cancelOrderRequest(now time.Time, call *pendingCall) {
	if call.streamedRun != 0 {
		d.cancel(now, call.streamedRun)

		return
	}
	d.stepOrders(now, caller.OrderLeft{Call: call.call.ID}, nil)
}

// orderStatus returns what this host knows about an order.
func (d *Duty) orderStatus(now time.Time, id caller.OrderID) schema.OrderStatus {
	status := schema.OrderStatus{OrderID: id.String(), State: string(caller.OrderUnknown)}
	switch route := d.Router.RouteOrder(id, 0).(type) {
	case caller.OrderHere:
		state, outcome := d.Orders.Book.State(now, id)
		status.State, status.Reason = string(state), string(reasonOf(outcome))
	case caller.OrderElsewhere:
		status.State, status.Address = stateElsewhere, route.Address
	case caller.OrderUnreachable:
		status.Reason = string(route.Reason)
	}

	return status
}

// reasonOf returns the reason of an outcome, or nothing.
func reasonOf(outcome caller.Outcome) caller.Reason {
	switch outcome := outcome.(type) {
	case caller.Answered:
		return outcome.Reason
	case caller.NotRun:
		return outcome.Reason
	case caller.Unknown:
		return outcome.Reason
	}

	return ""
}
