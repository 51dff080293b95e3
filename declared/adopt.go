package declared

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// adoptOrders applies a read of the operators' orders. The version of the
// declaration never decreases.
func (r *Replica) adoptOrders(read OrdersRead) {
	r.historyLost[Orders] = false
	if read.At < r.Declared.OrdersAt {
		return
	}
	for _, declaration := range read.Declarations {
		if declaration.Version > r.Declared.Declaration.Version {
			r.Declared.Declaration, r.changed = declaration, true
		}
	}
	evacuated := slices.Clone(read.Evacuated)
	if !read.Full {
		evacuated = append(evacuated, r.Declared.Evacuated...)
	}
	evacuated = slices.DeleteFunc(evacuated, func(name string) bool { return slices.Contains(read.Returned, name) })
	slices.Sort(evacuated)
	evacuated = slices.Compact(evacuated)
	if !slices.Equal(evacuated, r.Declared.Evacuated) {
		r.Declared.Evacuated, r.changed = evacuated, true
	}
	r.Declared.OrdersAt = read.At
}

// adoptRegistrations applies a read of the backend servers' registrations. A
// registration that went missing while the store was unavailable is kept for
// lapsedRetention.
func (r *Replica) adoptRegistrations(now time.Time, read RegistrationsRead) {
	r.historyLost[Registrations] = false
	if read.At<<RevisionBits < r.Declared.RegistrationsAt&^revisionMask {
		return
	}
	at := read.At << RevisionBits
	listed := map[string]bool{}
	var registered []schema.Registration
	for _, registration := range read.Registered {
		listed[registration.ID] = true
		delete(r.missing, registration.ID)
		known, ok := r.registrations.byID[registration.ID]
		if ok && known.StartedMs > registration.StartedMs {
			continue // late write of an earlier incarnation
		}
		if !ok || withoutVolatileFields(known) != withoutVolatileFields(registration) {
			r.changed = true
			r.history.record(registration.ID, at)
			registered = append(registered, registration)
		}
	}
	removed := r.withoutRetained(now, read.Gone)
	if read.Full {
		var unlisted []string
		for id := range r.registrations.byID {
			if !listed[id] {
				unlisted = append(unlisted, id)
			}
		}
		removed = append(removed, r.withoutRetained(now, unlisted)...)
	}
	for _, id := range removed {
		r.history.record(id, at)
		r.changed = true
	}
	r.registrations.apply(registered, removed)
	r.Declared.RegistrationsAt = max(r.Declared.RegistrationsAt, at)
}

// withoutRetained returns the registered ones of some IDs that were removed, and
// retains those that may have lapsed because the store was unavailable until
// retainLapsedUntil.
func (r *Replica) withoutRetained(now time.Time, gone []string) []string {
	var removed []string
	for _, id := range gone {
		if _, ok := r.registrations.byID[id]; !ok {
			continue
		}
		if !now.Before(r.retainLapsedUntil) {
			removed = append(removed, id)

			continue
		}
		if _, retained := r.missing[id]; !retained {
			r.missing[id] = r.retainLapsedUntil
		}
	}

	return removed
}

// dropMissing drops missing registrations whose retention has ended.
func (r *Replica) dropMissing(now time.Time) {
	for id, until := range r.missing {
		if !now.Before(until) {
			delete(r.missing, id)
			r.registrations.apply(nil, []string{id})
			r.Declared.RegistrationsAt++
			r.history.record(id, r.Declared.RegistrationsAt)
			r.changed = true
		}
	}
}

// comparePeer compares a peer's state with this replica and returns a fetch if the
// peer's state is newer and differs. An equal hash confirms this host's state.
func (r *Replica) comparePeer(now time.Time, peer PeerStateReceived) []Action {
	r.heardAt = now
	delete(r.readerSeenAt, peer.Name)
	if peer.Reads {
		r.readerSeenAt[peer.Name] = now
	}
	confirmed := now.Add(-peer.Age)
	if peer.Hash == r.Hash && confirmed.After(r.peerConfirmedAt) {
		r.peerConfirmedAt = confirmed
	}
	state := peerState{name: peer.Name, address: peer.Address, ordersAt: peer.OrdersAt, registrationsAt: peer.RegistrationsAt, confirmedAt: confirmed}
	delete(r.newer, peer.Name)
	if !r.isNewer(state) {
		return nil
	}
	if peer.Hash == r.Hash && r.HasState() {
		r.Declared.OrdersAt = max(r.Declared.OrdersAt, peer.OrdersAt)
		r.Declared.RegistrationsAt = max(r.Declared.RegistrationsAt, peer.RegistrationsAt)
		r.behindSince = time.Time{}

		return nil
	}
	r.newer[peer.Name] = state
	if r.behindSince.IsZero() {
		r.behindSince = now
	}

	return r.nextFetch()
}
