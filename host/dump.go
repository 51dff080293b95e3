package host

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// dumpTimeout bounds the wait for each duty's part of a dump.
const dumpTimeout = time.Second

// runDump collects the state of the duties on request.
func (h *Host) runDump(ctx context.Context) error {
	for {
		request, err := h.dumps.Take(ctx)
		if err != nil {
			return err
		}
		_ = request.Reply.Offer(h.dump(ctx)) // the ring has room by contract
	}
}

// dump asks each duty for its part. A duty that does not answer in time leaves
// its part empty.
func (h *Host) dump(ctx context.Context) schema.Dump {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	dump := schema.Dump{Host: h.Self, Overrides: []schema.Override{}, Rings: h.rings()}
	register := h.inForce(ctx)
	dump.Configuration = register.Configuration
	if register.Overrides != nil {
		dump.Overrides = register.Overrides
	}
	view := askDuty(ctx, h.peers, func(reply *ring.Ring[peersView]) peerInput { return peersAsked{reply: reply} })
	if view.self.Name != "" {
		dump.Host = view.self
	}
	dump.Hosts, dump.SharesHeld, dump.Isolated = view.live, view.shares, view.isolated
	dump.Cells = askDuty(ctx, h.dispatch, func(reply *ring.Ring[[]schema.CellDump]) dispatch.Input {
		return dispatch.Dump{Reply: reply}
	})

	return dump
}

// rings describes the rings between duties.
func (h *Host) rings() []schema.RingDump {
	return []schema.RingDump{
		describe(h.dispatch), describe(h.attempts), describe(h.probes), describe(h.peers), describe(h.exchanges),
		describe(h.requests), describe(h.configurations), describe(h.changes), describe(h.dumps),
		describe(h.fetches), describe(h.keeps), describe(h.stops), describe(h.stopRequests),
		describe(h.claims),
	}
}

// describe returns the state of a ring.
func describe[T any](r *ring.Ring[T]) schema.RingDump {
	return schema.RingDump{Name: r.Name, Depth: r.Depth(), Capacity: r.Capacity()}
}

// askDuty offers a request with a reply ring and returns the reply, or the zero
// value if none came in time.
func askDuty[In, Out any](ctx context.Context, duty *ring.Ring[In], request func(reply *ring.Ring[Out]) In) Out {
	reply := ring.New[Out]("reply", 1)
	if err := duty.Put(ctx, request(reply)); err != nil {
		var none Out

		return none
	}
	out, _ := reply.Take(ctx) // the zero value stands for no reply

	return out
}
