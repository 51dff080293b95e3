package declared

import (
	"time"
)

// ConfirmedAt returns when the store last confirmed what is in force, as far as
// this host knows.
func (b *Book) ConfirmedAt() time.Time {
	own := b.confirmed[Orders]
	if b.confirmed[Registrations].Before(own) {
		own = b.confirmed[Registrations]
	}
	if b.told.After(own) {
		return b.told
	}

	return own
}

// reads returns the reads that are due.
func (b *Book) reads(now time.Time) []Action {
	if !b.reader(now) {
		return nil
	}
	var actions []Action
	for _, table := range []Table{Orders, Registrations} {
		if b.due(now, table) {
			actions = append(actions, b.read(now, table))
		}
	}

	return actions
}

// reader reports whether this host reads the store: the first hosts that the
// store answers do, and any host while no one tells it what is in force.
func (b *Book) reader(now time.Time) bool {
	rank := len(b.role.Ahead)
	if !b.Known() {
		return now.Sub(b.startedAt) >= startAfter+time.Duration(rank)*rankStep
	}
	if age := now.Sub(b.startedAt); age < meetFor || age < hearFor && rank >= readers {
		return false
	}
	if b.heardReading(now) >= readers {
		b.shortSince = time.Time{}
	} else if b.shortSince.IsZero() {
		b.shortSince = now
	}
	short := !b.shortSince.IsZero() && now.Sub(b.shortSince) >= turn(rank)

	return short || now.Sub(b.ConfirmedAt()) >= staleAfter+turn(rank)
}

// heardReading returns the number of hosts ahead that read the store.
func (b *Book) heardReading(now time.Time) int {
	reading := 0
	for _, name := range b.role.Ahead {
		if now.Sub(b.readers[name]) < readerTimeout {
			reading++
		}
	}

	return reading
}

// turn returns how long a host of a rank lets those ahead try to read the store
// first: one after the other, and from the first few on ever more rarely, so that
// a store that answers no one is not asked by all.
func turn(rank int) time.Duration {
	place := max(rank-readers+1, 0)
	if rank < readers {
		return 0
	}
	wait := time.Duration(min(place, evenTurns)) * rankStep
	for range max(place-evenTurns, 0) {
		wait = min(2*wait, longestTurn)
	}

	return wait
}

// Reads reports whether this host reads the store and is answered.
func (b *Book) Reads(now time.Time) bool {
	return b.Known() && b.failures == 0 && b.reader(now)
}

// due reports whether a table may be read again.
func (b *Book) due(now time.Time, table Table) bool {
	interval := watchPause
	if b.failures > 0 {
		interval = min(retryAfter<<min(b.failures-1, 8), retryLongest)
	}

	return !b.reading[table] && now.Sub(b.readAt[table]) >= interval
}

// read begins a read.
func (b *Book) read(now time.Time, table Table) Action {
	b.reading[table], b.readAt[table] = true, now
	wait := LongestWait
	if b.after[table] == 0 {
		wait = 0
	}

	return Read{Table: table, After: b.after[table], Wait: wait}
}

// regained notes that the store answered.
func (b *Book) regained(now time.Time, table Table) []Action {
	silent := now.Sub(b.ConfirmedAt())
	b.reading[table], b.failures, b.confirmed[table] = false, 0, now
	if b.lostAt.IsZero() {
		return nil
	}
	away := now.Sub(b.lostAt)
	b.lostAt = time.Time{}
	if silent >= lapseAfter {
		b.holdUntil = now.Add(lapseHold)
	}

	return []Action{StoreRegained{Away: away}}
}

// failed notes that the store did not answer.
func (b *Book) failed(now time.Time, table Table) []Action {
	b.reading[table] = false
	if b.failures == 0 {
		b.failedAt = now
	}
	b.failures++
	if b.failures < lostFailures || !b.lostAt.IsZero() {
		return nil
	}
	b.lostAt = b.failedAt

	return []Action{StoreLost{}}
}
