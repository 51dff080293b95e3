package peer

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// startRecovery isolates this host after a freeze until it has heard from the
// platform or a peer again. It resets the time at which each peer was last
// heard, because the gap was this host's, not the peers'.
func (m *Membership) startRecovery(now time.Time) {
	m.tickedAt, m.recoveringSince = now, now
	for _, r := range m.records {
		r.lastSeen = now
	}
}

// isolated reports whether this host has heard from neither the platform nor
// half of its peers within the timeout, has not caught up since a freeze, or
// was replaced by a later process of the same name.
func (m *Membership) isolated(now time.Time) bool {
	if m.replaced {
		return true
	}
	if !m.recoveringSince.IsZero() && !m.caughtUp() {
		return true
	}
	m.recoveringSince = time.Time{}
	timeout := max(IsolatedAfter, m.takeoverTimeout())
	if now.Sub(m.platformReadAt) < timeout || now.Sub(m.startedAt) < timeout {
		return false
	}
	seen := 0
	for _, r := range m.records {
		if now.Sub(r.lastSeen) < timeout {
			seen++
		}
	}

	return 2*seen < m.countKnown()
}

// caughtUp reports whether the platform or a peer answered a request sent since
// the freeze, and no peer has announced a newer configuration.
func (m *Membership) caughtUp() bool {
	return (m.platformReadAt.After(m.recoveringSince) || m.peerAnsweredAt.After(m.recoveringSince)) && m.Version >= m.newestVersion
}

// countKnown returns the number of other hosts that are known from records, the
// platform's list or the seeds and are not leaving.
func (m *Membership) countKnown() int {
	names := map[string]struct{}{}
	for name, r := range m.records {
		if r.host.State != schema.HostStateLeaving {
			names[name] = struct{}{}
		}
	}
	for _, host := range m.listed {
		names[host.Name] = struct{}{}
	}
	for _, host := range m.seeds {
		names[host.Name] = struct{}{}
	}
	for name := range m.leavingIncarnations {
		delete(names, name)
	}
	delete(names, m.Self.Name)

	return len(names)
}
