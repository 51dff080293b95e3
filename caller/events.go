package caller

import "github.com/baobabdrum/baobabdrum/schema"

// Event is what the router reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Asked says that a caller wants to know which host to use for a service.
type Asked struct {
	// ID identifies the question within this process.
	ID CallID
	// Service names the service.
	Service string
}

// Called says that a call arrived.
type Called struct {
	// Call is the call.
	Call Call
}

// ConfigurationChanged says that another configuration is in force.
type ConfigurationChanged struct {
	// Configuration has the overrides already applied.
	Configuration schema.Configuration
}

// RoutesChanged brings routes that were made elsewhere, in place of
// ConfigurationChanged and HostsChanged.
type RoutesChanged struct {
	// Routes belong to the router from now on.
	Routes *Routes
}

// HostsChanged says that the set of live hosts is another.
type HostsChanged struct {
	// Hosts are the live hosts, this one among them while it is live.
	Hosts []schema.Host
	// Leaving are the hosts that leave and still run orders of their incarnation.
	Leaving []schema.Host
}

// Suspended says whether this host must refuse every call because it was
// frozen or is cut off.
type Suspended struct {
	// On says that it must.
	On bool
}

func (RoutesChanged) event()        {}
func (Asked) event()                {}
func (Suspended) event()            {}
func (Called) event()               {}
func (ConfigurationChanged) event() {}
func (HostsChanged) event()         {}

// Action is what the router wants done.
//
//sumtype:decl
type Action interface{ action() }

// AnswerAsk answers a question.
type AnswerAsk struct {
	// ID identifies the question.
	ID CallID
	// Answer is the answer.
	Answer schema.AskAnswer
}

// PlaceCall gives a call to a cell that this host owns.
type PlaceCall struct {
	// Call is the call.
	Call Call
	// Cell is the cell.
	Cell Cell
}

// ForwardCall sends a call to the host that should place it.
type ForwardCall struct {
	// Call is the call.
	Call Call
	// Address is the other host's ip:port for callers.
	Address string
}

// Refuse ends a call or a question that is not placed.
type Refuse struct {
	// ID identifies the call or the question.
	ID CallID
	// Outcome says why.
	Outcome NotRun
}

func (AnswerAsk) action()   {}
func (PlaceCall) action()   {}
func (ForwardCall) action() {}
func (Refuse) action()      {}
func (Violation) action()   {}
