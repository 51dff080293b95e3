package peer

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Digest returns what this host tells others. Its size is bounded whatever the
// number of hosts: records and heartbeats take turns, changed records first.
func (m *Membership) Digest() schema.Digest {
	overrides := m.Overrides
	if len(overrides) > digestOverrides {
		overrides = overrides[:digestOverrides]
	}

	hosts := m.turnRecords()

	return schema.Digest{
		Sender:               m.Self,
		Hosts:                hosts,
		Heartbeats:           m.turnBeats(max(digestHeartbeats-recordHeartbeats*len(hosts), 0)),
		ViewHash:             m.Loans.View,
		ConfigurationVersion: m.Version,
		Overrides:            overrides,
	}
}

// Answer returns the digest that answers an exchange. Only an answer lends this
// host's share of the probe budget.
func (m *Membership) Answer(now time.Time) schema.Digest {
	digest := m.Digest()
	if !m.isolated(now) {
		wanted := 2 * m.Interval * time.Duration(len(m.records)+1)
		digest.LendsForMs = int(m.Loans.Lend(now, wanted).Milliseconds())
	}

	return digest
}

// turnRecords returns the records whose turn it is: a changed one with every
// other digest, any one now and then, several to greet a host that was not
// known, and its successor's to a process that was replaced.
func (m *Membership) turnRecords() []schema.Host {
	bound := 0
	m.digests++
	switch {
	case m.outdated != "":
		r := m.records[m.outdated]
		m.outdated = ""
		if r != nil {
			return []schema.Host{r.announced()}
		}
	case m.greet:
		bound, m.greet = greetingHosts, false
	case m.digests%digestTurn == 0, m.digests%2 == 0 && m.changed():
		bound = digestHosts
	}
	hosts := make([]schema.Host, 0, bound)
	for _, r := range firstRecords(m.records, bound, func(r *record) uint64 {
		return uint64(min(r.sends, urgentSends))<<sentBits + r.sentAt //nolint:gosec // never negative
	}) {
		m.sent++
		r.sends++
		r.sentAt = m.sent
		hosts = append(hosts, r.announced())
	}

	return hosts
}

// changed reports whether a record changed and was not sent often since.
func (m *Membership) changed() bool {
	for _, r := range m.records {
		if r.sends < urgentSends {
			return true
		}
	}

	return false
}

// turnBeats returns the heartbeats whose turn it is.
func (m *Membership) turnBeats(bound int) []schema.Heartbeat {
	beats := []schema.Heartbeat{}
	for _, r := range firstRecords(m.records, bound, func(r *record) uint64 { return r.beatSentAt }) {
		m.sent++
		r.beatSentAt = m.sent
		if !r.dead {
			beats = append(beats, schema.Heartbeat{HostHash: hash(r.host), Counter: r.counter})
		}
	}

	return beats
}
