package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// adoptList adopts the platform's list. A host that the list newly marks as
// leaving is treated as leaving until another incarnation of it is heard.
func (m *Membership) adoptList(list schema.HostList) {
	m.listed = map[string]schema.ListedHost{}
	leaving := map[string]string{}
	for _, host := range list.Hosts {
		m.listed[host.Name] = host
		if host.State != schema.HostStateLeaving {
			continue
		}
		incarnation, known := m.leavingIncarnations[host.Name]
		if !known {
			incarnation = m.incarnation(host.Name)
		}
		leaving[host.Name] = incarnation
	}
	m.leavingIncarnations = leaving
}

// incarnation returns the known incarnation of a host, or an empty string.
func (m *Membership) incarnation(name string) string {
	if name == m.Self.Name {
		return m.Self.Incarnation
	}
	if r, ok := m.records[name]; ok {
		return r.host.Incarnation
	}

	return ""
}

// listedLeaving reports whether the platform's list marks this incarnation of
// the host as leaving, whatever the host itself announces.
func (m *Membership) listedLeaving(host schema.Host) bool {
	incarnation, ok := m.leavingIncarnations[host.Name]

	return ok && (incarnation == "" || incarnation == host.Incarnation)
}

// takeoverTimeout returns the time without a new heartbeat after which a host's
// cells are taken over.
func (m *Membership) takeoverTimeout() time.Duration {
	return max(TakeoverAfter, time.Duration(len(m.records))*takeoverPerHost)
}

// updateLive recomputes this host's state, the live and leaving hosts and the
// held shares, and returns an action for each that changed.
func (m *Membership) updateLive(now time.Time) []Action {
	var actions []Action
	if isolated := m.isolated(now); isolated != m.Isolated {
		m.Isolated = isolated
		actions = append(actions, IsolationChanged{Isolated: isolated})
	}
	if m.Self.State != schema.HostStateLeaving {
		m.Self.State = schema.HostStateJoining
		if m.Version > 0 && !m.Isolated {
			m.Self.State = schema.HostStateLive
		}
	}
	live := m.findLive(now)
	changed := !slices.EqualFunc(live, m.live, sameIncarnation)
	if changed {
		m.live = live
		m.Loans.ChangeView(now, viewOf(live))
	}
	// Shares that were borrowed in the previous view must be given up before
	// this host takes over cells, so SharesChanged precedes LiveChanged.
	if shares := m.Loans.Held(now); shares != m.shares {
		m.shares = shares
		actions = append(actions, SharesChanged{Held: shares})
	}
	leaving := m.findLeaving(now)
	if changed || !slices.EqualFunc(leaving, m.leavingHosts, sameIncarnation) {
		m.leavingHosts = leaving
		actions = append(actions, LiveChanged{Hosts: live, Leaving: leaving})
	}

	return actions
}

// findLive returns the live hosts sorted by name.
func (m *Membership) findLive(now time.Time) []schema.Host {
	var live []schema.Host
	if m.Self.State == schema.HostStateLive && !m.listedLeaving(m.Self) {
		live = append(live, m.Self)
	}
	timeout := m.takeoverTimeout()
	for _, r := range m.records {
		if r.alive(now, timeout) && !m.listedLeaving(r.host) {
			live = append(live, r.host)
		}
	}
	slices.SortFunc(live, func(a, b schema.Host) int { return cmp.Compare(a.Name, b.Name) })

	return live
}

// findLeaving returns the hosts that are leaving and still send heartbeats,
// sorted by name.
func (m *Membership) findLeaving(now time.Time) []schema.Host {
	var leaving []schema.Host
	for _, r := range m.records {
		heard := !r.dead && now.Sub(r.lastSeen) < m.takeoverTimeout()
		if heard && (r.host.State == schema.HostStateLeaving || m.listedLeaving(r.host)) {
			leaving = append(leaving, r.host)
		}
	}
	slices.SortFunc(leaving, func(a, b schema.Host) int { return cmp.Compare(a.Name, b.Name) })

	return leaving
}

// sameIncarnation reports whether two records describe the same process.
func sameIncarnation(a, b schema.Host) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}

// viewOf returns a 32-bit hash of the live hosts, which alone determine the
// owner of each cell.
func viewOf(live []schema.Host) int {
	digest := xxhash.New()
	for _, host := range live {
		_, _ = digest.WriteString(host.Name + "\x00" + host.Incarnation + "\x00") // never fails
	}

	return int(digest.Sum64() & math.MaxUint32)
}

// Live returns the live hosts sorted by name.
func (m *Membership) Live() []schema.Host {
	return m.live
}
