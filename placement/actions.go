package placement

import (
	"time"

	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Action is an output of Placer.Step, carried out by the code that calls it.
//
//sumtype:decl
type Action interface{ action() }

// Send starts an attempt: it sends a call to a backend server. It ends with an
// AttemptEnded.
type Send struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
	// Call identifies the call.
	Call CallID
	// Server is the ID of the backend server.
	Server string
	// Address is the ip:port of the backend server.
	Address string
	// Connections bounds this host's connections to the address.
	Connections int
	// Deadline is when the call expires.
	Deadline time.Time
	// Reason says why this backend server was chosen.
	Reason Choice
	// Tenant is the name of the tenant of the call, or empty.
	Tenant string
	// Keys says that the declaration has tenants, so that the request must not carry
	// the caller's key or the caller's statement of a tenant.
	Keys bool
}

// Choice describes how a backend server was chosen, for logs and metrics.
type Choice struct {
	// Route is the name of the route.
	Route string
	// Service is the name of the service.
	Service string
	// DataCentre is the data centre of the backend server.
	DataCentre string
	// Version is the version of the declaration.
	Version int
	// Repeat says that the call was sent before: the attempt is a retry or a
	// hedge.
	Repeat bool
	// Hedge says that an earlier attempt is still in flight.
	Hedge bool
	// Pace is the expected pace of the backend server.
	Pace float64
	// PaceAge is the age of the last pace measurement, or -1 if there is none.
	PaceAge time.Duration
	// InFlight is the number of attempts in flight on the backend server, of
	// all hosts, before this one.
	InFlight int
	// Expected is the expected time until the answer.
	Expected time.Duration
	// Crossing says that the call leaves the data centre of this host.
	Crossing bool
	// LatenessSaved is the risk of a late answer that the call is spared by leaving it.
	LatenessSaved float64
	// Waited is the time since the call arrived at this host.
	Waited time.Duration
}

// Cancel cancels an attempt, which still ends with an AttemptEnded.
type Cancel struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
	// Reason says why the attempt is not needed any more.
	Reason CancelReason
}

// CancelReason says why an attempt is cancelled. Its values leave the process and
// stay stable.
type CancelReason string

// The reasons to cancel an attempt.
const (
	// CancelCallerLeft says that the caller disconnected.
	CancelCallerLeft CancelReason = "caller_left"
	// CancelAnswered says that another attempt of the call was answered.
	CancelAnswered CancelReason = "answered_elsewhere"
	// CancelTimeout says that the deadline of the caller or of the route passed.
	CancelTimeout CancelReason = "timeout"
	// CancelStopping says that this host stops.
	CancelStopping CancelReason = "stopping"
	// CancelUnreachable says that the call ended because later attempts could not be
	// sent.
	CancelUnreachable CancelReason = "unreachable"
)

// cancelReason returns why the attempts in flight of a call with an outcome are
// cancelled.
func cancelReason(outcome Outcome) CancelReason {
	switch outcome := outcome.(type) {
	case Answered:
		return CancelAnswered
	case Abandoned:
		return CancelCallerLeft
	case Unknown:
		if outcome.Reason == ReasonTimeout {
			return CancelTimeout
		}
		if outcome.Reason == ReasonStopping {
			return CancelStopping
		}
	case NotRun, NoRoute, Unauthorised, Deferred:
	}

	return CancelUnreachable
}

// Finish ends a call and is the last action for it.
type Finish struct {
	// Call identifies the call.
	Call CallID
	// Outcome is the outcome of the call.
	Outcome Outcome
	// Route is the name of the route, or empty if no route was matched.
	Route string
	// Service is the name of the service, or empty if no route was matched.
	Service string
	// Version is the version of the declaration.
	Version int
	// Sends is the number of attempts that may have reached a backend server.
	Sends int
	// Took is the time since the call arrived.
	Took time.Duration
	// Waiting is the number of calls queued for the service at that time.
	Waiting int
	// Taken is the number of taken slots of the service's usable, warm backend
	// servers.
	Taken int
	// Slots is the number of slots of those backend servers.
	Slots int
	// Tenant is the name of the tenant of the call, or empty.
	Tenant string
	// Refusal says more if the outcome is NoRoute or Unauthorised.
	Refusal Refusal
}

// Probe requests the health and load of a backend server. It ends with a
// ProbeEnded.
type Probe struct {
	// Server is the ID of the backend server.
	Server string
	// Address is the ip:port of the backend server.
	Address string
	// Path is the path of the health check.
	Path string
	// Connections bounds this host's connections to the address.
	Connections int
	// Timeout bounds the probe.
	Timeout time.Duration
}

// ServerStatusChanged says that this host sends fewer calls or none to a backend
// server from now on.
type ServerStatusChanged struct {
	// Server is the ID of the backend server.
	Server string
	// Status is the new status.
	Status ServerStatus
	// Failures is the smoothed share of calls that failed there.
	Failures float64
	// For is how long the status lasts, or 0.
	For time.Duration
}

// RecordRollout writes the state of a rollout to the store, unless the store has a final
// state of the same order already. It ends with a RolloutRecorded. One that is not carried
// out is requested again.
type RecordRollout struct {
	// Service is the name of the service.
	Service string
	// Target is the version of the order.
	Target string
	// OrderVersion identifies the order.
	OrderVersion schema.StoreVersion
	// State is the state to write. With running, it is only ensured that there is a state.
	State schema.RolloutState
}

