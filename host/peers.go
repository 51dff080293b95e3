package host

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// exchangeRingCapacity is the number of exchanges or fetches that can wait;
	// further ones are skipped.
	exchangeRingCapacity = 2
	// exchangeTimeout is the timeout of a digest exchange.
	exchangeTimeout = 300 * time.Millisecond
	// fetchTimeout is the time in which a peer must begin to send its configuration, and in
	// which something more must arrive after that.
	fetchTimeout = 2 * time.Second
)

// peerInput is an item of the peers duty's ring.
//
//sumtype:decl
type peerInput interface{ peerInput() }

// peerEvent carries an event for the membership.
type peerEvent struct {
	event peer.Event
}

// peersQuery requests a view of the membership.
type peersQuery struct {
	reply *ring.Ring[peersView]
}

// peersView is the membership as seen by this host: its own record, the live
// hosts, the shares of the probe budget that it holds and whether it is
// isolated.
type peersView struct {
	self     schema.Host
	live     []schema.Host
	shares   int
	isolated bool
}

func (peerEvent) peerInput()  {}
func (peersQuery) peerInput() {}

// runPeers owns the membership and steps it at each digest interval.
func (h *Host) runPeers(ctx context.Context) error {
	membership := peer.NewMembership(time.Now(), h.Self, h.Settings.DigestInterval, h.seed)
	ticker := time.NewTicker(h.Settings.DigestInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case input := <-h.peers.Items():
			err = h.handlePeerInput(ctx, membership, input)
		case request := <-h.requests.Items():
			err = h.servePeer(ctx, membership, request)
		case <-ticker.C:
			err = h.stepPeers(ctx, membership, peer.Ticked{})
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// handlePeerInput handles one item of the ring.
func (h *Host) handlePeerInput(ctx context.Context, membership *peer.Membership, input peerInput) error {
	switch input := input.(type) {
	case peerEvent:
		return h.stepPeers(ctx, membership, input.event)
	case peersQuery:
		_ = input.reply.Offer(peersView{ // the ring has room by contract
			self: membership.Self, live: membership.Live(), shares: membership.Shares(), isolated: membership.Isolated,
		})
	}

	return nil
}

// servePeer replies to a request from another host.
func (h *Host) servePeer(ctx context.Context, membership *peer.Membership, request peerrpc.Request) error {
	switch request := request.(type) {
	case peerrpc.DigestRequest:
		if err := h.stepPeers(ctx, membership, peer.DigestReceived{Digest: request.Digest}); err != nil {
			return err
		}
		_ = request.Reply.Offer(membership.Answer(time.Now())) // the ring has room by contract
	case peerrpc.ConfigurationRequest:
		// If the ring is full, the peer gets no reply and asks again.
		if err := h.configurations.Offer(configurationQuery{reply: request.Reply}); err != nil {
			h.Log.Event(eventlog.Warning, "configuration_not_served", err.Error())
		}
	case peerrpc.DeclaredRequest:
		_ = request.Reply.Offer(schema.DeclaredAnswer{}) // only hosts on the users' platform ask, and none is a peer
	case peerrpc.MembersRequest:
		_ = request.Reply.Offer(schema.MembersAnswer{}) // as above
	case peerrpc.RoomRequest:
		h.logDroppedOffer("room_not_told", h.dispatch.Offer(dispatch.RoomAsked{Cell: cellOf(request.Cell), Reply: request.Reply}))
	}

	return nil
}

// stepPeers steps the membership and executes the resulting actions.
func (h *Host) stepPeers(ctx context.Context, membership *peer.Membership, event peer.Event) error {
	for _, action := range membership.Step(time.Now(), event) {
		if err := h.executePeerAction(ctx, action); err != nil {
			return err
		}
	}

	return nil
}

// executePeerAction executes one action of the membership.
func (h *Host) executePeerAction(ctx context.Context, action peer.Action) error {
	switch action := action.(type) {
	case peer.LiveChanged:
		h.Log.Event(eventlog.Info, "hosts_changed", "set of live hosts changed; updating routing", eventlog.Integer("live", len(action.Hosts)))

		return h.routing.Put(ctx, dispatch.Hosts{Hosts: action.Hosts, Leaving: action.Leaving})
	case peer.IsolationChanged:
		h.Log.Event(eventlog.Warning, "isolation_changed", "isolation (freeze or partition) started or ended; updating dispatch", eventlog.Flag("isolated", action.Isolated))

		return h.dispatch.Put(ctx, dispatch.Isolate{Isolated: action.Isolated})
	case peer.SharesChanged:
		return h.dispatch.Put(ctx, dispatch.Shares{Held: action.Held})
	case peer.LivenessConfirmed:
		_ = h.dispatch.Offer(dispatch.Confirm{At: time.Now()}) // if dropped, the next tick confirms again
	case peer.Exchange:
		h.logDroppedOffer("exchange_skipped", h.exchanges.Offer(action))
	case peer.FetchConfiguration:
		h.logDroppedOffer("fetch_skipped", h.fetches.Offer(action))
	case peer.OverridesReceived:
		event := operator.OverridesReceived{Overrides: action.Overrides}
		h.logDroppedOffer("overrides_skipped", h.configurations.Offer(configurationEvent{event}))
	case peer.Violation:
		h.Log.Event(eventlog.Error, "invariant_broken", action.Detail, eventlog.Text("invariant", action.Invariant))
	}

	return nil
}

// logDroppedOffer logs an offer to a full ring. Items offered in this way come
// again with a later digest.
func (h *Host) logDroppedOffer(event string, err error) {
	if err != nil {
		h.Log.Event(eventlog.Debug, event, err.Error())
	}
}

// runExchanges exchanges digests with other hosts, one exchange at a time.
func (h *Host) runExchanges(ctx context.Context) error {
	client := peerrpc.NewClient(h.Settings.Token, exchangeTimeout)
	defer client.Close()
	for {
		exchange, err := h.exchanges.Take(ctx)
		if err != nil {
			return err
		}
		var reply schema.Digest
		var event peer.Event = peer.ExchangeFailed{Address: exchange.Address}
		if err := peerrpc.Call(ctx, client, exchange.Address, peerrpc.MethodExchange, &exchange.Digest, &reply); err != nil {
			h.Log.Event(eventlog.Debug, "exchange_failed", err.Error())
		} else {
			event = peer.DigestReceived{Digest: reply, Asked: exchange.Asked}
		}
		if err := h.peers.Put(ctx, peerEvent{event}); err != nil {
			return err
		}
	}
}

// runFetches fetches newer configurations from other hosts, one fetch at a time.
func (h *Host) runFetches(ctx context.Context) error {
	client := peerrpc.NewClient(h.Settings.Token, fetchTimeout)
	defer client.Close()
	for {
		fetch, err := h.fetches.Take(ctx)
		if err != nil {
			return err
		}
		var configuration schema.Configuration
		request := schema.ConfigurationRequest{Above: fetch.Above}
		if err := peerrpc.Call(ctx, client, fetch.Address, peerrpc.MethodConfiguration, &request, &configuration); err != nil {
			h.Log.Event(eventlog.Debug, "fetch_failed", err.Error())

			continue
		}
		event := operator.ConfigurationRead{Configuration: configuration, Source: fetch.Address}
		if err := h.configurations.Put(ctx, configurationEvent{event}); err != nil {
			return err
		}
	}
}
