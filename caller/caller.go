// Package caller routes the requests of callers. It selects the hosts for a
// service, decides whether a call is placed here, forwarded or refused,
// defines the outcomes of calls, and runs each order at most once. Router and
// OrderBook take an event and the time and return actions; the package uses no
// clock, sockets, goroutines or locks. Package callerhttp holds the encoding.
// Change this package to change routing and outcomes.
package caller

import "time"

// CallID identifies a call or another request. It is unique within a process.
type CallID uint64

// Cell identifies the backend servers of one service in one data centre. One
// host at a time owns a cell and dispatches to its backend servers.
type Cell struct {
	// Service is the name of the service.
	Service string
	// DataCentre is the name of the data centre.
	DataCentre string
}

// Call is one request of a caller, without its content.
type Call struct {
	// ID identifies the call within this process.
	ID CallID
	// Service is the name of the called service.
	Service string
	// Caller identifies the caller for fair queueing.
	Caller string
	// Idempotent reports whether the call may run more than once.
	Idempotent bool
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Depth is the number of calls in which this call is nested.
	Depth int
	// Hops is the number of entry hosts that forwarded the call.
	Hops int
	// Moved reports whether the call was moved from the queue of another cell.
	Moved bool
	// OrderID is the text form of the order id, or empty.
	OrderID string
}

// Reason states why a call was not answered. The values are part of the
// interface to callers.
type Reason string

// The reasons that callers can see.
const (
	// ReasonUnknownService means that the service is not declared.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonNotReady means that the host has no configuration yet or must refuse
	// all calls.
	ReasonNotReady Reason = "not_ready"
	// ReasonNoBackendServer means that no backend server may receive the call.
	ReasonNoBackendServer Reason = "no_backend_server"
	// ReasonMisdirected means that another host owns the cell and the call has
	// reached the maximum number of forwards.
	ReasonMisdirected Reason = "misdirected"
	// ReasonOverloaded means that a bounded queue or ring was full.
	ReasonOverloaded Reason = "overloaded"
	// ReasonDeadline means that the deadline passed or could not be met.
	ReasonDeadline Reason = "deadline"
	// ReasonShed means that backend servers shed the call and no further
	// attempt was permitted.
	ReasonShed Reason = "shed"
	// ReasonUnreachable means that no usable connection was available.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCut means that the answer of a backend server ended early.
	ReasonCut Reason = "cut"
	// ReasonCancelled means that the caller cancelled the call or disconnected.
	ReasonCancelled Reason = "cancelled"
	// ReasonStopping means that the host is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonInvalid means that the request was malformed.
	ReasonInvalid Reason = "invalid"
	// ReasonExpired means that the lifetime of an order id has passed.
	ReasonExpired Reason = "expired"
	// ReasonIncarnationGone means that the only incarnation that may run an order
	// is not known to be live.
	ReasonIncarnationGone Reason = "incarnation_gone"
	// ReasonOrderMismatch means that the order id belongs to a request with other
	// content.
	ReasonOrderMismatch Reason = "order_mismatch"
	// ReasonAnswerNotKept means that an order ran and was answered, but the answer
	// is no longer available.
	ReasonAnswerNotKept Reason = "answer_not_kept"
	// ReasonPlatformUnavailable means that the platform was not reached or did not
	// settle the claim of an order number.
	ReasonPlatformUnavailable Reason = "platform_unavailable"
)

// Outcome is the final result of a call for its caller: Answered, NotRun or
// Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered is the outcome of a call that a backend server answered completely.
type Answered struct {
	// Reason is empty if the caller receives the answer; otherwise it states why
	// the caller does not.
	Reason Reason
}

// NotRun is the outcome of a call that no backend server ran.
type NotRun struct {
	// Reason states why the call was not run.
	Reason Reason
	// Addresses are the client-visible addresses of alternative hosts, the best
	// first.
	Addresses []string
}

// Unknown is the outcome of a call that a backend server may have run.
type Unknown struct {
	// Reason states why there is no answer.
	Reason Reason
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Violation reports a broken invariant, which is a defect in this program.
type Violation struct {
	// Invariant is the name of the invariant.
	Invariant string
	// Detail describes the observed state.
	Detail string
}
