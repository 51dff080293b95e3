package caller

import (
	"crypto/sha256"
	"time"
)

// OrderState is the state of an order in the order book.
type OrderState string

// The states of an order. Callers see these values.
const (
	// OrderUnseen means that no request for the order has arrived.
	OrderUnseen OrderState = "unseen"
	// OrderClaimed means that a run was started and no byte of it has been sent.
	OrderClaimed OrderState = "claimed"
	// OrderSent means that bytes of the run may have been sent.
	OrderSent OrderState = "sent"
	// OrderAnswered means that the order ran and was answered.
	OrderAnswered OrderState = "answered"
	// OrderUnknown means that the order may have run and will not be sent again.
	OrderUnknown OrderState = "unknown"
	// OrderRefused means that the order did not run. Only a request with a higher
	// attempt number than any that was refused may still run it.
	OrderRefused OrderState = "refused"
)

// Fingerprint is a SHA-256 hash that distinguishes requests by their content.
type Fingerprint [sha256.Size]byte

// OrderRequest is one request of a caller for an order.
type OrderRequest struct {
	// Call is the request as a call.
	Call Call
	// Order identifies the order.
	Order OrderID
	// Attempt is the number of earlier requests of the caller for the order.
	Attempt int
	// First reports whether the caller guarantees that it sent no earlier request
	// for the order, sends none while it waits for this one, and gives later ones
	// a higher attempt number.
	First bool
	// Fingerprint identifies the content of the request.
	Fingerprint Fingerprint
}

// Undelivered returns the outcome of a request that did not reach the
// incarnation of the order. It is NotRun only if First is set; otherwise an
// earlier request may have run the order.
func (r OrderRequest) Undelivered(reason Reason) Outcome {
	if r.First {
		return NotRun{Reason: reason}
	}

	return Unknown{Reason: reason}
}

// OrderEvent is an input of the order book: OrderArrived, OrderDeclined,
// OrderLeft, RunSent, RunAnswering, RunEnded or OrdersTicked.
//
//sumtype:decl
type OrderEvent interface{ orderEvent() }

// OrderArrived reports that a request for an order of this incarnation arrived.
type OrderArrived struct {
	OrderRequest
	// Run is the identifier of the run if this request starts one. It is unique to
	// this event.
	Run CallID
}

// OrderDeclined reports that a request for an order of this incarnation ends as
// not_run and therefore must not start a run.
type OrderDeclined struct {
	OrderRequest
	// Outcome is the outcome for the caller.
	Outcome NotRun
}

// OrderLeft reports that the caller of a request disconnected.
type OrderLeft struct {
	// Call identifies the request.
	Call CallID
}

// RunSent reports that bytes of a run may have been sent.
type RunSent struct {
	// Run identifies the run.
	Run CallID
}

// RunAnswering reports that the first part of a large answer to a run arrived.
type RunAnswering struct {
	// Run identifies the run.
	Run CallID
}

// RunEnded reports the outcome of a run.
type RunEnded struct {
	// Run identifies the run.
	Run CallID
	// Outcome is the outcome of the run.
	Outcome Outcome
	// Size is the size of the answer's body in bytes.
	Size int
}

// OrdersTicked reports that time has passed. Deadlines are checked on this
// event.
type OrdersTicked struct{}

func (OrderArrived) orderEvent()  {}
func (OrderDeclined) orderEvent() {}
func (OrderLeft) orderEvent()     {}
func (RunSent) orderEvent()       {}
func (RunAnswering) orderEvent()  {}
func (RunEnded) orderEvent()      {}
func (OrdersTicked) orderEvent()  {}

// OrderAction is an instruction of the order book to the code that drives it:
// StartRun, CancelRun, BeginAnswer, EndRequest, KeepAnswer, ForgetOrder or
// Violation.
//
//sumtype:decl
type OrderAction interface{ orderAction() }

// StartRun starts the run of an order as a call that must not be repeated.
type StartRun struct {
	// Call is the run as a call. Its ID identifies the run.
	Call Call
	// For identifies the request whose content is sent.
	For CallID
}

// CancelRun cancels a run whose large answer no request waits for.
type CancelRun struct {
	// Run identifies the run.
	Run CallID
}

// BeginAnswer starts to stream the large answer of a run to a request.
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
	// Outcome is the outcome for the caller. If it is Answered without a reason,
	// the caller receives the answer.
	Outcome Outcome
}

// KeepAnswer keeps the answer of the run that just ended for repeats.
type KeepAnswer struct {
	// Order identifies the order.
	Order OrderID
}

// ForgetOrder discards an order whose lifetime has passed, with its kept
// answer.
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
