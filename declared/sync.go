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
	// from is the revision from which it is complete.
	from int
}

// newHistory returns a history that is complete from a revision on.
func newHistory(from int) history {
	return history{changed: map[string]int{}, from: from}
}

// put notes that a registration changed or was dropped.
func (h *history) put(id string, at int) {
	if len(h.changed) >= historyEntries {
		*h = newHistory(at)
	}
	h.changed[id] = at
}

// Tell returns what this host knows beyond what another one knows. Registrations
// are told as changes if the history reaches back far enough.
func (b *Book) Tell(request schema.DeclaredRequest) schema.DeclaredAnswer {
	answer := schema.DeclaredAnswer{
		DeclaredVersion: b.Declared.Declaration.Version, Evacuated: b.Declared.Evacuated, OrdersAt: b.Declared.OrdersAt,
		RegistrationsAt: b.Declared.RegistrationsAt, RegistrationsHash: hashRegistrations(b.Declared.Registrations),
	}
	if request.Version != answer.DeclaredVersion {
		answer.Declaration = b.Declared.Declaration
	}
	if request.RegistrationsAt < max(b.history.from, 1) || request.RegistrationsAt > answer.RegistrationsAt {
		answer.Registrations = b.Declared.Registrations

		return answer
	}
	answer.RegistrationsAfter = request.RegistrationsAt
	for id, at := range b.history.changed {
		if at <= request.RegistrationsAt {
			continue
		}
		if registration, ok := b.registrations[id]; ok {
			answer.Registrations = append(answer.Registrations, registration)
		} else {
			answer.Gone = append(answer.Gone, id)
		}
	}

	return answer
}

// fetch asks another host for what this host does not know.
func (b *Book) fetch(address string) Action {
	b.fetching, b.fetchedFrom = true, address
	wanted := Fetch{Address: address, Version: b.Declared.Declaration.Version, RegistrationsAt: b.Declared.RegistrationsAt}
	if b.unfit {
		wanted.RegistrationsAt = 0
	}

	return wanted
}

// answered adopts what another host knows. If its changes do not fit, it is
// asked for everything.
func (b *Book) answered(peer schema.DeclaredAnswer) []Action {
	before := b.unfit
	b.fetching, b.unfit = false, false
	b.adoptPeer(peer)
	if b.unfit && !before {
		return []Action{b.fetch(b.fetchedFrom)}
	}

	return nil
}

// adoptPeer adopts what another host knows where that is newer.
func (b *Book) adoptPeer(peer schema.DeclaredAnswer) {
	b.adoptPeerOrders(peer)
	if peer.RegistrationsAt > b.Declared.RegistrationsAt {
		b.adoptPeerRegistrations(peer)
	}
}

// adoptPeerOrders adopts a newer declaration and newer evacuations.
func (b *Book) adoptPeerOrders(peer schema.DeclaredAnswer) {
	known := b.Declared.Declaration.Version
	left := peer.Declaration.Version != peer.DeclaredVersion
	if peer.OrdersAt <= b.Declared.OrdersAt || peer.DeclaredVersion < known || left && peer.DeclaredVersion != known {
		return
	}
	if peer.DeclaredVersion > known {
		b.Declared.Declaration, b.changed = peer.Declaration, true
	}
	if !slices.Equal(peer.Evacuated, b.Declared.Evacuated) {
		b.Declared.Evacuated, b.changed = peer.Evacuated, true
	}
	b.Declared.OrdersAt = peer.OrdersAt
}

// adoptPeerRegistrations adopts newer registrations. Changes that lead to others
// than the peer's do not fit what this host knows; it asks for everything then.
func (b *Book) adoptPeerRegistrations(peer schema.DeclaredAnswer) {
	next := map[string]schema.Registration{}
	if peer.RegistrationsAfter > 0 {
		next = maps.Clone(b.registrations)
	}
	for _, registration := range peer.Registrations {
		next[registration.ID] = registration
	}
	for _, id := range peer.Gone {
		delete(next, id)
	}
	b.unfit = hashRegistrations(sorted(next)) != peer.RegistrationsHash
	if b.unfit {
		return
	}
	b.remember(peer, next)
	b.registrations = next
	clear(b.missing)
	b.Declared.RegistrationsAt, b.changed = peer.RegistrationsAt, true
	if b.fetched.After(b.told) {
		b.told = b.fetched
	}
}

// remember notes in the history what a peer's registrations change.
func (b *Book) remember(peer schema.DeclaredAnswer, next map[string]schema.Registration) {
	if b.Declared.RegistrationsAt == 0 {
		b.history = newHistory(peer.RegistrationsAt)

		return
	}
	for id, registration := range next {
		if known, ok := b.registrations[id]; !ok || material(known) != material(registration) {
			b.history.put(id, peer.RegistrationsAt)
		}
	}
	for id := range b.registrations {
		if _, ok := next[id]; !ok {
			b.history.put(id, peer.RegistrationsAt)
		}
	}
}
