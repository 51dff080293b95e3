package peer

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// silence of others was its own.
func (m *Membership) thaw(now time.Time) {
	m.ticked, m.thawedAt = now, now
	for _, r := range m.records {
		r.heardAt = now
	}
}

// replaced by a later process of the same name.
func (m *Membership) isolated(now time.Time) bool {
	if m.replaced {
		return true
	}
	if !m.thawedAt.IsZero() && !m.caughtUp() {
		return true
	}
	m.thawedAt = time.Time{}
	bound := max(IsolatedAfter, m.takeover())
	if now.Sub(m.platform) < bound || now.Sub(m.startedAt) < bound {
		return false
	}
	heard := 0
	for _, r := range m.records {
		if now.Sub(r.heardAt) < bound {
			heard++
		}
	}

	return 2*heard < m.known()
}

// since the freeze, and no peer has a newer configuration.
func (m *Membership) caughtUp() bool {
	return (m.platform.After(m.thawedAt) || m.answered.After(m.thawedAt)) && m.Version >= m.newest
}

// known returns the number of other hosts that this host knows of.
func (m *Membership) known() int {
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
	for name := range m.leaving {
		delete(names, name)
	}
	delete(names, m.Self.Name)

	return len(names)
}
