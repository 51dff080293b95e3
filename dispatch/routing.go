package dispatch

import (
	"context"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// RoutingInput is an item of the ring that the routing duty reads from.
//
//sumtype:decl
type RoutingInput interface{ routingInput() }

// Configure replaces the configuration in force.
type Configure struct {
	// Configuration is the new configuration, with overrides applied.
	Configuration schema.Configuration
}

// Hosts replaces the sets of live and leaving hosts.
type Hosts struct {
	// Hosts are the live hosts.
	Hosts []schema.Host
	// Leaving are the hosts that are leaving and still respond.
	Leaving []schema.Host
}

func (Configure) routingInput() {}
func (Hosts) routingInput()     {}

// Routing is the duty that computes routes, so that the dispatch duty is not
// blocked during the computation.
type Routing struct {
	// Inputs is the ring that the duty reads from.
	Inputs *ring.Ring[RoutingInput]
	// Dispatch is the ring that receives the routes.
	Dispatch *ring.Ring[Input]

	routes *caller.Routes
}

// NewRouting returns a routing duty without routes for the named host.
func NewRouting(self string, inputs *ring.Ring[RoutingInput], dispatch *ring.Ring[Input]) *Routing {
	return &Routing{Inputs: inputs, Dispatch: dispatch, routes: &caller.Routes{Self: self}}
}

// Run processes inputs until the context ends. Inputs that wait at the same time
// are combined into one computation of routes.
func (r *Routing) Run(ctx context.Context) error {
	for {
		input, err := r.Inputs.Take(ctx)
		if err != nil {
			return err
		}
		for more := true; more; input, more = r.Inputs.Poll() {
			r.apply(input)
		}
		routes := r.routes.WithHosts(r.routes.Hosts, r.routes.Leaving)
		if err := r.Dispatch.Put(ctx, Route{Routes: routes}); err != nil {
			return err
		}
	}
}

// apply stores an input for the next computation of routes.
func (r *Routing) apply(input RoutingInput) {
	switch input := input.(type) {
	case Configure:
		r.routes.Configuration = input.Configuration
	case Hosts:
		r.routes.Hosts, r.routes.Leaving = input.Hosts, input.Leaving
	}
}
