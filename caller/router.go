package caller

import (
	"io"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxCallHops is the maximum number of times that a call is forwarded between
	// hosts.
	maxCallHops = 1
	// maxAnswerAddresses is the maximum number of addresses in an answer.
	maxAnswerAddresses = 3
)

// Router selects the host that places a call or runs an order. It is not safe
// for concurrent use.
type Router struct {
	// Self is the name of this host.
	Self string
	// AnswerTTL is the time for which callers may cache an answer.
	AnswerTTL time.Duration
	// Incarnation is the incarnation of this host.
	Incarnation string
	// Random is the random source of order ids. No ids are issued if it is nil.
	Random io.Reader

	// Routes are the current routes.
	Routes *Routes

	suspended bool
}

// NewRouter returns a router without configuration and hosts. It refuses every
// call until it has both.
func NewRouter(self string, answerTTL time.Duration) *Router {
	return &Router{Self: self, AnswerTTL: answerTTL, Routes: &Routes{Self: self}}
}

// Step processes an event and returns the resulting actions.
func (r *Router) Step(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Asked:
		return []Action{r.ask(now, event)}
	case Called:
		return []Action{r.routeCall(event.Call)}
	case ConfigurationChanged:
		r.Routes = r.Routes.WithConfiguration(event.Configuration)
	case Suspended:
		r.suspended = event.On
	case HostsChanged:
		r.Routes = r.Routes.WithHosts(event.Hosts, event.Leaving)
	case RoutesChanged:
		r.Routes = event.Routes
	}

	return nil
}

// Owned returns the backend servers of the cells that this host owns.
func (r *Router) Owned() map[Cell][]schema.BackendServer {
	return r.Routes.owned
}

// Owner returns the name of the host that owns the cell. It is empty if the
// cell may not receive new work.
func (r *Router) Owner(cell Cell) string {
	for _, route := range r.Routes.cells[cell.Service] {
		if route.cell == cell && len(route.ranked) > 0 {
			return route.ranked[0].Name
		}
	}

	return ""
}

// Neighbour is another cell of the same service with its owner.
type Neighbour struct {
	// Cell identifies the cell.
	Cell Cell
	// Host is the host that owns the cell.
	Host schema.Host
}

// Neighbours returns the other cells of the same service that may receive new
// work.
func (r *Router) Neighbours(cell Cell) []Neighbour {
	var list []Neighbour
	for _, route := range r.Routes.cells[cell.Service] {
		if route.cell != cell && len(route.ranked) > 0 {
			list = append(list, Neighbour{Cell: route.cell, Host: route.ranked[0]})
		}
	}

	return list
}

// ask selects the hosts for a service.
func (r *Router) ask(now time.Time, question Asked) Action {
	routes, reason := r.usable(question.Service)
	if reason != "" {
		return Refuse{ID: question.ID, Outcome: NotRun{Reason: reason, Addresses: r.otherAddresses()}}
	}

	chosen := choose(routes)

	return AnswerAsk{ID: question.ID, Answer: schema.AskAnswer{
		Service:              question.Service,
		Addresses:            addresses(chosen, routes),
		KeepMs:               int(r.AnswerTTL.Milliseconds()),
		OrderID:              r.issue(now, chosen.ranked[0]),
		ConfigurationVersion: r.Routes.Configuration.Version,
	}}
}

// routeCall places, forwards or refuses a call.
func (r *Router) routeCall(call Call) Action {
	routes, reason := r.usable(call.Service)
	if reason != "" {
		return Refuse{ID: call.ID, Outcome: NotRun{Reason: reason, Addresses: r.otherAddresses()}}
	}
	call.Idempotent = call.Idempotent && r.idempotent(call.Service)
	owned := slices.DeleteFunc(slices.Clone(routes), func(route *route) bool { return !r.owns(route) })
	if len(owned) > 0 {
		return PlaceCall{Call: call, Cell: choose(owned).cell}
	}
	chosen := choose(routes)
	if call.Hops >= maxCallHops {
		return Refuse{ID: call.ID, Outcome: NotRun{Reason: ReasonMisdirected, Addresses: addresses(chosen, routes)}}
	}

	return ForwardCall{Call: call, Address: chosen.ranked[0].CallerAddress}
}

// usable returns the routes of a service, or the reason why it has none.
func (r *Router) usable(service string) ([]*route, Reason) {
	if r.suspended || r.Routes.Configuration.Version == 0 || len(r.Routes.Hosts) == 0 {
		return nil, ReasonNotReady
	}
	if routes := r.Routes.cells[service]; len(routes) > 0 {
		return routes, ""
	}
	declared := func(s schema.Service) bool { return s.Name == service }
	if slices.ContainsFunc(r.Routes.Configuration.Services, declared) {
		return nil, ReasonNoBackendServer
	}

	return nil, ReasonUnknownService
}

// idempotent reports whether the safe methods of the service may run more than
// once.
func (r *Router) idempotent(service string) bool {
	return slices.ContainsFunc(r.Routes.Configuration.Services, func(s schema.Service) bool {
		return s.Name == service && s.Idempotent
	})
}

// owns reports whether this host owns the cell of the route and may place
// calls.
func (r *Router) owns(route *route) bool {
	return !r.suspended && len(route.ranked) > 0 && route.ranked[0].Name == r.Self
}

// otherAddresses returns the client-visible addresses of other live hosts.
func (r *Router) otherAddresses() []string {
	var list []string
	for _, host := range r.Routes.Hosts {
		if host.Name != r.Self && len(list) < maxAnswerAddresses {
			list = append(list, host.CallerAddress)
		}
	}

	return list
}

// choose selects the next route by smooth weighted round robin.
func choose(routes []*route) *route {
	total := 0
	best := routes[0]
	for _, route := range routes {
		total += route.slots
		route.credit += route.slots
		if route.credit > best.credit {
			best = route
		}
	}
	best.credit -= total

	return best
}

// addresses returns the client-visible addresses of the chosen route's owner,
// of the other routes' owners and of the chosen route's stand-by hosts.
func addresses(chosen *route, routes []*route) []string {
	var list []string
	add := func(host schema.Host) {
		if len(list) < maxAnswerAddresses && !slices.Contains(list, host.CallerAddress) {
			list = append(list, host.CallerAddress)
		}
	}
	add(chosen.ranked[0])
	for _, route := range routes {
		add(route.ranked[0])
	}
	for _, host := range chosen.ranked[1:] {
		add(host)
	}

	return list
}
