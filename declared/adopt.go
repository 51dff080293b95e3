package declared

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// readOrders applies an answer of the store with the operators' orders.
func (r *Replica) readOrders(now time.Time, read OrdersRead) []Action {
	actions := r.noteAnswered(now, Orders)
	rejected := r.checkAnswer(Orders, read.At, read.After, read.Full)
	if rejected != nil {
		return append(actions, rejected...)
	}
	r.noteConfirmed(now, arrival(now, read.ArrivedAt), Orders)
	r.adoptOrders(now, read)

	return actions
}

// readRegistrations applies an answer of the store with the registrations of backend
// servers.
func (r *Replica) readRegistrations(now time.Time, read RegistrationsRead) []Action {
	actions := r.noteAnswered(now, Registrations)
	rejected := r.checkAnswer(Registrations, read.At, read.After, read.Full)
	if rejected != nil {
		return append(actions, rejected...)
	}
	r.noteConfirmed(now, arrival(now, read.ArrivedAt), Registrations)
	r.adoptRegistrations(now, read)

	return actions
}

// checkAnswer returns why an answer of the store cannot be applied, or nil if it can.
func (r *Replica) checkAnswer(table Table, at, after schema.StoreVersion, full bool) []Action {
	inForce := r.inForceAt(table)
	switch {
	case inForce.IsNewer(at):
		return []Action{ReadOutdated{Table: table, At: at, InForce: inForce, Full: full}}
	case !full && !at.Continues(after):
		return r.noteHistoryLost(table)
	default:
		return nil
	}
}

// reportRestored reports the tables that an event put in force as of a store that was
// restored from a copy, given the versions in force before.
func (r *Replica) reportRestored(before [2]schema.StoreVersion) []Action {
	var actions []Action
	for table, earlier := range before {
		if at := r.inForceAt(Table(table)); !earlier.IsZero() && earlier.Epoch != at.Epoch {
			actions = append(actions, StoreRestored{Table: Table(table), Before: earlier, At: at})
		}
	}

	return actions
}

// adoptOrders applies a read of the operators' orders. The version of the declaration
// never decreases: operators number declarations themselves, whatever the store loses.
func (r *Replica) adoptOrders(now time.Time, read OrdersRead) {
	var newest schema.Declaration
	for _, declaration := range read.Declarations {
		if declaration.Version > max(newest.Version, r.Declared.Declaration.Version) {
			newest = declaration
		}
	}
	if newest.Version > 0 {
		r.replaceDeclaration(newest, newDeclarationIndex(newest))
	}
	evacuated := slices.Clone(read.Evacuated)
	if !read.Full {
		evacuated = append(evacuated, r.evacuated...)
	}
	evacuated = slices.DeleteFunc(evacuated, func(name string) bool { return slices.Contains(read.Returned, name) })
	slices.Sort(evacuated)
	evacuated = slices.Compact(evacuated)
	r.retainedOrders.withdraw(read.Returned, read.Withdrawn)
	r.setOrders(now, evacuated, r.rolloutsAfter(read), read.At)
}

