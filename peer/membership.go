package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Membership is one host's view of all hosts. One duty owns it.
type Membership struct {
	// Self is the record that this host announces.
	Self schema.Host
	// Version is the configuration version in force.
	Version int
	// Overrides are the operators' overrides in force.
	Overrides []schema.Override
	// Isolated is true while this host must not place calls.
	Isolated bool
	// Loans tracks the shares of the probe budget that this host may use.
	Loans *Loans
	// Interval is the time between exchanges.
	Interval time.Duration

	records             map[string]*record
	recordsByHash       map[int]*record
	listed              map[string]schema.ListedHost
	leavingIncarnations map[string]string
	seeds               []schema.ListedHost
	live                []schema.Host
	leavingHosts        []schema.Host
	exchangeOrder       []string
	random              *rand.Rand
	sendSequence        uint64
	digestCount         uint64
	newPeerSeen         bool
	replacedPeer        string
	replaced            bool
	shares              int
	tickedAt            time.Time
	startedAt           time.Time
	recoveringSince     time.Time
	platformReadAt      time.Time
	peerAnsweredAt      time.Time
	newestVersion       int
	fetchBlockedUntil   time.Time
}

// NewMembership returns the membership of a host that knows no other host. The
// seed determines the order of exchanges.
func NewMembership(now time.Time, self schema.Host, interval time.Duration, seed uint64) *Membership {
	return &Membership{
		Self:                self,
		Overrides:           []schema.Override{},
		Loans:               NewLoans(now),
		Interval:            interval,
		records:             map[string]*record{},
		recordsByHash:       map[int]*record{},
		listed:              map[string]schema.ListedHost{},
		leavingIncarnations: map[string]string{},
		shares:              -1,                             // so that the first step reports the held shares
		random:              rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // the order of exchanges is no secret
		tickedAt:            now,
		startedAt:           now,
	}
}

// Step applies one event and returns the actions to carry out.
func (m *Membership) Step(now time.Time, event Event) []Action {
	if now.Sub(m.tickedAt) > FreezeThreshold {
		m.startRecovery(now)
	}
	var actions []Action
	switch event := event.(type) {
	case Ticked:
		actions = m.tick(now)
	case ListRead:
		m.platformReadAt = event.Asked
		m.adoptList(event.List)
	case SeedsRead:
		m.seeds = event.Hosts
	case DigestReceived:
		actions = m.adoptDigest(now, event)
	case ExchangeFailed:
		m.suspect(now, event.Address)
	case ConfigurationInForce:
		m.Version, m.Overrides, m.fetchBlockedUntil = event.Version, event.Overrides, time.Time{}
	case LeaveStarted:
		m.Self.State = schema.HostStateLeaving
	}
	actions = append(actions, m.updateLive(now)...)

	return append(actions, m.checkInvariants(now)...)
}

// tick increments the heartbeat and starts the next exchange.
func (m *Membership) tick(now time.Time) []Action {
	m.tickedAt = now
	m.Self.Heartbeat++
	m.forget(now)
	actions := m.exchange(now)
	if !m.isolated(now) {
		actions = append(actions, LivenessConfirmed{})
	}

	return actions
}

// adoptDigest applies another host's digest. A digest from a process that was
// replaced by a later one is ignored.
func (m *Membership) adoptDigest(now time.Time, event DigestReceived) []Action {
	digest := event.Digest
	known := m.incarnation(digest.Sender.Name)
	if known > digest.Sender.Incarnation {
		m.replacedPeer = digest.Sender.Name

		return nil
	}
	m.newPeerSeen = m.newPeerSeen || known != digest.Sender.Incarnation
	m.newestVersion = max(m.newestVersion, digest.ConfigurationVersion)
	m.adoptRecord(now, digest.Sender)
	for _, host := range digest.Hosts {
		m.adoptRecord(now, host)
	}
	m.adoptHeartbeats(now, digest.Heartbeats)
	if !event.Asked.IsZero() {
		m.peerAnsweredAt = event.Asked
		lent := time.Duration(digest.LendsForMs) * time.Millisecond
		m.Loans.Borrow(digest.Sender.Name, digest.ViewHash, event.Asked, lent)
	}
	actions := m.fetch(now, digest)
	if len(digest.Overrides) > 0 && !slices.Equal(digest.Overrides, m.Overrides) {
		actions = append(actions, OverridesReceived{Overrides: digest.Overrides})
	}

	return actions
}

// adoptRecord merges a host record into the membership. A record of this host
// with a later incarnation means that this process was replaced.
func (m *Membership) adoptRecord(now time.Time, host schema.Host) {
	if host.Name == m.Self.Name {
		m.replaced = m.replaced || host.Incarnation > m.Self.Incarnation

		return
	}
	known, ok := m.records[host.Name]
	if ok {
		known.adopt(now, host)
	} else {
		known = newRecord(now, host)
		m.records[host.Name] = known
	}
	m.recordsByHash[hash(known.host)] = known
}

