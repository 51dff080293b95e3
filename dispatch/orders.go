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

// stateElsewhere is the reported state of an order that another host holds.
const stateElsewhere = "elsewhere"

// OrderCall is a caller's request for an order.
type OrderCall struct {
	// Order describes the request; its call's ID comes from NextCall. Its order id
	// is empty if Number is set.
	Order caller.OrderRequest
	// Number is the caller's own number for the order, or empty.
	Number string
	// Request is the request for the backend server.
	Request *Request
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[Reply]
}

// OrderAsk requests the state of an order.
type OrderAsk struct {
	// Order identifies the order.
	Order caller.OrderID
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.OrderStatus]
}

// OrdersDump requests the state of the order book.
type OrdersDump struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.OrdersDump]
}

// Claim is a request to bind a caller's own order number to an order id of this
// incarnation.
type Claim struct {
	table.Claim
	// Call identifies the caller's request.
	Call caller.CallID
}

// Claimed reports the result of a claim.
type Claimed struct {
	// Claim is the claim that ended.
	Claim Claim
	// Result tells which order id holds the number, if that is settled.
	Result table.ClaimResult
}

// Orders is the state of the dispatch duty that concerns orders.
type Orders struct {
	// Book decides which orders run.
	Book *caller.OrderBook
	// Claims is the ring that the claims duty reads from, or nil.
	Claims *ring.Ring[Claim]
	// Random is the source of randomness for order ids, or nil.
	Random io.Reader

	answers   map[caller.OrderID]*Answer
	runEvents []runEvent
}

// NewOrders returns a state without orders. Requests with a caller's own order
// number are refused if claims or random is nil.
func NewOrders(book *caller.OrderBook, claims *ring.Ring[Claim], random io.Reader) *Orders {
	return &Orders{Book: book, Claims: claims, Random: random, answers: map[caller.OrderID]*Answer{}}
}

// tickOrders processes the timeouts of orders.
func (d *Duty) tickOrders(now time.Time) {
	if d.Orders.Book.Busy() {
		d.stepOrders(now, caller.OrdersTicked{}, nil)
	}
	d.processRunEvents(now)
}

// stepOrders passes an event to the order book and carries out the actions. The
// answer is the one that came with the event, or nil.
func (d *Duty) stepOrders(now time.Time, event caller.OrderEvent, answer *Answer) {
	for _, action := range d.Orders.Book.Step(now, event) {
		switch action := action.(type) {
		case caller.StartRun:
			d.startRun(now, action)
		case caller.CancelRun:
			d.cancel(now, action.Run)
		case caller.BeginAnswer:
			d.startOrderResponse(event, action.Call, answer)
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

// endRequest replies to a request with the outcome from the order book.
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

// orderCalled processes a caller's request for an order.
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

// claim starts a claim of the caller's own number in the platform's store.
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

// claimed continues a request after its claim. The order id that holds the number
// determines where the order runs. If the claim is unsettled, the store may hold
// this request's id, which therefore never runs for this request.
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

// routeOrder passes a request to the only incarnation that may run its order.
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

// forwarded returns the reply to a call that was forwarded to another host.
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

// forwardedOrder returns the reply to a forwarded request for an order. The other
// host's response is passed on with the outcome that it states.
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

// statedOutcome returns the outcome that another host stated in its response.
// Without one it returns Unknown, because the call may have run.
func statedOutcome(answer *Answer) caller.Outcome {
	if answer == nil || answer.Outcome == nil {
		return caller.Unknown{Reason: caller.ReasonCut}
	}

	return answer.Outcome
}

// cancelOrderRequest processes the disconnection of the caller of a request for
// an order.
func (d *Duty) cancelOrderRequest(now time.Time, call *pendingCall) {
	if call.streamedRun != 0 {
		d.cancel(now, call.streamedRun)

		return
	}
	d.stepOrders(now, caller.OrderLeft{Call: call.call.ID}, nil)
}

// orderStatus returns the state of an order as far as this host knows it.
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

// reasonOf returns the reason of an outcome, or an empty one.
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
