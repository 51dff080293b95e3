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

	return schema.Digest{
		Sender:               m.Self,
		Hosts:                m.turnRecords(),
		Heartbeats:           m.turnBeats(),
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

// turnRecords returns the records whose turn it is.
func (m *Membership) turnRecords() []schema.Host {
	bound := digestHosts
	if m.greet {
		bound, m.greet = greetingHosts, false
	}
	hosts := []schema.Host{}
	for _, r := range sortedRecords(m.records, func(r *record) (int, uint64) { return min(r.sends, urgentSends), r.sentAt }) {
		if len(hosts) >= bound {
			break
		}
		m.sent++
		r.sends++
		r.sentAt = m.sent
		hosts = append(hosts, r.announced())
	}

	return hosts
}

// turnBeats returns the heartbeats whose turn it is, of those that grew since
// they were last sent.
func (m *Membership) turnBeats() []schema.Heartbeat {
	beats := []schema.Heartbeat{}
	for _, r := range sortedRecords(m.records, func(r *record) (int, uint64) { return 0, r.beatSentAt }) {
		if len(beats) >= digestHeartbeats {
			break
		}
		if r.dead || r.counter == r.beatSent {
			continue
		}
		m.sent++
		r.beatSentAt, r.beatSent = m.sent, r.counter
		beats = append(beats, schema.Heartbeat{HostHash: hash(r.host), Counter: r.counter})
	}

	return beats
}
