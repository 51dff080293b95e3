package dispatch

import (
	"context"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// RoutingInput is what the routing duty takes from its ring.
//
//sumtype:decl
type RoutingInput interface{ routingInput() }

// Configure puts another configuration in force.
type Configure struct {
	// Configuration has the overrides already applied.
	Configuration schema.Configuration
}

// Hosts replaces the sets of live and of leaving hosts.
type Hosts struct {
	// Hosts are the live hosts.
	Hosts []schema.Host
	// Leaving are the hosts that leave and still answer.
	Leaving []schema.Host
}

func (Configure) routingInput() {}
func (Hosts) routingInput()     {}

// Routing is the duty that makes routes, so that the dispatch duty does not
// stand still for as long as that takes.
type Routing struct {
	// Inputs is the ring that the duty takes from.
	Inputs *ring.Ring[RoutingInput]
	// Dispatch is the ring of the dispatch duty.
	Dispatch *ring.Ring[Input]

	routes *caller.Routes
}

// NewRouting returns a duty of the named host without routes.
func NewRouting(self string, inputs *ring.Ring[RoutingInput], dispatch *ring.Ring[Input]) *Routing {
	return &Routing{Inputs: inputs, Dispatch: dispatch, routes: &caller.Routes{Self: self}}
}

// Run takes inputs until the context ends. Inputs that wait together make
// routes once.
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

// apply notes an input.
func (r *Routing) apply(input RoutingInput) {
	switch input := input.(type) {
	case Configure:
		r.routes.Configuration = input.Configuration
	case Hosts:
		r.routes.Hosts, r.routes.Leaving = input.Hosts, input.Leaving
	}
}