// adoptHeartbeats applies the heartbeats of known incarnations and ignores the
// others.
func (m *Membership) adoptHeartbeats(now time.Time, beats []schema.Heartbeat) {
	for _, beat := range beats {
		if r, ok := m.recordsByHash[beat.HostHash]; ok && hash(r.host) == beat.HostHash {
			r.adoptHeartbeat(now, beat.Counter)
		}
	}
}

// suspect records that a host did not answer an exchange. The host is dead if
// its first failure was at least TakeoverAfter ago and no heartbeat arrived
// since.
func (m *Membership) suspect(now time.Time, address string) {
	for _, r := range m.records {
		switch {
		case r.host.PeerAddress != address || r.dead:
		case r.failedAt.IsZero():
			r.failedAt = now
		case now.Sub(r.failedAt) >= TakeoverAfter:
			r.dead, r.sendCount = true, 0
		}
	}
}

// dueSuspect returns the address of a suspected host that is due for a retry,
// or an empty string.
func (m *Membership) dueSuspect(now time.Time) string {
	cutoff := now.Add(-TakeoverAfter)
	address := ""
	for _, r := range m.records {
		due := !r.dead && !r.failedAt.IsZero() && !r.failedAt.After(cutoff) && now.Sub(r.retriedAt) >= TakeoverAfter
		if due && (address == "" || r.host.PeerAddress < address) {
			address = r.host.PeerAddress
		}
	}

	return address
}

// forget removes the hosts that were silent for forgetAfter.
func (m *Membership) forget(now time.Time) {
	for name, r := range m.records {
		if now.Sub(r.lastSeen) >= forgetAfter {
			delete(m.records, name)
		}
	}
	for key, r := range m.recordsByHash {
		if m.records[r.host.Name] != r || hash(r.host) != key {
			delete(m.recordsByHash, key)
		}
	}
}

// fetch requests the configuration of a digest's sender if it is newer. Only
// one fetch runs at a time.
func (m *Membership) fetch(now time.Time, digest schema.Digest) []Action {
	if digest.ConfigurationVersion <= m.Version || now.Before(m.fetchBlockedUntil) {
		return nil
	}
	m.fetchBlockedUntil = now.Add(fetchTimeout)

	return []Action{FetchConfiguration{Address: digest.Sender.PeerAddress, Above: m.Version}}
}

// retry records that a suspected host is retried and returns the digest for it.
func (m *Membership) retry(now time.Time, address string) schema.Digest {
	for _, r := range m.records {
		if r.host.PeerAddress == address {
			r.retriedAt = now
		}
	}

	return m.Digest()
}

// exchange starts an exchange with a suspected host that is due, or with the
// next host of a shuffled round.
func (m *Membership) exchange(now time.Time) []Action {
	if address := m.dueSuspect(now); address != "" {
		return []Action{Exchange{Address: address, Digest: m.retry(now, address), Asked: now}}
	}
	if len(m.exchangeOrder) == 0 {
		m.exchangeOrder = m.addresses()
	}
	if len(m.exchangeOrder) == 0 {
		return nil
	}
	next := m.exchangeOrder[0]
	m.exchangeOrder = m.exchangeOrder[1:]
	digest := m.Digest()

	return []Action{Exchange{Address: next, Digest: digest, Asked: now}}
}

// addresses returns the peer addresses of the other hosts in random order.
func (m *Membership) addresses() []string {
	var list []string
	for _, host := range m.listed {
		list = append(list, host.PeerAddress)
	}
	for _, host := range m.seeds {
		list = append(list, host.PeerAddress)
	}
	for _, r := range m.records {
		list = append(list, r.host.PeerAddress)
	}
	list = slices.DeleteFunc(list, func(address string) bool { return address == m.Self.PeerAddress })
	slices.Sort(list)
	list = slices.Compact(list)
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list
}

// checkInvariants returns a Violation for each broken invariant.
func (m *Membership) checkInvariants(now time.Time) []Action {
	var violations []Action
	if m.Isolated && slices.ContainsFunc(m.live, func(h schema.Host) bool { return h.Name == m.Self.Name }) {
		violations = append(violations, Violation{Invariant: "isolated_host_is_not_live", Detail: m.Self.Name})
	}
	if maxShares := len(m.records) + 1; m.Loans.Held(now) > maxShares {
		violations = append(violations, Violation{
			Invariant: "shares_at_most_known_hosts", Detail: fmt.Sprintf("%d shares, %d hosts", m.Loans.Held(now), maxShares),
		})
	}

	return violations
}

// Shares returns the number of probe budget shares held at the last step.
func (m *Membership) Shares() int {
	return max(m.shares, 0)
}
