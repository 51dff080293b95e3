package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// peerInput is what the peers duty takes from its ring.
//
//sumtype:decl
type peerInput interface{ peerInput() }

// peerEvent brings an event of the membership.
type peerEvent struct {
	event peer.Event
}

// peersAsked asks for this host's record and the live hosts.
type peersAsked struct {
	reply *ring.Ring[peersView]
}

// peersView is this host's record and the live hosts.
type peersView struct {
	self schema.Host
	live []schema.Host
}

func (peerEvent) peerInput()  {}
func (peersAsked) peerInput() {}

// runPeers owns the membership.
func (h *Host) runPeers(ctx context.Context) error {
	membership := peer.NewMembership(h.Self, h.seed)
	ticker := time.NewTicker(h.Settings.DigestInterval)
	defer ticker.Stop()
	for {
		var event peer.Event
		select {
		case input := <-h.peers.Items():
			switch input := input.(type) {
			case peerEvent:
				event = input.event
			case peersAsked:
				_ = input.reply.Offer(peersView{self: membership.Self, live: membership.Live()}) // it has room by contract

				continue
			}
		case request := <-h.requests.Items():
			var err error
			if event, err = h.servePeer(ctx, membership, request); err != nil {
				return err
			}
		case <-ticker.C:
			event = peer.Ticked{}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := h.carryOut(ctx, membership.Step(time.Now(), event)); err != nil {
			return err
		}
	}
}

// servePeer answers another host and returns the event that it brought.
func (h *Host) servePeer(ctx context.Context, membership *peer.Membership, request peerrpc.Request) (peer.Event, error) {
	switch request := request.(type) {
	case peerrpc.DigestRequest:
		_ = request.Reply.Offer(membership.Digest()) // the ring has room by contract

		return peer.DigestHeard{Digest: request.Digest}, nil
	case peerrpc.ConfigurationRequest:
		return nil, h.configurations.Put(ctx, configurationAsked{reply: request.Reply})
	default:
		return nil, nil //nolint:nilnil // no event came with the request
	}
}

// carryOut carries out the membership's actions.
func (h *Host) carryOut(ctx context.Context, actions []peer.Action) error {
	for _, action := range actions {
		switch action := action.(type) {
		case peer.LiveChanged:
			h.Log.WithFields(logrus.Fields{"event": "hosts_changed", "live": len(action.Hosts)}).Info("other hosts are live")
			if err := h.dispatch.Put(ctx, dispatch.Hosts{Hosts: action.Hosts}); err != nil {
				return err
			}
		case peer.Exchange, peer.FetchConfiguration:
			if err := h.exchanges.Offer(action); err != nil {
				h.Log.WithField("event", "exchange_skipped").Warn(err)
			}
		}
	}

	return nil
}

// runExchanges sends what the membership wants sent, one exchange at a time.
func (h *Host) runExchanges(ctx context.Context) error {
	for {
		action, err := h.exchanges.Take(ctx)
		if err != nil {
			return err
		}
		input, err := h.exchange(ctx, action)
		if err != nil {
			h.Log.WithField("event", "exchange_failed").Debug(err)

			continue
		}
		if err := input(); err != nil {
			return err
		}
	}
}

// exchange sends one message and returns what to do with the response.
func (h *Host) exchange(ctx context.Context, action peer.Action) (func() error, error) {
	switch action := action.(type) {
	case peer.Exchange:
		var heard schema.Digest
		err := peerrpc.Call(ctx, action.Address, h.Settings.Token, peerrpc.MethodExchange, &action.Digest, &heard)

		return func() error { return h.peers.Put(ctx, peerEvent{peer.DigestHeard{Digest: heard}}) }, err
	case peer.FetchConfiguration:
		var read schema.Configuration
		request := schema.ConfigurationRequest{Above: action.Above}
		err := peerrpc.Call(ctx, action.Address, h.Settings.Token, peerrpc.MethodConfiguration, &request, &read)

		return func() error {
			return h.configurations.Put(ctx, configurationRead{configuration: read, source: action.Address})
		}, err
	case peer.LiveChanged:
	}

	return func() error { return nil }, nil
}
