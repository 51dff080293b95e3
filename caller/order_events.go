package caller

import (
	"crypto/sha256"
	"time"
)

// OrderState is what the order book knows about an order.
type OrderState string

// The states of an order. The words are those that callers see.
const (
	// OrderUnseen says that the order did not arrive yet.
	OrderUnseen OrderState = "unseen"
	// OrderClaimed says that the order waits and no byte of it has left.
	OrderClaimed OrderState = "claimed"
	// OrderSent says that bytes of the order may have left.
	OrderSent OrderState = "sent"
	// OrderAnswered says that the order ran and was answered.
	OrderAnswered OrderState = "answered"
	// OrderUnknown says that the order may have run and will not be sent again.
	OrderUnknown OrderState = "unknown"
	// OrderRefused says that the order did not run. Only a request with a higher
	// attempt number than any that was refused may still run it.
	OrderRefused OrderState = "refused"
)

// Fingerprint tells requests with different content apart.
type Fingerprint [sha256.Size]byte

// OrderRequest is one request of a caller for an order.
type OrderRequest struct {
	// Call is the request.
	Call Call
	// Order identifies the order.
	Order OrderID
	// Attempt is the number of requests that the caller sent for the order before.
	Attempt int
	// First says that the caller vouches that it sent no request for the order
	// before, sends none while it waits for this one, and gives a higher attempt
	// number to later ones.
	First bool
	// Fingerprint identifies the content.
	Fingerprint Fingerprint
}

// Undelivered returns the outcome of a request that never reached the order's
// incarnation. Without the caller's word an earlier request may have run.
func (r OrderRequest) Undelivered(reason Reason) Outcome {
	if r.First {
		return NotRun{Reason: reason}
	}

	return Unknown{Reason: reason}
}

// OrderEvent is what the order book reacts to.
//
//sumtype:decl
type OrderEvent interface{ orderEvent() }

// OrderArrived says that a request for an order of this incarnation arrived.
type OrderArrived struct {
	OrderRequest
	// Run identifies the run if this request starts one; no other event has it.
	Run CallID
}

// OrderDeclined says that a request for an order of this incarnation is told
// not_run and that the order must not run because of it.
type OrderDeclined struct {
	OrderRequest
	// Outcome is what the caller is told.
	Outcome NotRun
}

// OrderLeft says that the caller of a request went away.
type OrderLeft struct {
	// Call identifies the request.
	Call CallID
}

// RunSent says that bytes of a run may have left.
type RunSent struct {
	// Run identifies the run.
	Run CallID
}

// RunAnswering says that the first part of a large answer to a run arrived.
type RunAnswering struct {
	// Run identifies the run.
	Run CallID
}

// RunEnded says how a run ended.
type RunEnded struct {
	// Run identifies the run.
	Run CallID
	// Outcome says how.
	Outcome Outcome
	// Size is the size of the answer's body in bytes.
	Size int
}

// OrdersTicked says that time passed.
type OrdersTicked struct{}

func (OrderArrived) orderEvent()  {}
func (OrderDeclined) orderEvent() {}
func (OrderLeft) orderEvent()     {}
func (RunSent) orderEvent()       {}
func (RunAnswering) orderEvent()  {}
func (RunEnded) orderEvent()      {}
func (OrdersTicked) orderEvent()  {}

// OrderAction is what the order book wants done.
//
//sumtype:decl
type OrderAction interface{ orderAction() }

// StartRun runs an order once, as a call that must not be repeated.
type StartRun struct {
	// Call is the run.
	Call Call
	// For identifies the request whose content is run.
	For CallID
}

// CancelRun gives up a run whose large answer nobody waits for.
type CancelRun struct {
	// Run identifies the run.
	Run CallID
}

// BeginAnswer starts to give a run's large answer to a request.
type BeginAnswer struct {
	// Call identifies the request.
	Call CallID
}

// EndRequest ends a request. It is the last action for the request.
type EndRequest struct {
	// Call identifies the request.
	Call CallID
	// Order identifies the order.
	Order OrderID
	// Outcome says how the order ended. Answered without a reason goes with the
	// answer.
	Outcome Outcome
}

// KeepAnswer keeps the answer of the run that ended, for repeats.
type KeepAnswer struct {
	// Order identifies the order.
	Order OrderID
}

// ForgetOrder drops an order whose lifetime has passed.
type ForgetOrder struct {
	// Order identifies the order.
	Order OrderID
}

func (StartRun) orderAction()    {}
func (CancelRun) orderAction()   {}
func (BeginAnswer) orderAction() {}
func (EndRequest) orderAction()  {}
func (KeepAnswer) orderAction()  {}
func (ForgetOrder) orderAction() {}
func (Violation) orderAction()   {}

// waiter is a request that waits for the end of a run.
type waiter struct {
	call     CallID
	attempt  int
	deadline time.Time
}
