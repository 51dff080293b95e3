package placement

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// CallID identifies a call within one process.
type CallID uint64

// AttemptID identifies one attempt of a call within one process.
type AttemptID uint64

// Event is an input of Placer.Step.
//
//sumtype:decl
type Event interface{ event() }

// CallArrived says that a caller's request arrived.
type CallArrived struct {
	// Call identifies the call.
	Call CallID
	// HostName is the host name in the request.
	HostName string
	// Path is the path of the request.
	Path string
	// Wait is how long the caller will wait from now on, as stated in the
	// request.
	Wait time.Duration
	// Elapsed is the part of Wait that passed while the request was read.
	Elapsed time.Duration
	// Ahead says that requests before this one on its connection have not been
	// answered. Unless its route is idempotent, the call ends as Deferred.
	Ahead bool
	// KeyDigest is the digest of the API key in the request, or empty if it has none.
	KeyDigest string
}

// CallerLeft says that the caller of a call disconnected.
type CallerLeft struct {
	// Call identifies the call.
	Call CallID
}

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
	// Result is the result of the attempt.
	Result Result
	// Load is the load that the backend server reported with its answer, or
	// nil.
	Load *Load
	// Notice is what the backend server stated about itself with its answer.
	Notice Notice
}

// ProbeEnded reports the result of a probe.
type ProbeEnded struct {
	// Server is the ID of the probed backend server.
	Server string
	// Answered says that this backend server answered the probe.
	Answered bool
	// Healthy says that the backend server reported itself as healthy.
	Healthy bool
	// ColdLeft is how much longer the backend server stays cold, as reported by
	// itself.
	ColdLeft time.Duration
	// Load is the reported load, or nil.
	Load *Load
	// Notice is what the backend server stated about itself.
	Notice Notice
}

// DeclaredChanged replaces the state declared by operators and backend servers.
type DeclaredChanged struct {
	// Declared is the whole declared state.
	Declared schema.Declared
}

// CurrencyChanged says whether this host's declaration is the newest one, as far as the
// host knows. It matters only if the declaration has tenants.
type CurrencyChanged struct {
	// Current says that no other host has announced a newer declaration.
	Current bool
	// ConfirmedAt is when the store last confirmed the declaration to this host or to
	// another one.
	ConfirmedAt time.Time
	// Until is when the declaration counts as outdated unless it is confirmed again.
	// With it, no event has to arrive at that instant, which this host may spend frozen.
	Until time.Time
}

// LoadsReceived carries a load report from another host.
type LoadsReceived struct {
	// Host is the name of the other host.
	Host string
	// Loads are that host's measurements and its attempts in flight.
	Loads []schema.ServerLoad
	// Leaving are the backend servers that told that host that they are leaving.
	Leaving []schema.LeavingServer
	// Rollouts are that host's reports on the rollout orders.
	Rollouts []schema.RolloutReport
	// Shares is that host's report on its shares of the quotas of tenants.
	Shares schema.ShareReport
}

// PeersChanged replaces the list of serving hosts.
type PeersChanged struct {
	// Peers are the entry hosts.
	Peers Peers
}

// BudgetChanged replaces the retry budget.
type BudgetChanged struct {
	// Budget is the budget for each service.
	Budget Budget
}

// StopBegun says that this host begins a planned stop.
type StopBegun struct {
	// WorkUntil is when the calls that are still open are concluded.
	WorkUntil time.Time
	// OnlyHostUntil is the time until which callers may know no other host.
	OnlyHostUntil time.Time
}

// RolloutRecorded reports the end of a RecordRollout.
type RolloutRecorded struct {
	// Service is the name of the service.
	Service string
	// OrderVersion identifies the order.
	OrderVersion schema.StoreVersion
	// State is the state that the store has now, if Failed is false.
	State schema.RolloutState
	// Failed says that the store could not be read or written.
	Failed bool
}

// Ticked says that time has passed.
type Ticked struct{}

func (CallArrived) event()     {}
func (CallerLeft) event()      {}
func (AttemptEnded) event()    {}
func (ProbeEnded) event()      {}
func (DeclaredChanged) event() {}
func (CurrencyChanged) event() {}
func (LoadsReceived) event()   {}
func (PeersChanged) event()    {}
func (BudgetChanged) event()   {}
func (StopBegun) event()       {}
func (RolloutRecorded) event() {}
func (Ticked) event()          {}

// Load is a load report of a backend server.
type Load struct {
	// Running is the number of calls that the backend server runs.
	Running int
	// Waiting is the number of calls queued there.
	Waiting int
	// Pace is the ratio of the duration of work there now to its usual
	// duration, or 0 if it is not reported.
	Pace float64
}

// Result is the result of an attempt: Whole, Refused, Misdirected, Unsent, Cut
// or Cancelled.
//
//sumtype:decl
type Result interface{ result() }

// Whole says that the backend server ran the call and its complete answer
// arrived.
type Whole struct {
	// Status is the HTTP status.
	Status int
	// Size is the length of the body in bytes.
	Size int
}

// Refused says that the backend server did not run the call.
type Refused struct{}

// Misdirected says that the address now belongs to another backend server,
// which did not run the call.
type Misdirected struct{}

// Unsent says that no part of the request left this host.
type Unsent struct {
	// Cause is the error.
	Cause error
	// Local says that the failure lies with this host and not with the backend
	// server.
	Local bool
}

// Cut says that the request was sent and no complete answer arrived.
type Cut struct {
	// Cause is the error.
	Cause error
}

// Cancelled says that this host cancelled the attempt after it was sent.
type Cancelled struct{}

func (Whole) result()       {}
func (Refused) result()     {}
func (Misdirected) result() {}
func (Unsent) result()      {}
func (Cut) result()         {}
func (Cancelled) result()   {}

// Peer is a host that serves callers.
type Peer struct {
	// Name is unique among the hosts.
	Name string
	// DataCentre is the data centre of the host.
	DataCentre string
}

// Peers are the entry hosts as far as they matter for placement.
type Peers struct {
	// Serving are the hosts whose addresses are given to callers, including
	// this host if it is one of them. They measure the backend servers.
	Serving []Peer
	// Hosts is the number of known entry hosts, alive or not.
	Hosts int
	// Sharers is the number of hosts that share the quotas of tenants, including this
	// host whether it serves or not.
	Sharers int
}
