package host

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// configurationInput is what the configuration duty takes from its ring.
//
//sumtype:decl
type configurationInput interface{ configurationInput() }

// configurationRead brings a configuration from the platform or from a peer.
type configurationRead struct {
	configuration schema.Configuration
	source        string
}

// configurationAsked asks for the configuration in force.
type configurationAsked struct {
	reply *ring.Ring[schema.Configuration]
}

func (configurationRead) configurationInput()  {}
func (configurationAsked) configurationInput() {}

// runConfiguration owns the configuration in force, whose version only grows.
func (h *Host) runConfiguration(ctx context.Context) error {
	var inForce schema.Configuration
	for {
		input, err := h.configurations.Take(ctx)
		if err != nil {
			return err
		}
		switch input := input.(type) {
		case configurationAsked:
			_ = input.reply.Offer(inForce) // the ring has room by contract
		case configurationRead:
			if input.configuration.Version <= inForce.Version {
				continue
			}
			inForce = input.configuration
			if err := h.putInForce(ctx, inForce, input.source); err != nil {
				return err
			}
		}
	}
}

// putInForce tells the duties that use the configuration.
func (h *Host) putInForce(ctx context.Context, configuration schema.Configuration, source string) error {
	h.Log.WithFields(logrus.Fields{
		"event": "configuration_in_force", "version": configuration.Version,
		"change_id": configuration.ChangeID, "source": source,
	}).Info("using another configuration")
	if err := h.dispatch.Put(ctx, dispatch.Configure{Configuration: configuration}); err != nil {
		return err
	}
	if err := h.peers.Put(ctx, peerEvent{peer.ConfigurationInForce{Version: configuration.Version}}); err != nil {
		return err
	}

	return h.peers.Put(ctx, peerEvent{peer.StateChanged{State: schema.HostStateLive}})
}
