package declared

import "time"

// heldUpThreshold is the time between two steps, which are at most 200 ms apart otherwise,
// from which an answer of the store may have waited for this process.
const heldUpThreshold = 500 * time.Millisecond

// noteHeldUp records that this process did not run for a while.
func (r *Replica) noteHeldUp(now time.Time) {
	if !r.steppedAt.IsZero() && now.Sub(r.steppedAt) >= heldUpThreshold {
		r.heldUpUntil = now
	}
	r.steppedAt = now
}

// OrdersConfirmedAt returns when the store last confirmed the orders in force, by this
// host's own reads or a peer's. An answer that may have waited while this process was
// held up confirms them only for the time at which the read began.
func (r *Replica) OrdersConfirmedAt() time.Time {
	confirmed := r.readConfirmedAt[Orders]
	if r.confirmedFrom[Orders].Before(r.heldUpUntil) {
		confirmed = r.confirmedFrom[Orders]
	}
	if r.peerConfirmedAt.After(confirmed) {
		return r.peerConfirmedAt
	}

	return confirmed
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