// RolloutChanged says that this host sends another share of the calls of a service to the
// target version from now on, for logs and metrics.
type RolloutChanged struct {
	// Service is the name of the service.
	Service string
	// Target is the version of the order.
	Target string
	// OrderVersion identifies the order.
	OrderVersion schema.StoreVersion
	// Phase is the phase of the rollout.
	Phase rollout.Phase
	// Share is the share of the calls that go to the target version.
	Share float64
	// Reason says why the phase or the share changed.
	Reason rollout.Reason
	// Evidence are the answers to calls of all routes, of all hosts.
	Evidence rollout.Counts
}

func (Send) action()                {}
func (Cancel) action()              {}
func (Finish) action()              {}
func (Probe) action()               {}
func (ServerStatusChanged) action() {}
func (RecordRollout) action()       {}
func (RolloutChanged) action()      {}
func (RefusalsOutdated) action()    {}

// ServerStatus is the status of a backend server as seen by this host. Its
// values leave the process and stay stable.
type ServerStatus string

// The statuses of a backend server.
const (
	// StatusEjected says that the backend server is excluded for some time.
	StatusEjected ServerStatus = "ejected"
	// StatusCold says that it accepts only a limited rate of calls.
	StatusCold ServerStatus = "cold"
	// StatusLeaving says that it announced that it is about to stop.
	StatusLeaving ServerStatus = "leaving"
	// StatusPaused says that it asked for no calls for some time.
	StatusPaused ServerStatus = "paused"
)

// Reason says why a call was not answered by a backend server. Its values leave
// the process and stay stable.
type Reason string

// The reasons.
const (
	// ReasonNotReady says that this host has not received a declaration yet, or that its
	// declared state has not been confirmed since the process was held up.
	ReasonNotReady Reason = "not_ready"
	// ReasonOutdated says that the call's route or key, or its size, may be valid by a
	// newer declaration than that of this host, or that this host cannot tell whether
	// there is a newer one.
	ReasonOutdated Reason = "declaration_unconfirmed"
	// ReasonKeyUndecided says that the declaration does not tell whose key the call
	// has, because several tenants hold it or not all tenants could be read.
	ReasonKeyUndecided Reason = "key_undecided"
	// ReasonTenantUnreadable says that the limit of the call's tenant could not be read.
	ReasonTenantUnreadable Reason = "tenant_unreadable"
	// ReasonNoKey says that the call has no key.
	ReasonNoKey Reason = "no_key"
	// ReasonUnknownKey says that no tenant holds the call's key.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonAllotment says that the call's tenant has used up this host's share of its
	// quota.
	ReasonAllotment Reason = "quota"
	// ReasonMemory says that this host had no memory for the request.
	ReasonMemory Reason = "no_memory"
	// ReasonUnreadable says that the declaration of the call's route could not be
	// read.
	ReasonUnreadable Reason = "route_unreadable"
	// ReasonNoServer says that no backend server may be sent the call.
	ReasonNoServer Reason = "no_backend_server"
	// ReasonOverloaded says that the backend servers of the service have no
	// capacity for the call.
	ReasonOverloaded Reason = "overloaded"
	// ReasonPaused says that all backend servers asked for no calls for some time.
	ReasonPaused Reason = "paused"
	// ReasonRefused says that backend servers refused the call.
	ReasonRefused Reason = "refused"
	// ReasonUnreachable says that no backend server could be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCut says that the answer was lost after the request was sent.
	ReasonCut Reason = "cut"
	// ReasonStopping says that this host stops before the call would have ended.
	ReasonStopping Reason = "stopping"
	// ReasonTimeout says that the deadline of the caller or of the route
	// passed.
	ReasonTimeout Reason = "timeout"
)

// Outcome is the outcome of a call: Answered, NoRoute, Unauthorised, NotRun,
// Unknown, Abandoned or Deferred.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered says that the caller receives the answer of a backend server.
type Answered struct {
	// Attempt is the attempt whose answer is delivered.
	Attempt AttemptID
}

// NoRoute says that no route matches.
type NoRoute struct{}

// Unauthorised says that the call needs the key of a tenant and has none. No backend
// server has run it.
type Unauthorised struct {
	// Reason is ReasonNoKey or ReasonUnknownKey.
	Reason Reason
}

// NotRun says that no backend server has run the call or will run it.
type NotRun struct {
	// Reason says why the call was not run.
	Reason Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Unknown says that a backend server may have run the call.
type Unknown struct {
	// Reason says why there is no answer.
	Reason Reason
}

// Abandoned says that the caller disconnected.
type Abandoned struct{}

// Deferred says that a call with CallArrived.Ahead had no effect and arrives again,
// with another CallID, when the requests before it have been answered.
type Deferred struct{}

func (Answered) outcome()     {}
func (NoRoute) outcome()      {}
func (Unauthorised) outcome() {}
func (NotRun) outcome()       {}
func (Unknown) outcome()      {}
func (Abandoned) outcome()    {}
func (Deferred) outcome()     {}
