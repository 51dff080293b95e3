package declared

import (
	"cmp"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// historyEntries bounds the registrations, or the entries of the declaration, whose last
// change is recorded. It exceeds the number of those in use together with the recently
// dropped ones.
const historyEntries = 1 << 15

// history records the version of the last change of each registration, or of each entry of
// the declaration.
type history[Version any] struct {
	changed map[string]Version
	// completeFrom is the version from which the history is complete.
	completeFrom Version
}

// newHistory returns an empty history that is complete from a version on.
func newHistory[Version any](from Version) history[Version] {
	return history[Version]{changed: map[string]Version{}, completeFrom: from}
}

// record notes that something changed or was dropped at a version. A full
// history starts afresh.
func (h *history[Version]) record(id string, at Version) {
	if len(h.changed) >= historyEntries {
		*h = newHistory(at)
	}
	h.changed[id] = at
}

// Answer returns the declared state that the requesting host lacks. It contains
// only what changed if the history reaches back far enough, and all of it
// otherwise, and no registration that this host retains.
func (r *Replica) Answer(now time.Time, request schema.DeclaredRequest) schema.DeclaredAnswer {
	answer := schema.DeclaredAnswer{
		DeclaredVersion: r.Declared.Declaration.Version, Evacuated: r.evacuated, Rollouts: r.rollouts, OrdersAt: r.Declared.OrdersAt,
		RegistrationsAt: r.Declared.RegistrationsAt, RegistrationsHash: r.registrations.hash(),
		RetainLapsedMs: int(max(r.retainLapsedUntil.Sub(now), 0).Milliseconds()),
	}
	if request.Version != answer.DeclaredVersion {
		r.answerDeclaration(&answer, request)
	}
	if request.RegistrationsAt.IsZero() || r.history.completeFrom.IsNewer(request.RegistrationsAt) || request.RegistrationsAt.IsNewer(answer.RegistrationsAt) {
		answer.Registrations = r.registrations.list

		return answer
	}
	answer.RegistrationsAfter = request.RegistrationsAt
	for id, at := range r.history.changed {
		if !at.IsNewer(request.RegistrationsAt) {
			continue
		}
		if registration, ok := r.registrations.byID[id]; ok {
			answer.Registrations = append(answer.Registrations, registration)
		} else {
			answer.Gone = append(answer.Gone, id)
		}
	}

	return answer
}

// peerState is the summary of a peer's state.
type peerState struct {
	name, address             string
	declaredVersion           int
	ordersAt, registrationsAt schema.StoreVersion
	// confirmedAt is when the store last confirmed the state.
	confirmedAt time.Time
	// heldUp is set if the beacon may have waited before its arrival was noted.
	heldUp bool
}

// isNewer reports whether a part of a peer's state is newer than this host's. The
// declaration counts by itself: a peer that read it before the store was restored has a
// newer one than a host that started afterwards.
func (r *Replica) isNewer(peer peerState) bool {
	return peer.ordersAt.IsNewer(r.Declared.OrdersAt) || peer.registrationsAt.IsNewer(r.Declared.RegistrationsAt) ||
		peer.declaredVersion > r.Declared.Declaration.Version
}

// comparePeerStates orders the states of peers from the oldest to the newest, and equal
// ones by name.
func comparePeerStates(a, b peerState) int {
	return cmp.Or(a.ordersAt.Compare(b.ordersAt), a.registrationsAt.Compare(b.registrationsAt), cmp.Compare(a.declaredVersion, b.declaredVersion), cmp.Compare(b.name, a.name))
}

// nextFetch returns a fetch from the peer with the newest state, if one has a newer
// state and no fetch is running.
func (r *Replica) nextFetch() []Action {
	if r.fetching {
		return nil
	}
	var newest *peerState
	for name, peer := range r.newer {
		if !r.isNewer(peer) {
			delete(r.newer, name)

			continue
		}
		if newest == nil || comparePeerStates(peer, *newest) > 0 {
			newest = &peer
		}
	}
	if newest == nil {
		return nil
	}

	return []Action{r.startFetch(*newest)}
}

// startFetch returns a fetch of the state that this host lacks, or of all that did not
// match.
func (r *Replica) startFetch(peer peerState) Action {
	r.fetching, r.fetchedFrom = true, peer
	fetch := Fetch{Address: peer.address, Version: r.Declared.Declaration.Version, RegistrationsAt: r.Declared.RegistrationsAt}
	if r.mismatch.declaration {
		fetch.Version = 0
	}
	if r.mismatch.registrations {
		fetch.RegistrationsAt = schema.StoreVersion{}
	}

	return fetch
}

// adoptAnswer applies a peer's answer. If its changes do not fit this replica, the whole
// is fetched from the same peer. A newer state that was announced meanwhile is fetched
// next.
func (r *Replica) adoptAnswer(now time.Time, peer schema.DeclaredAnswer) []Action {
	before := r.mismatch
	r.fetching, r.mismatch = false, mismatch{}
	r.adoptPeer(now, peer)
	if r.mismatch != (mismatch{}) && before == (mismatch{}) {
		return []Action{r.startFetch(r.fetchedFrom)}
	}
	if r.changed {
		r.behindSince = time.Time{}
	}
	actions := r.nextFetch()
	if r.fetching && r.behindSince.IsZero() {
		r.behindSince = now
	}

	return actions
}

// adoptPeer applies the parts of a peer's answer that are newer.
func (r *Replica) adoptPeer(now time.Time, peer schema.DeclaredAnswer) {
	r.adoptPeerOrders(now, peer)
	if peer.RegistrationsAt.IsNewer(r.Declared.RegistrationsAt) {
		r.adoptPeerRegistrations(now, peer)
	}
}

// adoptPeerOrders applies a peer's declaration if it is newer, and its evacuations and
// rollouts if they are. A newer declaration that the answer does not contain, or that does
// not fit, leaves all of them as they are.
func (r *Replica) adoptPeerOrders(now time.Time, peer schema.DeclaredAnswer) {
	omitted := peer.Declaration.Version != peer.DeclaredVersion
	if peer.DeclaredVersion > r.Declared.Declaration.Version && (omitted || !r.adoptPeerDeclaration(peer)) {
		return
	}
	if !peer.OrdersAt.IsNewer(r.Declared.OrdersAt) {
		return
	}
	r.setOrders(now, peer.Evacuated, r.replacedRollouts(peer.Rollouts, nil, peer.OrdersAt), peer.OrdersAt)
}

// adoptPeerRegistrations applies a peer's newer registrations. If the result does
// not match the peer's hash, it sets mismatch and changes nothing else.
func (r *Replica) adoptPeerRegistrations(now time.Time, peer schema.DeclaredAnswer) {
	gone := peer.Gone
	if peer.RegistrationsAfter.IsZero() {
		listed := newRegistrationSet(peer.Registrations)
		for id := range r.registrations.byID {
			if _, ok := listed.byID[id]; !ok {
				gone = append(gone, id)
			}
		}
	}
	r.mismatch.registrations = r.registrations.hashAfter(peer.Registrations, gone) != peer.RegistrationsHash
	if r.mismatch.registrations {
		return
	}
	r.recordPeerChanges(peer, gone)
	r.noteHeard(now, now)
	r.notePeerConfirmed(r.fetchedFrom)
	// The peer knows better whether the store was unavailable or only this host was cut off.
	if until := now.Add(time.Duration(peer.RetainLapsedMs) * time.Millisecond); until.Before(r.retainLapsedUntil) {
		r.retainLapsedUntil = until
	}
	r.applyRegistrations(now, peer.Registrations, gone, peer.RegistrationsAt)
	r.changed = true
}

// recordPeerChanges records in the history the registrations that a peer's answer
// changes.
func (r *Replica) recordPeerChanges(peer schema.DeclaredAnswer, gone []string) {
	if r.Declared.RegistrationsAt.IsZero() {
		r.history = newHistory(peer.RegistrationsAt)

		return
	}
	for _, registration := range peer.Registrations {
		if r.differs(registration) {
			r.history.record(registration.ID, peer.RegistrationsAt)
		}
	}
	for _, id := range gone {
		if _, ok := r.registrations.byID[id]; ok {
			r.history.record(id, peer.RegistrationsAt)
		}
	}
}
