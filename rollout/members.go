package rollout

import (
	"slices"
	"time"
)

const (
	// freshReport is the age up to which the report of a host shows its present share.
	freshReport = time.Second
	// departureReportAge is the age of the last report up to which a host that no longer
	// serves has left by itself. A lost host is dropped from the serving ones later than that.
	departureReportAge = 300 * time.Millisecond
	// lostRetention is how long a lost host counts for the majority.
	lostRetention = 10 * time.Minute
)

// peer is what another host reported last.
type peer struct {
	at            time.Time
	share         int
	otherInFlight int
	// ramping says that the host has reported a larger share than while observing, ever since
	// the order began.
	ramping bool
}

// Hearing returns the number of hosts whose reports are recent enough to learn of a
// rollback, including this one.
func (r *Rollout) Hearing(now time.Time) int {
	count := 1
	for name, other := range r.peers {
		if _, member := r.members[name]; member && now.Sub(other.at) < r.Limits.Within/2 {
			count++
		}
	}

	return count
}

// setServing replaces the serving hosts. One that was heard until now and serves no more has
// left by itself; a lost one may be on the other side of a partition and still counts.
func (r *Rollout) setServing(now time.Time, hosts []string) {
	for _, name := range r.serving {
		if other, heard := r.peers[name]; heard && now.Sub(other.at) < departureReportAge && !slices.Contains(hosts, name) {
			delete(r.members, name)
		}
	}
	r.serving = slices.Sorted(slices.Values(hosts))
	for _, name := range r.serving {
		r.members[name] = now
	}
	r.members[r.Host] = now
}

// retain keeps the serving hosts as members and drops those that were lost long ago.
func (r *Rollout) retain(now time.Time) {
	for _, name := range r.serving {
		r.members[name] = now
	}
	r.members[r.Host] = now
	for name, servedAt := range r.members {
		if now.Sub(servedAt) > lostRetention {
			delete(r.members, name)
		}
	}
}

// hearsMajority reports whether this host hears more than half of the hosts that served
// since the order began. Of two halves, the one with the first host by name counts.
func (r *Rollout) hearsMajority(now time.Time) bool {
	heard := r.Hearing(now)
	if 2*heard != len(r.members) {
		return 2*heard > len(r.members)
	}
	first := r.Host
	for name := range r.members {
		first = min(first, name)
	}
	other, known := r.peers[first]

	return first == r.Host || known && now.Sub(other.at) < r.Limits.Within/2
}

// anyPeerRamping reports whether a host has found the target good enough.
func (r *Rollout) anyPeerRamping() bool {
	for _, other := range r.peers {
		if other.ramping {
			return true
		}
	}

	return false
}

// allReport reports whether all serving hosts have reported at least a share just now, this
// one included.
func (r *Rollout) allReport(now time.Time, share int) bool {
	return toMilli(r.Share()) >= share && r.allPeers(now, func(other peer) bool { return other.share >= share })
}

// othersReport reports whether there are other serving hosts, and all of them have reported
// at least a share just now.
func (r *Rollout) othersReport(now time.Time, share int) bool {
	another := slices.ContainsFunc(r.serving, func(name string) bool { return name != r.Host })

	return another && r.allPeers(now, func(other peer) bool { return other.share >= share })
}

// allPeers reports whether the reports of all other serving hosts are fresh and hold.
func (r *Rollout) allPeers(now time.Time, holds func(peer) bool) bool {
	for _, name := range r.serving {
		if name == r.Host {
			continue
		}
		other, heard := r.peers[name]
		if !heard || now.Sub(other.at) > freshReport || !holds(other) {
			return false
		}
	}

	return true
}
