package declared

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// ConfirmedAt returns when the store last confirmed the state in force, by this
// host's own reads or a peer's.
func (r *Replica) ConfirmedAt() time.Time {
	own := r.readConfirmedAt[Orders]
	if r.readConfirmedAt[Registrations].Before(own) {
		own = r.readConfirmedAt[Registrations]
	}

	return later(own, r.peerConfirmedAt)
}

// staleInputWindow is how long after the process was held up beacons do not count,
// because they may have arrived meanwhile: one round of beacons between serving hosts.
const staleInputWindow = 100 * time.Millisecond

// ConfirmedSince reports whether the state in force was confirmed by what was asked or
// sent after a given time: by reads that began since, or by a peer whose state is equal.
func (r *Replica) ConfirmedSince(since time.Time) bool {
	if r.equalHeardAt.After(since.Add(staleInputWindow)) {
		return true
	}

	return !r.confirmedFrom[Orders].Before(since) && !r.confirmedFrom[Registrations].Before(since)
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
	r.noteReaders(now)
	short := !r.readersShortSince.IsZero() && now.Sub(r.readersShortSince) >= rankDelay(rank)
	unread := !r.unreadSince.IsZero() && now.Sub(r.unreadSince) >= r.takeoverDelay(now, rank)
	behind := !r.behindSince.IsZero() && now.Sub(r.behindSince) >= r.timing.behindTimeout

	return short || unread || behind || now.Sub(r.ConfirmedAt()) >= r.timing.staleAfter+rankDelay(rank)
}

// noteReaders records since when too few hosts ahead, or none, read the store.
func (r *Replica) noteReaders(now time.Time) {
	reading := r.countReadersAhead(now)
	noteSince(&r.readersShortSince, now, reading < targetReaders)
	noteSince(&r.unreadSince, now, reading == 0)
}

// noteSince sets the time since which a condition holds, or zero if it does not.
func noteSince(since *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*since = time.Time{}
	case since.IsZero():
		*since = now
	}
}

// Unread reports whether no host ahead of this one reads the store, as far as this
// host knows.
func (r *Replica) Unread() bool {
	return !r.unreadSince.IsZero()
}

// countReadersAhead returns the number of hosts ahead that read the store.
func (r *Replica) countReadersAhead(now time.Time) int {
	reading := 0
	for name, seen := range r.readerSeenAt {
		if r.ahead[name] && now.Sub(seen) < r.timing.readerTimeout {
			reading++
		}
	}

	return reading
}

// takeoverDelay returns how long a host of a rank waits until it reads the store if
// no host ahead does. A host that hears from no other host does not wait for them.
func (r *Replica) takeoverDelay(now time.Time, rank int) time.Duration {
	position := max(rank-targetReaders+1, 0)
	wait := time.Duration(min(position, takeoverRanks)) * takeoverStep
	if now.Sub(r.heardAt) >= r.timing.readerTimeout {
		return wait
	}
	for range max(position-takeoverRanks, 0) {
		wait = min(2*wait, maxRankDelay)
	}

	return wait
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
	return r.HasState() && r.failures == 0 && r.answered(now, Orders) && r.answered(now, Registrations) && r.isReader(now)
}

// answered reports whether the store answered a read of a table as recently as it
// does when it is available.
func (r *Replica) answered(now time.Time, table Table) bool {
	return now.Sub(r.answeredAt[table]) <= r.timing.readWait+answerAllowance
}

// due reports whether a table may be read again. While the store does not answer,
// the tables are read in turn.
func (r *Replica) due(now time.Time, table Table) bool {
	other := Orders + Registrations - table
	interval, last := minReadInterval, r.readAt[table]
	if r.failures > 0 {
		interval = max(min(minRetryDelay<<min(r.failures-1, 8), maxRetryDelay), r.sharedRetryDelay(now))
	}
	if !r.lostAt.IsZero() {
		if r.reading[other] || r.readAt[other].Before(last) {
			return false
		}
		last = r.readAt[other]
	}

	return !r.reading[table] && now.Sub(last) >= interval
}

// sharedRetryDelay returns the back-off by which all hosts together query a store that
// answers none of them about as often as the first hosts do. It is 0 for these, for a host
// that hears from no other, and as soon as the store has answered another one.
func (r *Replica) sharedRetryDelay(now time.Time) time.Duration {
	first := len(r.rank.Ahead) < targetReaders+linearRanks
	alone := now.Sub(r.heardAt) >= r.timing.readerTimeout
	answered := r.readerHeardAt.After(r.failedAt)
	if first || alone || answered {
		return 0
	}
	mean := min(time.Duration(r.rank.Hosts)*retryStep, maxSharedRetryDelay)

	return time.Duration((0.5 + r.rank.Share) * float64(mean))
}

// startRead returns a read and marks the table as being read. It waits for a change
// only if the store confirmed the state just now.
func (r *Replica) startRead(now time.Time, table Table) Action {
	read := Read{Table: table, After: r.inForceAt(table)}
	if r.historyLost[table] {
		read.After = schema.StoreVersion{}
	}
	if !read.After.IsZero() && r.answered(now, table) {
		read.Wait = r.timing.readWait
	}
	r.reading[table], r.readAt[table] = true, now

	return read
}

// inForceAt returns the store version of what is in force of a table.
func (r *Replica) inForceAt(table Table) schema.StoreVersion {
	if table == Orders {
		return r.Declared.OrdersAt
	}

	return r.Declared.RegistrationsAt
}

// noteAnswered records that the store answered a read, and ends an outage.
func (r *Replica) noteAnswered(now time.Time, table Table) []Action {
	r.reading[table], r.failures, r.answeredAt[table] = false, 0, now
	if r.lostAt.IsZero() {
		return nil
	}
	outage := now.Sub(r.lostAt)
	r.lostAt = time.Time{}

	return []Action{StoreRegained{Outage: outage}}
}

// noteConfirmed records that an answer of the store that arrived at a time holds what is
// in force of a table.
func (r *Replica) noteConfirmed(now, arrived time.Time, table Table) {
	r.noteHeard(now, arrived)
	r.historyLost[table], r.behindSince = false, time.Time{}
	r.readConfirmedAt[table], r.confirmedFrom[table] = arrived, r.readAt[table]
}

// noteHistoryLost has the next read of a table read everything.
func (r *Replica) noteHistoryLost(table Table) []Action {
	r.historyLost[table], r.readAt[table] = true, time.Time{}

	return []Action{HistoryMissed{Table: table, InForce: r.inForceAt(table)}}
}

// noteReadFailure records a failed read, and reports the store lost after
// failuresUntilLost of them in a row.
func (r *Replica) noteReadFailure(now time.Time, table Table) []Action {
	r.reading[table], r.failedAt = false, now
	if r.failures == 0 {
		r.firstFailedAt = now
	}
	r.failures++
	if r.failures < failuresUntilLost || !r.lostAt.IsZero() {
		return nil
	}
	r.lostAt = r.firstFailedAt

	return []Action{StoreLost{}}
}
