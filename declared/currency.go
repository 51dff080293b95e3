package declared

import "time"

// OrdersConfirmedAt returns when the store last confirmed the orders in force, by this
// host's own reads or a peer's.
func (r *Replica) OrdersConfirmedAt() time.Time {
	if r.peerConfirmedAt.After(r.readConfirmedAt[Orders]) {
		return r.peerConfirmedAt
	}

	return r.readConfirmedAt[Orders]
}

// OrdersOutdated reports whether another host has announced newer orders, which this
// host has not received yet. The announcement counts also after that host was lost.
func (r *Replica) OrdersOutdated() bool {
	return r.ordersAnnounced > r.Declared.OrdersAt
}

// noteAnnounced records the version of a peer's orders.
func (r *Replica) noteAnnounced(ordersAt int) {
	r.ordersAnnounced = max(r.ordersAnnounced, ordersAt)
}
