package declared

import (
	"time"
)

// ConfirmedAt returns when the store last confirmed the state in force, by this
// host's own reads or a peer's.
func (r *Replica) ConfirmedAt() time.Time {
	own := r.readConfirmedAt[Orders]
	if r.readConfirmedAt[Registrations].Before(own) {
		own = r.readConfirmedAt[Registrations]
	}
	if r.peerConfirmedAt.After(own) {
		return r.peerConfirmedAt
	}

	return own
}

// dueReads returns the reads that are due.
func (r *Replica) dueReads(now time.Time) []Action {
	if !r.isReader(now) {
		return nil
	}
	var actions []Action
	for _, table := range []Table{Orders, Registrations} {
		if r.due(now, table) {
			actions = append(actions, r.startRead(now, table))
		}
	}

	return actions
}

// isReader reports whether this host reads the store. The first hosts by rank that
// the store answers are readers, and so is any host whose state no one confirms.
func (r *Replica) isReader(now time.Time) bool {
	rank := len(r.rank.Ahead)
	if !r.HasState() {
		first := firstReadDelay
		if r.Early {
			first = earlyReadDelay
		}

		return now.Sub(r.startedAt) >= first+time.Duration(min(rank, targetReaders))*rankDelayStep+time.Duration(max(rank-targetReaders, 0))*laterReadDelay
	}
	if age := now.Sub(r.startedAt); age < peerDiscoveryPeriod || age < readerDiscoveryPeriod && rank >= targetReaders {
		return false
	}
	if r.countReadersAhead(now) >= targetReaders {
		r.readersShortSince = time.Time{}
	} else if r.readersShortSince.IsZero() {
		r.readersShortSince = now
	}
	short := !r.readersShortSince.IsZero() && now.Sub(r.readersShortSince) >= rankDelay(rank)
	behind := !r.behindSince.IsZero() && now.Sub(r.behindSince) >= behindTimeout

	return short || behind || now.Sub(r.ConfirmedAt()) >= staleAfter+rankDelay(rank)
}

// countReadersAhead returns the number of hosts ahead that read the store.
func (r *Replica) countReadersAhead(now time.Time) int {
	reading := 0
	for name, seen := range r.readerSeenAt {
		if r.ahead[name] && now.Sub(seen) < readerTimeout {
			reading++
		}
	}

	return reading
}

// rankDelay returns how long a host of a rank waits for the hosts ahead of it to
// read the store. The wait grows linearly for the first ranks and exponentially
// after them, so that not all hosts query a store that answers none of them.
func rankDelay(rank int) time.Duration {
	position := max(rank-targetReaders+1, 0)
	if rank < targetReaders {
		return 0
	}
	wait := time.Duration(min(position, linearRanks)) * rankDelayStep
	for range max(position-linearRanks, 0) {
		wait = min(2*wait, maxRankDelay)
	}

	return wait
}

// Reads reports whether this host reads the store and gets answers.
func (r *Replica) Reads(now time.Time) bool {
	return r.HasState() && r.failures == 0 && r.isReader(now)
}

// due reports whether a table may be read again.
func (r *Replica) due(now time.Time, table Table) bool {
	interval := minReadInterval
	if r.failures > 0 {
		interval = min(minRetryDelay<<min(r.failures-1, 8), maxRetryDelay)
	}

	return !r.reading[table] && now.Sub(r.readAt[table]) >= interval
}

// startRead returns a read and marks the table as being read. A read of everything
// does not wait for a change.
func (r *Replica) startRead(now time.Time, table Table) Action {
	r.reading[table], r.readAt[table] = true, now
	wait := MaxReadWait
	if r.after[table] == 0 {
		wait = 0
	}

	return Read{Table: table, After: r.after[table], Wait: wait}
}

// noteReadSuccess records that the store answered, and ends an outage. If this host's
// state was unconfirmed for at least lapseThreshold before, missing registrations are
// retained.
func (r *Replica) noteReadSuccess(now time.Time, table Table) []Action {
	silent := now.Sub(r.ConfirmedAt())
	r.reading[table], r.failures, r.readConfirmedAt[table], r.behindSince = false, 0, now, time.Time{}
	if r.lostAt.IsZero() {
		return nil
	}
	outage := now.Sub(r.lostAt)
	r.lostAt = time.Time{}
	if silent >= lapseThreshold {
		r.retainLapsedUntil = now.Add(lapsedRetention)
	}

	return []Action{StoreRegained{Outage: outage}}
}

// noteReadFailure records a failed read, and reports the store lost after
// failuresUntilLost of them in a row.
func (r *Replica) noteReadFailure(now time.Time, table Table) []Action {
	r.reading[table] = false
	if r.failures == 0 {
		r.failedAt = now
	}
	r.failures++
	if r.failures < failuresUntilLost || !r.lostAt.IsZero() {
		return nil
	}
	r.lostAt = r.failedAt

	return []Action{StoreLost{}}
}
