// Package caller decides what callers are told: which host to use for a
// service, whether a call is placed here, forwarded or refused, and how it
// ends. It holds no clock, socket, goroutine or lock: events go in, actions
// come out. Encoding lives in package callerhttp. Change this package to change
// routing and outcomes.
package caller

import "time"

// CallID identifies a call within one process.
type CallID uint64

// Cell is a service's backend servers in one data centre. One host at a time
// owns a cell and dispatches to its backend servers.
type Cell struct {
	// Service names the service.
	Service string
	// DataCentre names the data centre.
	DataCentre string
}

// Call is one request of a caller, without its encoding.
type Call struct {
	// ID identifies the call within this process.
	ID CallID
	// Service names the service called.
	Service string
	// Caller identifies the caller for fair queueing.
	Caller string
	// Idempotent allows the call to run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Depth is the number of calls that this call is nested in.
	Depth int
	// Hops is the number of entry hosts that forwarded the call.
	Hops int
	// Moved says that the call waited in another cell before.
	Moved bool
	// OrderID is the id of the order, or empty.
	OrderID string
}

// Reason is a stable word that says why a call was not answered.
type Reason string

// The reasons that callers can see.
const (
	// ReasonUnknownService says that no such service is declared.
	ReasonUnknownService Reason = "unknown_service"
	// ReasonNotReady says that the host has no configuration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonNoBackendServer says that no backend server may take the call.
	ReasonNoBackendServer Reason = "no_backend_server"
	// ReasonMisdirected says that another host owns the cell and the call was
	// forwarded as often as allowed.
	ReasonMisdirected Reason = "misdirected"
	// ReasonOverloaded says that a bounded queue or ring was full.
	ReasonOverloaded Reason = "overloaded"
	// ReasonDeadline says that the deadline passed or could not be met.
	ReasonDeadline Reason = "deadline"
	// ReasonShed says that backend servers shed the call until it was given up.
	ReasonShed Reason = "shed"
	// ReasonUnreachable says that no connection could be used.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCut says that a backend server's answer ended early.
	ReasonCut Reason = "cut"
	// ReasonCancelled says that the caller went away.
	ReasonCancelled Reason = "cancelled"
	// ReasonStopping says that the host is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonInvalid says that the request was malformed.
	ReasonInvalid Reason = "invalid"
	// ReasonExpired says that the lifetime of an order id has passed.
	ReasonExpired Reason = "expired"
	// ReasonIncarnationGone says that the only incarnation that may run an order
	// is not known to be live.
	ReasonIncarnationGone Reason = "incarnation_gone"
	// ReasonOrderMismatch says that the order id belongs to another request.
	ReasonOrderMismatch Reason = "order_mismatch"
	// ReasonAnswerNotKept says that an order ran and was answered, and that its
	// answer is not held any more.
	ReasonAnswerNotKept Reason = "answer_not_kept"
	// ReasonPlatformUnavailable says that the platform could not be asked.
	ReasonPlatformUnavailable Reason = "platform_unavailable"
)

// Outcome is how a call ends: Answered, NotRun or Unknown.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered says that a backend server answered whole.
type Answered struct {
	// Reason is empty when the caller receives the answer, and says why not
	// otherwise.
	Reason Reason
}

// NotRun says that no backend server ran the call.
type NotRun struct {
	// Reason says why.
	Reason Reason
	// Addresses are other hosts to use, the best first.
	Addresses []string
}

// Unknown says that a backend server may have run the call.
type Unknown struct {
	// Reason says why there is no answer.
	Reason Reason
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Violation reports a broken invariant. It is a defect of this program.
type Violation struct {
	// Invariant names the invariant.
	Invariant string
	// Detail says what was found.
	Detail string
}
