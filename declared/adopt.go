package declared

import (
	"slices"
	"time"
)

// adoptOrders adopts what operators wrote. Versions of the declaration only
// grow.
func (b *Book) adoptOrders(read OrdersRead) {
	b.after[Orders] = read.At
	if read.At < b.Declared.OrdersAt {
		return
	}
	for _, declaration := range read.Declarations {
		if declaration.Version > b.Declared.Declaration.Version {
			b.Declared.Declaration, b.changed = declaration, true
		}
	}
	evacuated := slices.Clone(read.Evacuated)
	if !read.Full {
		evacuated = append(evacuated, b.Declared.Evacuated...)
	}
	evacuated = slices.DeleteFunc(evacuated, func(name string) bool { return slices.Contains(read.Returned, name) })
	slices.Sort(evacuated)
	evacuated = slices.Compact(evacuated)
	if !slices.Equal(evacuated, b.Declared.Evacuated) {
		b.Declared.Evacuated, b.changed = evacuated, true
	}
	b.Declared.OrdersAt = read.At
}

// adoptRegistrations adopts what backend servers wrote. A registration that went
// missing while the store was away is kept for some time.
func (b *Book) adoptRegistrations(now time.Time, read RegistrationsRead) {
	b.after[Registrations] = read.At
	if read.At<<RevisionBits < b.Declared.RegistrationsAt&^revisionMask {
		return
	}
	listed := map[string]bool{}
	for _, registration := range read.Registered {
		listed[registration.ID] = true
		delete(b.missing, registration.ID)
		known, ok := b.registrations[registration.ID]
		if ok && known.StartedMs > registration.StartedMs {
			continue // an earlier incarnation's late write
		}
		if !ok || material(known) != material(registration) {
			b.changed = true
			b.history.put(registration.ID, read.At<<RevisionBits)
		}
		b.registrations[registration.ID] = registration
	}
	for _, id := range read.Gone {
		b.remove(now, id, read.At<<RevisionBits)
	}
	if read.Full {
		for id := range b.registrations {
			if !listed[id] {
				b.remove(now, id, read.At<<RevisionBits)
			}
		}
	}
	b.Declared.RegistrationsAt = max(b.Declared.RegistrationsAt, read.At<<RevisionBits)
}

// remove drops a registration, or keeps it for a while if it may have lapsed
// because the store was away.
func (b *Book) remove(now time.Time, id string, at int) {
	if _, ok := b.registrations[id]; !ok {
		return
	}
	if now.Before(b.holdUntil) {
		if _, held := b.missing[id]; !held {
			b.missing[id] = b.holdUntil
		}

		return
	}
	delete(b.registrations, id)
	b.history.put(id, at)
	b.changed = true
}

// dropMissing drops the registrations that did not come back.
func (b *Book) dropMissing(now time.Time) {
	for id, until := range b.missing {
		if !now.Before(until) {
			delete(b.missing, id)
			delete(b.registrations, id)
			b.Declared.RegistrationsAt++
			b.history.put(id, b.Declared.RegistrationsAt)
			b.changed = true
		}
	}
}

// heard compares what another host knows with what this host knows.
func (b *Book) heard(now time.Time, peer PeerHeard) []Action {
	delete(b.readers, peer.Name)
	if peer.Reads {
		b.readers[peer.Name] = now
	}
	confirmed := now.Add(-peer.Age)
	if peer.Hash == b.Hash && confirmed.After(b.told) {
		b.told = confirmed
	}
	newer := peer.OrdersAt > b.Declared.OrdersAt || peer.RegistrationsAt > b.Declared.RegistrationsAt
	if !newer {
		return nil
	}
	if peer.Hash == b.Hash && b.Known() {
		b.Declared.OrdersAt = max(b.Declared.OrdersAt, peer.OrdersAt)
		b.Declared.RegistrationsAt = max(b.Declared.RegistrationsAt, peer.RegistrationsAt)

		return nil
	}
	if b.fetching {
		return nil
	}
	b.fetched = confirmed

	return []Action{b.fetch(peer.Address)}
}
