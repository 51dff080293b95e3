package placement

import "time"

// Action is what a placer wants done.
//
//sumtype:decl
type Action interface{ action() }

// Send sends a call to a backend server. It ends with an AttemptEnded.
type Send struct {
	// Attempt identifies the send.
	Attempt AttemptID
	// Call identifies the call.
	Call CallID
	// Server is the ID of the backend server.
	Server string
	// Address is its ip:port.
	Address string
	// Connections bounds this host's connections to the address.
	Connections int
	// Deadline is when the call ends.
	Deadline time.Time
	// Reason says why this backend server was chosen.
	Reason Choice
}

// Choice is what a send was decided by.
type Choice struct {
	// Route names the route.
	Route string
	// Service names the service.
	Service string
	// DataCentre is that of the backend server.
	DataCentre string
	// Version is the version of the declaration.
	Version int
	// Repeat says that the call was sent before.
	Repeat bool
	// Hedge says that the earlier send still runs.
	Hedge bool
	// Pace is the pace that the backend server was believed to work at.
	Pace float64
	// PaceAge is the age of that figure.
	PaceAge time.Duration
	// InFlight is the number of attempts on the backend server, by all hosts.
	InFlight int
	// Expected is the expected time until the answer.
	Expected time.Duration
	// Waited is how long the call waited in this host.
	Waited time.Duration
}

// Cancel gives up a send, which still ends with an AttemptEnded.
type Cancel struct {
	// Attempt identifies the send.
	Attempt AttemptID
}

// Finish ends a call. It is the last action for the call.
type Finish struct {
	// Call identifies the call.
	Call CallID
	// Outcome says how it ended.
	Outcome Outcome
	// Route names the route, or is empty.
	Route string
	// Service names the service, or is empty.
	Service string
	// Version is the version of the declaration.
	Version int
	// Sends is the number of sends.
	Sends int
	// Took is the time since the call arrived.
	Took time.Duration
	// Waiting is the number of calls that waited for the service then.
	Waiting int
	// Taken is the number of slots of its usable backend servers that were taken.
	Taken int
	// Slots is the number of those slots.
	Slots int
}

// Probe asks a backend server for its health and load. It ends with a
// ProbeEnded.
type Probe struct {
	// Server is the ID of the backend server.
	Server string
	// Address is its ip:port.
	Address string
	// Path is the path to ask for.
	Path string
	// Connections bounds this host's connections to the address.
	Connections int
	// Timeout bounds the probe.
	Timeout time.Duration
}

// ServerStateChanged says that this host changed its mind about a backend server.
type ServerStateChanged struct {
	// Server is the ID of the backend server.
	Server string
	// Belief is the new state.
	Belief Belief
	// Failures is the share of recent calls that failed there.
	Failures float64
	// For is how long it holds, or 0.
	For time.Duration
}

func (Send) action()               {}
func (Cancel) action()             {}
func (Finish) action()             {}
func (Probe) action()              {}
func (ServerStateChanged) action() {}

// Belief is a stable word for what a host believes of a backend server.
type Belief string

// The beliefs.
const (
	// BeliefEjected says that the backend server gets no work for some time.
	BeliefEjected Belief = "ejected"
	// BeliefCold says that it bears only a little work.
	BeliefCold Belief = "cold"
)

// Reason is a stable word that says why a call got no answer of a backend
// server.
type Reason string

// The reasons.
const (
	// ReasonNotReady says that this host knows no declaration yet.
	ReasonNotReady Reason = "not_ready"
	// ReasonNoServer says that no backend server may take the call.
	ReasonNoServer Reason = "no_backend_server"
	// ReasonOverloaded says that all slots are taken.
	ReasonOverloaded Reason = "overloaded"
	// ReasonRefused says that backend servers refused the call.
	ReasonRefused Reason = "refused"
	// ReasonUnreachable says that no backend server could be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCut says that an answer was lost after the request was sent.
	ReasonCut Reason = "cut"
	// ReasonTimeout says that the deadline of the caller or of the route passed.
	ReasonTimeout Reason = "timeout"
)

// Outcome is how a call ends: Answered, NoRoute, NotRun, Unknown or Abandoned.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered says that the caller gets a backend server's answer.
type Answered struct {
	// Attempt is the send that was answered.
	Attempt AttemptID
}

// NoRoute says that no route matches.
type NoRoute struct{}

// NotRun says that no backend server ran the call or will run it.
type NotRun struct {
	// Reason says why.
	Reason Reason
	// RetryAfter is the time after which there may be room.
	RetryAfter time.Duration
}

// Unknown says that a backend server may have run the call.
type Unknown struct {
	// Reason says why there is no answer.
	Reason Reason
}

// Abandoned says that the caller went away.
type Abandoned struct{}

func (Answered) outcome()  {}
func (NoRoute) outcome()   {}
func (NotRun) outcome()    {}
func (Unknown) outcome()   {}
func (Abandoned) outcome() {}
