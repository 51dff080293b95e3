package declared

import (
	"maps"
	"slices"

	"github.com/baobabdrum/baobabdrum/schema"
)

// historyEntries bounds the registrations whose last change is remembered: more
// than are in use at once, with those that were dropped lately.
const historyEntries = 1 << 15

// history remembers at which revision each registration changed last.
type history struct {
	changed map[string]int
	// completeFrom is the revision from which it is complete.
	completeFrom int
}

// newHistory returns a history that is complete from a revision on.
func newHistory(from int) history {
	return history{changed: map[string]int{}, completeFrom: from}
}

// record notes that a registration changed or was dropped.
func (h *history) record(id string, at int) {
	if len(h.changed) >= historyEntries {
		*h = newHistory(at)
	}
	h.changed[id] = at
}

// Answer returns what this host knows beyond what another one knows. Registrations
// are told as changes if the history reaches back far enough.
func (r *Replica) Answer(request schema.DeclaredRequest) schema.DeclaredAnswer {
	answer := schema.DeclaredAnswer{
		DeclaredVersion: r.Declared.Declaration.Version, Evacuated: r.Declared.Evacuated, OrdersAt: r.Declared.OrdersAt,
		RegistrationsAt: r.Declared.RegistrationsAt, RegistrationsHash: hashRegistrations(r.Declared.Registrations),
	}
	if request.Version != answer.DeclaredVersion {
		answer.Declaration = r.Declared.Declaration
	}
	if request.RegistrationsAt < max(r.history.completeFrom, 1) || request.RegistrationsAt > answer.RegistrationsAt {
		answer.Registrations = r.Declared.Registrations

		return answer
	}
	answer.RegistrationsAfter = request.RegistrationsAt
	for id, at := range r.history.changed {
		if at <= request.RegistrationsAt {
			continue
		}
		if registration, ok := r.registrations[id]; ok {
			answer.Registrations = append(answer.Registrations, registration)
		} else {
			answer.Gone = append(answer.Gone, id)
		}
	}

	return answer
}

// startFetch asks another host for what this host does not know.
func (r *Replica) startFetch(address string) Action {
	r.fetching, r.fetchedFrom = true, address
	fetch := Fetch{Address: address, Version: r.Declared.Declaration.Version, RegistrationsAt: r.Declared.RegistrationsAt}
	if r.deltaMismatch {
		fetch.RegistrationsAt = 0
	}

	return fetch
}

// adoptAnswer adopts what another host knows. If its changes do not fit, it is
// asked for everything.
func (r *Replica) adoptAnswer(peer schema.DeclaredAnswer) []Action {
	before := r.deltaMismatch
	r.fetching, r.deltaMismatch = false, false
	r.adoptPeer(peer)
	if r.deltaMismatch && !before {
		return []Action{r.startFetch(r.fetchedFrom)}
	}

	return nil
}

// adoptPeer adopts what another host knows where that is newer.
func (r *Replica) adoptPeer(peer schema.DeclaredAnswer) {
	r.adoptPeerOrders(peer)
	if peer.RegistrationsAt > r.Declared.RegistrationsAt {
		r.adoptPeerRegistrations(peer)
	}
}

// adoptPeerOrders adopts a newer declaration and newer evacuations.
func (r *Replica) adoptPeerOrders(peer schema.DeclaredAnswer) {
	known := r.Declared.Declaration.Version
	omitted := peer.Declaration.Version != peer.DeclaredVersion
	if peer.OrdersAt <= r.Declared.OrdersAt || peer.DeclaredVersion < known || omitted && peer.DeclaredVersion != known {
		return
	}
	if peer.DeclaredVersion > known {
		r.Declared.Declaration, r.changed = peer.Declaration, true
	}
	if !slices.Equal(peer.Evacuated, r.Declared.Evacuated) {
		r.Declared.Evacuated, r.changed = peer.Evacuated, true
	}
	r.Declared.OrdersAt = peer.OrdersAt
}

// adoptPeerRegistrations adopts newer registrations. Changes that lead to others
// than the peer's do not fit what this host knows; it asks for everything then.
func (r *Replica) adoptPeerRegistrations(peer schema.DeclaredAnswer) {
	next := map[string]schema.Registration{}
	if peer.RegistrationsAfter > 0 {
		next = maps.Clone(r.registrations)
	}
	for _, registration := range peer.Registrations {
		next[registration.ID] = registration
	}
	for _, id := range peer.Gone {
		delete(next, id)
	}
	r.deltaMismatch = hashRegistrations(sorted(next)) != peer.RegistrationsHash
	if r.deltaMismatch {
		return
	}
	r.recordPeerChanges(peer, next)
	r.registrations = next
	clear(r.missing)
	r.Declared.RegistrationsAt, r.changed = peer.RegistrationsAt, true
	if r.fetchConfirmedAt.After(r.peerConfirmedAt) {
		r.peerConfirmedAt = r.fetchConfirmedAt
	}
}

// recordPeerChanges notes in the history what a peer's registrations change.
func (r *Replica) recordPeerChanges(peer schema.DeclaredAnswer, next map[string]schema.Registration) {
	if r.Declared.RegistrationsAt == 0 {
		r.history = newHistory(peer.RegistrationsAt)

		return
	}
	for id, registration := range next {
		if known, ok := r.registrations[id]; !ok || withoutVolatileFields(known) != withoutVolatileFields(registration) {
			r.history.record(id, peer.RegistrationsAt)
		}
	}
	for id := range r.registrations {
		if _, ok := next[id]; !ok {
			r.history.record(id, peer.RegistrationsAt)
		}
	}
}
