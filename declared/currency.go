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

// mayHaveBeenHeldUp reports whether a beacon may have waited in the socket while this
// process was held up, so that the noted time of its arrival is too late.
func (r *Replica) mayHaveBeenHeldUp(arrived time.Time) bool {
	return !r.heldUpUntil.IsZero() && !arrived.After(r.heldUpUntil.Add(staleInputWindow))
}

// OrdersConfirmedAt returns when the store last confirmed the orders in force, by this
// host's own reads or a peer's. What may have waited while this process was held up does
// not count: an answer confirms only the time at which its read began, a beacon nothing.
func (r *Replica) OrdersConfirmedAt() time.Time {
	return later(r.readCertainAt(Orders), r.peerCertainAt)
}

// CertainAt returns when the store last confirmed the state in force, in the way of
// OrdersConfirmedAt. Other hosts may rely on it for their own state.
func (r *Replica) CertainAt() time.Time {
	own := r.readCertainAt(Orders)
	if registrations := r.readCertainAt(Registrations); registrations.Before(own) {
		own = registrations
	}

	return later(own, r.peerCertainAt)
}

// readCertainAt returns when the last answered read certainly confirmed a table.
func (r *Replica) readCertainAt(table Table) time.Time {
	if r.confirmedFrom[table].Before(r.heldUpUntil) {
		return r.confirmedFrom[table]
	}

	return r.readConfirmedAt[table]
}

// arrival returns when an input that is handled now arrived, given its noted arrival.
func arrival(now, noted time.Time) time.Time {
	if noted.IsZero() {
		return now
	}

	return noted
}

// later returns the later of two times.
func later(first, second time.Time) time.Time {
	if second.After(first) {
		return second
	}

	return first
}

// OrdersOutdated reports whether another host has announced newer orders, which this
// host has not received yet. The announcement counts also after that host was lost.
func (r *Replica) OrdersOutdated() bool {
	return r.ordersAnnounced.IsNewer(r.Declared.OrdersAt) || r.declarationAnnounced > r.Declared.Declaration.Version
}

// noteAnnounced records the versions of a peer's orders and of its declaration.
func (r *Replica) noteAnnounced(peer PeerStateReceived) {
	r.ordersAnnounced = newer(r.ordersAnnounced, peer.OrdersAt)
	r.declarationAnnounced = max(r.declarationAnnounced, peer.DeclaredVersion)
}
