package declared

import (
	"slices"
	"time"
)

// adoptOrders adopts what operators wrote. Versions of the declaration only
// grow.
func (r *Replica) adoptOrders(read OrdersRead) {
	r.after[Orders] = read.At
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

// adoptRegistrations adopts what backend servers wrote. A registration that went
// missing while the store was away is kept for some time.
func (r *Replica) adoptRegistrations(now time.Time, read RegistrationsRead) {
	r.after[Registrations] = read.At
	if read.At<<RevisionBits < r.Declared.RegistrationsAt&^revisionMask {
		return
	}
	listed := map[string]bool{}
	for _, registration := range read.Registered {
		listed[registration.ID] = true
		delete(r.missing, registration.ID)
		known, ok := r.registrations[registration.ID]
		if ok && known.StartedMs > registration.StartedMs {
			continue // an earlier incarnation's late write
		}
		if !ok || withoutVolatileFields(known) != withoutVolatileFields(registration) {
			r.changed = true
			r.history.record(registration.ID, read.At<<RevisionBits)
		}
		r.registrations[registration.ID] = registration
	}
	for _, id := range read.Gone {
		r.remove(now, id, read.At<<RevisionBits)
	}
	if read.Full {
		for id := range r.registrations {
			if !listed[id] {
				r.remove(now, id, read.At<<RevisionBits)
			}
		}
	}
	r.Declared.RegistrationsAt = max(r.Declared.RegistrationsAt, read.At<<RevisionBits)
}

// remove drops a registration, or keeps it for a while if it may have lapsed
// because the store was away.
func (r *Replica) remove(now time.Time, id string, at int) {
	if _, ok := r.registrations[id]; !ok {
		return
	}
	if now.Before(r.retainLapsedUntil) {
		if _, retained := r.missing[id]; !retained {
			r.missing[id] = r.retainLapsedUntil
		}

		return
	}
	delete(r.registrations, id)
	r.history.record(id, at)
	r.changed = true
}

// dropMissing drops the registrations that did not come back.
func (r *Replica) dropMissing(now time.Time) {
	for id, until := range r.missing {
		if !now.Before(until) {
			delete(r.missing, id)
			delete(r.registrations, id)
			r.Declared.RegistrationsAt++
			r.history.record(id, r.Declared.RegistrationsAt)
			r.changed = true
		}
	}
}

// comparePeer compares what another host knows with what this host knows.
func (r *Replica) comparePeer(now time.Time, peer PeerStateHeard) []Action {
	delete(r.readerHeardAt, peer.Name)
	if peer.Reads {
		r.readerHeardAt[peer.Name] = now
	}
	confirmed := now.Add(-peer.Age)
	if peer.Hash == r.Hash && confirmed.After(r.peerConfirmedAt) {
		r.peerConfirmedAt = confirmed
	}
	newer := peer.OrdersAt > r.Declared.OrdersAt || peer.RegistrationsAt > r.Declared.RegistrationsAt
	if !newer {
		return nil
	}
	if peer.Hash == r.Hash && r.Known() {
		r.Declared.OrdersAt = max(r.Declared.OrdersAt, peer.OrdersAt)
		r.Declared.RegistrationsAt = max(r.Declared.RegistrationsAt, peer.RegistrationsAt)

		return nil
	}
	if r.fetching {
		return nil
	}
	r.fetchConfirmedAt = confirmed

	return []Action{r.startFetch(peer.Address)}
}
