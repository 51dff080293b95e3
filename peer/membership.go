package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Membership is one host's view of all hosts.
type Membership struct {
	// Self is what this host announces.
	Self schema.Host
	// Version is the configuration version in force.
	Version int
	// Overrides are those in force.
	Overrides []schema.Override
	// Isolated says that this host must not place calls.
	Isolated bool
	// Loans are this host's shares of the probe budget.
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
	newPeerHeard        bool
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

// NewMembership returns the view of a host that knows no other host.
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
		shares:              -1,                             // so that the first step tells how many are held
		random:              rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // the order of exchanges is no secret
		tickedAt:            now,
		startedAt:           now,
	}
}

// Step reacts to one event.
func (m *Membership) Step(now time.Time, event Event) []Action {
	if now.Sub(m.tickedAt) > FrozenAfter {
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
	case DigestHeard:
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

// tick announces a heartbeat and starts the next exchange.
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

// thaw isolates this host until it has heard the platform or a peer again. The
// isolated reports whether this host has heard neither the platform nor half of
// its peers for too long, was frozen and has not caught up since, or was
// caughtUp reports whether the platform or a peer answered something asked
// list adopts the platform's list. A host that it newly calls leaving is
// listedLeaving reports whether the platform's list alone calls the host's
// digest adopts what another host says.
func (m *Membership) adoptDigest(now time.Time, event DigestHeard) []Action {
	digest := event.Digest
	known := m.incarnation(digest.Sender.Name)
	if known > digest.Sender.Incarnation {
		m.replacedPeer = digest.Sender.Name

		return nil
	}
	m.newPeerHeard = m.newPeerHeard || known != digest.Sender.Incarnation
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
		actions = append(actions, OverridesHeard{Overrides: digest.Overrides})
	}

	return actions
}

// adoptRecord adopts a record.
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

// adoptHeartbeats adopts heartbeats of known incarnations.
func (m *Membership) adoptHeartbeats(now time.Time, beats []schema.Heartbeat) {
	for _, beat := range beats {
		if r, ok := m.recordsByHash[beat.HostHash]; ok && hash(r.host) == beat.HostHash {
			r.adoptHeartbeat(now, beat.Counter)
		}
	}
}

// suspect notes that a host did not answer. It is dead if it did not answer
// TakeoverAfter before either and was not heard of since.
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

// dueSuspect returns the address of a host that is asked again because it did
// not answer, or nothing.
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

// forget drops hosts that were silent for long.
func (m *Membership) forget(now time.Time) {
	for name, r := range m.records {
		if now.Sub(r.heardAt) >= forgetAfter {
			delete(m.records, name)
		}
	}
	for key, r := range m.recordsByHash {
		if m.records[r.host.Name] != r || hash(r.host) != key {
			delete(m.recordsByHash, key)
		}
	}
}

// fetch asks the sender of a digest for its configuration if that is newer, one
// fetch at a time.
func (m *Membership) fetch(now time.Time, digest schema.Digest) []Action {
	if digest.ConfigurationVersion <= m.Version || now.Before(m.fetchBlockedUntil) {
		return nil
	}
	m.fetchBlockedUntil = now.Add(fetchTimeout)

	return []Action{FetchConfiguration{Address: digest.Sender.PeerAddress, Above: m.Version}}
}

// retry notes that a host is asked again and returns the digest for it.
func (m *Membership) retry(now time.Time, address string) schema.Digest {
	for _, r := range m.records {
		if r.host.PeerAddress == address {
			r.retriedAt = now
		}
	}

	return m.Digest()
}

// exchange picks the next host, in rounds over a shuffled list.
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

// addresses returns the other hosts' addresses for peers in a random order.
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

// relive settles this host's state and reports the live hosts, the isolation
// check asserts the invariants.
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

// Shares returns the number of shares of the probe budget that are held.
func (m *Membership) Shares() int {
	return max(m.shares, 0)
}
