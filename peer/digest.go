package peer

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Digest returns the digest that this host sends to a peer. Its size does not
// grow with the number of hosts: records and heartbeats are sent in rotation,
// changed records first.
func (m *Membership) Digest() schema.Digest {
	overrides := m.Overrides
	if len(overrides) > maxDigestOverrides {
		overrides = overrides[:maxDigestOverrides]
	}

	hosts := m.nextRecords()

	return schema.Digest{
		Sender:               m.Self,
		Hosts:                hosts,
		Heartbeats:           m.nextHeartbeats(max(maxDigestHeartbeats-heartbeatsPerRecord*len(hosts), 0)),
		ViewHash:             m.Loans.View,
		ConfigurationVersion: m.Version,
		Overrides:            overrides,
	}
}

// Answer returns the digest for the response to an exchange. Only responses
// lend this host's share of the probe budget.
func (m *Membership) Answer(now time.Time) schema.Digest {
	digest := m.Digest()
	if !m.isolated(now) {
		wanted := 2 * m.Interval * time.Duration(len(m.records)+1)
		digest.LendsForMs = int(m.Loans.Lend(now, wanted).Milliseconds())
	}

	return digest
}

// nextRecords returns the records for the next digest: a changed record in
// every other digest, any record every unchangedRecordInterval digests, several
// records after a new peer was heard, or the successor's record for a replaced
// process that was just heard.
func (m *Membership) nextRecords() []schema.Host {
	limit := 0
	m.digestCount++
	switch {
	case m.replacedPeer != "":
		r := m.records[m.replacedPeer]
		m.replacedPeer = ""
		if r != nil {
			return []schema.Host{r.announced()}
		}
	case m.newPeerSeen:
		limit, m.newPeerSeen = maxNewPeerHosts, false
	case m.digestCount%unchangedRecordInterval == 0, m.digestCount%2 == 0 && m.changed():
		limit = maxDigestHosts
	}
	hosts := make([]schema.Host, 0, limit)
	for _, r := range firstRecords(m.records, limit, func(r *record) uint64 {
		return uint64(min(r.sendCount, changedRecordSends))<<sentBits + r.lastSent //nolint:gosec // never negative
	}) {
		m.sendSequence++
		r.sendCount++
		r.lastSent = m.sendSequence
		hosts = append(hosts, r.announced())
	}

	return hosts
}

// changed reports whether a changed record was sent fewer than
// changedRecordSends times.
func (m *Membership) changed() bool {
	for _, r := range m.records {
		if r.sendCount < changedRecordSends {
			return true
		}
	}

	return false
}

// nextHeartbeats returns at most limit heartbeats, the least recently sent
// first.
func (m *Membership) nextHeartbeats(limit int) []schema.Heartbeat {
	beats := []schema.Heartbeat{}
	for _, r := range firstRecords(m.records, limit, func(r *record) uint64 { return r.heartbeatLastSent }) {
		m.sendSequence++
		r.heartbeatLastSent = m.sendSequence
		if !r.dead {
			beats = append(beats, schema.Heartbeat{HostHash: hash(r.host), Counter: r.counter})
		}
	}

	return beats
}
