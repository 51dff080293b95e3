package host

import (
	"context"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// configurationInput is an item of the configuration duty's ring.
//
//sumtype:decl
type configurationInput interface{ configurationInput() }

// configurationEvent carries an event for the configuration state.
type configurationEvent struct {
	event operator.Event
}

// configurationQuery requests the configuration in force without overrides.
type configurationQuery struct {
	reply *ring.Ring[schema.Configuration]
}

// configurationStateQuery requests the configuration and the overrides in force.
type configurationStateQuery struct {
	reply *ring.Ring[operator.ConfigurationState]
}

func (configurationEvent) configurationInput()      {}
func (configurationQuery) configurationInput()      {}
func (configurationStateQuery) configurationInput() {}

// runConfiguration owns the configuration and the overrides in force.
func (h *Host) runConfiguration(ctx context.Context) error {
	state := operator.NewConfigurationState()
	for {
		input, err := h.configurations.Take(ctx)
		if err != nil {
			return err
		}
		switch input := input.(type) {
		case configurationQuery:
			_ = input.reply.Offer(state.Configuration) // the ring has room by contract
		case configurationStateQuery:
			_ = input.reply.Offer(*state) // the ring has room by contract
		case configurationEvent:
			if err := h.executeConfigurationActions(ctx, state.Step(input.event)); err != nil {
				return err
			}
		}
	}
}

// executeConfigurationActions executes the actions that a step of the
// configuration state returned.
func (h *Host) executeConfigurationActions(ctx context.Context, actions []operator.Action) error {
	for _, action := range actions {
		switch action := action.(type) {
		case operator.PutInForce:
			if err := h.putInForce(ctx, action); err != nil {
				return err
			}
		case operator.Violation:
			h.Log.Event(eventlog.Error, "invariant_broken", action.Detail, eventlog.Text("invariant", action.Invariant))
		}
	}

	return nil
}

// putInForce sends the configuration to the duties that use it: routing and
// stop with the overrides applied, peers as version and overrides for digests.
func (h *Host) putInForce(ctx context.Context, action operator.PutInForce) error {
	h.Log.Event(eventlog.Info, "configuration_in_force", "configuration changed; updating routing, planned stops and peers",
		eventlog.Integer("version", action.Configuration.Version), eventlog.Text("change_id", action.Configuration.ChangeID),
		eventlog.Text("source", action.Source), eventlog.Integer("overrides", len(action.Overrides)))
	effective := operator.ApplyOverrides(action.Configuration, action.Overrides)
	if err := h.routing.Put(ctx, dispatch.Configure{Configuration: effective}); err != nil {
		return err
	}
	if err := h.stops.Put(ctx, plannedStops{stops: effective.PlannedStops}); err != nil {
		return err
	}

	return h.peers.Put(ctx, peerEvent{peer.ConfigurationInForce{
		Version: action.Configuration.Version, Overrides: action.Overrides,
	}})
}

// queryConfigurationState returns the configuration duty's state.
func (h *Host) queryConfigurationState(ctx context.Context) operator.ConfigurationState {
	return queryDuty(ctx, h.configurations, func(reply *ring.Ring[operator.ConfigurationState]) configurationInput {
		return configurationStateQuery{reply: reply}
	})
}
