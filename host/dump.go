package host

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// dumpTimeout bounds the time that a dump waits for the duties' replies.
const dumpTimeout = time.Second

// runDump serves requests for a dump of the host's state.
func (h *Host) runDump(ctx context.Context) error {
	for {
		request, err := h.dumps.Take(ctx)
		if err != nil {
			return err
		}
		_ = request.Reply.Offer(h.dump(ctx)) // the ring has room by contract
	}
}

// dump collects the state of each duty. The part of a duty that does not reply
// in time is empty.
func (h *Host) dump(ctx context.Context) schema.Dump {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	dump := schema.Dump{Host: h.Self, Overrides: []schema.Override{}, Rings: h.ringDumps()}
	state := h.queryConfigurationState(ctx)
	dump.Configuration = state.Configuration
	if state.Overrides != nil {
		dump.Overrides = state.Overrides
	}
	view := queryDuty(ctx, h.peers, func(reply *ring.Ring[peersView]) peerInput { return peersQuery{reply: reply} })
	if view.self.Name != "" {
		dump.Host = view.self
	}
	dump.Hosts, dump.SharesHeld, dump.Isolated = view.live, view.shares, view.isolated
	dump.Cells = queryDuty(ctx, h.dispatch, func(reply *ring.Ring[[]schema.CellDump]) dispatch.Input {
		return dispatch.Dump{Reply: reply}
	})
	dump.Orders = queryDuty(ctx, h.dispatch, func(reply *ring.Ring[schema.OrdersDump]) dispatch.Input {
		return dispatch.OrdersDump{Reply: reply}
	})

	return dump
}

// namedRing is a ring with the name that dumps and metrics show.
type namedRing struct {
	name string
	ring prometheus.Ring
}

func named[T any](r *ring.Ring[T]) namedRing {
	return namedRing{name: r.Name, ring: r}
}

// dutyRings lists the rings between duties for dumps and metrics.
func (h *Host) dutyRings() []namedRing {
	return []namedRing{
		named(h.dispatch), named(h.attempts), named(h.probes), named(h.peers), named(h.exchanges), named(h.requests),
		named(h.configurations), named(h.routing), named(h.changes), named(h.persistRequests), named(h.dumps), named(h.fetches),
		named(h.seeks), named(h.stops), named(h.stopRequests), named(h.claims),
	}
}

// ringDumps returns the depth and capacity of the rings between duties.
func (h *Host) ringDumps() []schema.RingDump {
	rings := h.dutyRings()
	dumps := make([]schema.RingDump, 0, len(rings))
	for _, entry := range rings {
		dumps = append(dumps, schema.RingDump{Name: entry.name, Depth: entry.ring.Depth(), Capacity: entry.ring.Capacity()})
	}

	return dumps
}

// exposeRings registers the rings between duties with the metrics.
func (h *Host) exposeRings(metrics *prometheus.Metrics) {
	for _, entry := range h.dutyRings() {
		metrics.Ring(entry.name, entry.ring)
	}
}

// queryDuty sends a request with a reply ring to a duty and returns the reply, or
// the zero value if none arrives before the context ends.
func queryDuty[In, Out any](ctx context.Context, duty *ring.Ring[In], request func(reply *ring.Ring[Out]) In) Out {
	reply := ring.New[Out]("reply", 1)
	if err := duty.Put(ctx, request(reply)); err != nil {
		var zero Out

		return zero
	}
	out, _ := reply.Take(ctx) // the zero value means no reply

	return out
}