// adoptRegistrations applies a read of the backend servers' registrations.
func (r *Replica) adoptRegistrations(now time.Time, read RegistrationsRead) {
	listed := map[string]bool{}
	var registered []schema.Registration
	for _, registration := range read.Registered {
		listed[registration.ID] = true
		known, ok := r.registrations.byID[registration.ID]
		if ok && known.StartedMs > registration.StartedMs {
			continue // late write of an earlier incarnation
		}
		if r.differs(registration) {
			r.history.record(registration.ID, read.At)
			registered = append(registered, registration)
		}
	}
	gone := slices.Clone(read.Gone)
	if read.Full {
		for id := range r.registrations.byID {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	}
	gone = slices.DeleteFunc(gone, func(id string) bool { _, known := r.registrations.byID[id]; return !known })
	for _, id := range gone {
		r.history.record(id, read.At)
	}
	r.applyRegistrations(now, registered, gone, read.At)
}

// applyRegistrations adds or replaces registrations and removes others as of a version of
// the store. Those that may have lapsed because the store was unavailable, or that a
// restored store has lost, stay in force at this host until retainLapsedUntil; other hosts do
// not learn of them.
func (r *Replica) applyRegistrations(now time.Time, registered []schema.Registration, gone []string, at schema.StoreVersion) {
	restored := r.isRestored(Registrations, at)
	if restored {
		r.retainLapsedUntil = later(r.retainLapsedUntil, now.Add(lapsedRetention))
	}
	for _, registration := range registered {
		delete(r.retained, registration.ID)
		if !restored && r.differs(registration) {
			r.departures.noteRegistered(registration)
		}
	}
	for _, id := range gone {
		known, ok := r.registrations.byID[id]
		switch {
		case !ok || r.departures.doubts(id):
		case now.Before(r.retainLapsedUntil):
			r.retained[id] = retainedRegistration{registration: known, until: r.retainLapsedUntil}
		default:
			r.departures.noteGone(known)
		}
	}
	r.registrations.apply(registered, gone)
	if restored {
		r.departures.noteRestored(now, r.registrations.list)
	}
	r.changed = r.changed || len(registered)+len(gone) > 0
	r.Declared.RegistrationsAt = at
}

// differs reports whether a registration is new or differs from the known one in what
// matters to hosts that dispatch calls.
func (r *Replica) differs(registration schema.Registration) bool {
	known, ok := r.registrations.byID[registration.ID]

	return !ok || withoutVolatileFields(known) != withoutVolatileFields(registration)
}

// dropRetained drops retained registrations and orders whose retention has ended, and ends
// doubts.
func (r *Replica) dropRetained(now time.Time) {
	r.dropRetainedOrders(now)
	r.changed = r.departures.expire(now) || r.changed
	for id, retained := range r.retained {
		if !now.Before(retained.until) {
			delete(r.retained, id)
			r.changed = true
		}
	}
}

// inForce returns the registrations of the store together with the retained ones. Those of
// backend servers that had left before the store was restored drain.
func (r *Replica) inForce() []schema.Registration {
	listed := r.departures.withDoubts(r.registrations.list)
	if len(r.retained) == 0 {
		return listed
	}
	retained := make([]schema.Registration, 0, len(r.retained))
	for _, next := range r.retained {
		retained = append(retained, next.registration)
	}
	slices.SortFunc(retained, compareIDs)

	return merge(listed, retained, nil)
}

// noteHeard records that the state of the store at some time has reached this host.
// After lapseThreshold without that, registrations that are missing now may have
// lapsed because the store was unavailable.
func (r *Replica) noteHeard(now, stateAt time.Time) {
	if last := r.ConfirmedAt(); !last.IsZero() && stateAt.Sub(last) >= lapseThreshold {
		r.retainLapsedUntil = now.Add(lapsedRetention)
	}
}

// notePeerConfirmed records when the store confirmed this host's state to a peer.
func (r *Replica) notePeerConfirmed(peer peerState) {
	r.peerConfirmedAt = later(r.peerConfirmedAt, peer.confirmedAt)
	if !peer.heldUp {
		r.peerCertainAt = later(r.peerCertainAt, peer.confirmedAt)
	}
}

// comparePeer compares a peer's state with this replica and returns a fetch if the
// peer's state is newer and differs. An equal hash confirms this host's state.
func (r *Replica) comparePeer(now time.Time, peer PeerStateReceived) []Action {
	r.heardAt = now
	r.noteAnnounced(peer)
	delete(r.readerSeenAt, peer.Name)
	if peer.Reads {
		r.readerSeenAt[peer.Name], r.readerHeardAt = now, now
	}
	arrived := arrival(now, peer.ArrivedAt)
	state := peerState{
		name: peer.Name, address: peer.Address, declaredVersion: peer.DeclaredVersion, ordersAt: peer.OrdersAt, registrationsAt: peer.RegistrationsAt,
		confirmedAt: arrived.Add(-peer.Age), heldUp: r.mayHaveBeenHeldUp(arrived),
	}
	if peer.Hash == r.Hash {
		r.noteHeard(now, state.confirmedAt)
		r.notePeerConfirmed(state)
		if peer.Age < r.timing.staleAfter {
			r.equalHeardAt = later(r.equalHeardAt, arrived)
		}
	}
	delete(r.newer, peer.Name)
	if !r.isNewer(state) {
		return nil
	}
	if peer.Hash == r.Hash && r.HasState() {
		r.Declared.OrdersAt = newer(r.Declared.OrdersAt, peer.OrdersAt)
		r.Declared.RegistrationsAt = newer(r.Declared.RegistrationsAt, peer.RegistrationsAt)
		r.behindSince = time.Time{}

		return nil
	}
	r.newer[peer.Name] = state
	if r.behindSince.IsZero() {
		r.behindSince = now
	}

	return r.nextFetch()
}

// newer returns the newer of two store versions.
func newer(first, second schema.StoreVersion) schema.StoreVersion {
	if second.IsNewer(first) {
		return second
	}

	return first
}
