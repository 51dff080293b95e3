package caller

import "github.com/baobabdrum/baobabdrum/schema"

// Event is an input of the router: Asked, Called, ConfigurationChanged,
// RoutesChanged, HostsChanged or Suspended.
//
//sumtype:decl
type Event interface{ event() }

// Asked is the query of a caller for the hosts of a service.
type Asked struct {
	// ID identifies the query within this process.
	ID CallID
	// Service is the name of the service.
	Service string
}

// Called reports that a call arrived.
type Called struct {
	// Call is the call to route.
	Call Call
}

// ConfigurationChanged replaces the configuration.
type ConfigurationChanged struct {
	// Configuration is the configuration with all overrides applied.
	Configuration schema.Configuration
}

// RoutesChanged replaces the routes by ones that another duty computed. It
// stands in for ConfigurationChanged and HostsChanged.
type RoutesChanged struct {
	// Routes are the new routes, which the router owns from then on.
	Routes *Routes
}

// HostsChanged replaces the set of live hosts.
type HostsChanged struct {
	// Hosts are the live hosts, including this one while it is live.
	Hosts []schema.Host
	// Leaving are the leaving hosts, which still accept the orders of their
	// incarnation.
	Leaving []schema.Host
}

// Suspended starts or ends a period in which this host must refuse every call
// because its process was frozen or it is isolated.
type Suspended struct {
	// On reports whether the host must refuse calls.
	On bool
}

func (RoutesChanged) event()        {}
func (Asked) event()                {}
func (Suspended) event()            {}
func (Called) event()               {}
func (ConfigurationChanged) event() {}
func (HostsChanged) event()         {}

// Action is an instruction of the router to the code that drives it: AnswerAsk,
// PlaceCall, ForwardCall, Refuse or Violation.
//
//sumtype:decl
type Action interface{ action() }

// AnswerAsk answers an Asked query.
type AnswerAsk struct {
	// ID identifies the query.
	ID CallID
	// Answer is the answer for the caller.
	Answer schema.AskAnswer
}

// PlaceCall places a call in a cell that this host owns.
type PlaceCall struct {
	// Call is the call, with Idempotent restricted to what the service permits.
	Call Call
	// Cell is the cell that runs the call.
	Cell Cell
}

// ForwardCall forwards a call to the host that owns its cell.
type ForwardCall struct {
	// Call is the call to forward.
	Call Call
	// Address is the client-visible address of that host.
	Address string
}

// Refuse ends a call or a query that this host does not serve.
type Refuse struct {
	// ID identifies the call or the query.
	ID CallID
	// Outcome is the outcome for the caller.
	Outcome NotRun
}

func (AnswerAsk) action()   {}
func (PlaceCall) action()   {}
func (ForwardCall) action() {}
func (Refuse) action()      {}
func (Violation) action()   {}
