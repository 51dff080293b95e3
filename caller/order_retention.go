package caller

import (
	"container/heap"
	"time"
)

// maxFloorLead is the maximum time by which the floor of a full book may be
// ahead of its clock.
const maxFloorLead = time.Second

// clock returns the time by the book's clock.
func (b *OrderBook) clock(now time.Time) time.Time {
	return b.Started.Add(now.Sub(b.Started))
}

// outsideLifetime returns the outcome for an id of another incarnation or from
// outside the period for which orders are recorded, or nil.
func (b *OrderBook) outsideLifetime(now time.Time, id OrderID) Outcome {
	clock := b.clock(now)
	switch {
	case id.Incarnation != b.Incarnation:
		return Unknown{Reason: ReasonIncarnationGone}
	case !id.Time().Add(b.Lifetime).After(clock):
		return Unknown{Reason: ReasonExpired}
	case id.Time().After(clock.Add(b.Lifetime + maxOrderClockSkew)):
		return Unknown{Reason: ReasonInvalid}
	default:
		return nil
	}
}

// entry returns the recorded order of a request, recording a new one, or the
// outcome for a request that cannot be accepted.
func (b *OrderBook) entry(now time.Time, request OrderRequest) (*order, Outcome) {
	if entry, ok := b.orders[request.Order]; ok {
		if entry.fingerprint != request.Fingerprint {
			return nil, NotRun{Reason: ReasonOrderMismatch}
		}

		return entry, nil
	}
	if outcome := b.outsideLifetime(now, request.Order); outcome != nil {
		return nil, outcome
	}
	issued := request.Order.Time()
	if len(b.orders) >= b.Capacity || !issued.After(b.floor) {
		return nil, b.refuseWhenFull(now, issued)
	}
	entry := &order{id: request.Order, state: OrderUnseen, fingerprint: request.Fingerprint}
	b.orders[entry.id] = entry
	heap.Push(&b.byIssueTime, entry)
	if issued.After(b.clock(now).Add(maxOrderClockSkew)) {
		b.refuse(entry, request.Attempt, NotRun{Reason: ReasonInvalid})

		return nil, entry.outcome
	}

	return entry, nil
}

// refuseWhenFull returns the outcome for an order that the book cannot record.
// It raises the floor to the time of issue, so that the order never runs. An id
// issued ahead of the clock would raise the floor above future ids; its outcome
// is Unknown and the floor stays.
func (b *OrderBook) refuseWhenFull(now, issued time.Time) Outcome {
	if issued.After(b.clock(now).Add(maxFloorLead)) {
		return Unknown{Reason: ReasonOverloaded}
	}
	b.floor = later(b.floor, issued)

	return NotRun{Reason: ReasonOverloaded}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// earlier returns the earlier of two times. A zero first time is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}

	return a
}

// evict removes orders whose lifetime has passed, in order of issue. An order
// that is still running delays the eviction of those issued after it.
func (b *OrderBook) evict(now time.Time) {
	limit := b.clock(now).Add(-b.Lifetime)
	for len(b.byIssueTime) > 0 {
		entry := b.byIssueTime[0]
		if entry.id.Time().After(limit) || !entry.ended() {
			return
		}
		heap.Pop(&b.byIssueTime)
		delete(b.orders, entry.id)
		b.keptBytes -= entry.keptBytes
		b.actions = append(b.actions, ForgetOrder{Order: entry.id})
	}
}

// orderHeap is a heap of orders with the one issued first at index 0.
type orderHeap []*order

// Len returns the number of orders.
func (h orderHeap) Len() int { return len(h) }

// Less reports whether the order at i was issued before the one at j.
func (h orderHeap) Less(i, j int) bool { return h[i].id.ULID.Compare(h[j].id.ULID) < 0 }

// Swap exchanges two orders.
func (h orderHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an order; package heap calls it.
func (h *orderHeap) Push(item any) { *h = append(*h, item.(*order)) }

// Pop removes the last order; package heap calls it.
func (h *orderHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	*h = (*h)[:last]

	return item
}
