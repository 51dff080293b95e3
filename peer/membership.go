package peer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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

	records   map[string]*record
	hashes    map[int]*record
	listed    map[string]schema.ListedHost
	leaving   map[string]string
	seeds     []schema.ListedHost
	live      []schema.Host
	draining  []schema.Host
	order     []string
	random    *rand.Rand
	sent      uint64
	digests   uint64
	greet     bool
	shares    int
	ticked    time.Time
	startedAt time.Time
	thawedAt  time.Time
	platform  time.Time
	answered  time.Time
	newest    int
	fetching  time.Time
}

// NewMembership returns the view of a host that knows no other host.
func NewMembership(now time.Time, self schema.Host, interval time.Duration, seed uint64) *Membership {
	return &Membership{
		Self:      self,
		Overrides: []schema.Override{},
		Loans:     NewLoans(now),
		Interval:  interval,
		records:   map[string]*record{},
		hashes:    map[int]*record{},
		listed:    map[string]schema.ListedHost{},
		leaving:   map[string]string{},
		shares:    -1,                             // so that the first step tells how many are held
		random:    rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // the order of exchanges is no secret
		ticked:    now,
		startedAt: now,
	}
}

// Step reacts to one event.
func (m *Membership) Step(now time.Time, event Event) []Action {
	if now.Sub(m.ticked) > FrozenAfter {
		m.thaw(now)
	}
	var actions []Action
	switch event := event.(type) {
	case Ticked:
		actions = m.tick(now)
	case ListRead:
		m.platform = event.Asked
		m.list(event.List)
	case SeedsRead:
		m.seeds = event.Hosts
	case DigestHeard:
		actions = m.digest(now, event)
	case ExchangeFailed:
		m.suspect(now, event.Address)
	case ConfigurationInForce:
		m.Version, m.Overrides, m.fetching = event.Version, event.Overrides, time.Time{}
	case LeaveStarted:
		m.Self.State = schema.HostStateLeaving
	}
	actions = append(actions, m.relive(now)...)

	return append(actions, m.check(now)...)
}

// tick announces a heartbeat and starts the next exchange.
func (m *Membership) tick(now time.Time) []Action {
	m.ticked = now
	m.Self.Heartbeat++
	m.forget(now)
	actions := m.exchange(now)
	if !m.isolated(now) {
		actions = append(actions, Confirmed{})
	}

	return actions
}

// thaw isolates this host until it has heard the platform or a peer again. The
// silence of others was its own.
func (m *Membership) thaw(now time.Time) {
	m.ticked, m.thawedAt = now, now
	for _, r := range m.records {
		r.heardAt = now
	}
}

// isolated reports whether this host has heard neither the platform nor half of
// its peers for too long, or was frozen and has not caught up since.
func (m *Membership) isolated(now time.Time) bool {
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

// caughtUp reports whether the platform or a peer answered something asked
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

// list adopts the platform's list. A host that it newly calls leaving is
// treated as leaving until another incarnation of it is heard.
func (m *Membership) list(list schema.HostList) {
	m.listed = map[string]schema.ListedHost{}
	leaving := map[string]string{}
	for _, host := range list.Hosts {
		m.listed[host.Name] = host
		if host.State != schema.HostStateLeaving {
			continue
		}
		incarnation, known := m.leaving[host.Name]
		if !known {
			incarnation = m.incarnation(host.Name)
		}
		leaving[host.Name] = incarnation
	}
	m.leaving = leaving
}

// incarnation returns the known incarnation of a host, or nothing.
func (m *Membership) incarnation(name string) string {
	if name == m.Self.Name {
		return m.Self.Incarnation
	}
	if r, ok := m.records[name]; ok {
		return r.host.Incarnation
	}

	return ""
}

// listedLeaving reports whether the platform's list alone calls the host's
// incarnation leaving.
func (m *Membership) listedLeaving(host schema.Host) bool {
	incarnation, ok := m.leaving[host.Name]

	return ok && (incarnation == "" || incarnation == host.Incarnation)
}

// digest adopts what another host says.
func (m *Membership) digest(now time.Time, event DigestHeard) []Action {
	digest := event.Digest
	if digest.Sender.Name == m.Self.Name {
		return nil
	}
	known := m.incarnation(digest.Sender.Name)
	m.greet = m.greet || known != digest.Sender.Incarnation
	m.newest = max(m.newest, digest.ConfigurationVersion)
	m.hear(now, digest.Sender)
	for _, host := range digest.Hosts {
		m.hear(now, host)
	}
	m.hearBeats(now, digest.Heartbeats)
	if !event.Asked.IsZero() {
		m.answered = event.Asked
		lent := time.Duration(digest.LendsForMs) * time.Millisecond
		m.Loans.Borrow(digest.Sender.Name, digest.ViewHash, event.Asked, lent)
	}
	actions := m.fetch(now, digest)
	if len(digest.Overrides) > 0 && !slices.Equal(digest.Overrides, m.Overrides) {
		actions = append(actions, OverridesHeard{Overrides: digest.Overrides})
	}

	return actions
}

// hear adopts a record.
func (m *Membership) hear(now time.Time, host schema.Host) {
	if host.Name == m.Self.Name {
		return
	}
	known, ok := m.records[host.Name]
	if ok {
		known.hear(now, host)
	} else {
		known = newRecord(now, host)
		m.records[host.Name] = known
	}
	m.hashes[hash(known.host)] = known
}

// hearBeats adopts heartbeats of known incarnations.
func (m *Membership) hearBeats(now time.Time, beats []schema.Heartbeat) {
	for _, beat := range beats {
		if r, ok := m.hashes[beat.HostHash]; ok && hash(r.host) == beat.HostHash {
			r.beat(now, beat.Counter)
		}
	}
}

// suspect marks a host dead that did not answer and was not heard of either.
func (m *Membership) suspect(now time.Time, address string) {
	for _, r := range m.records {
		if r.host.PeerAddress == address && !r.dead && now.Sub(r.heardAt) >= TakeoverAfter {
			r.dead, r.sends = true, 0
		}
	}
}

// forget drops hosts that were silent for long.
func (m *Membership) forget(now time.Time) {
	for name, r := range m.records {
		if now.Sub(r.heardAt) >= forgetAfter {
			delete(m.records, name)
		}
	}
	for key, r := range m.hashes {
		if m.records[r.host.Name] != r || hash(r.host) != key {
			delete(m.hashes, key)
		}
	}
}

// fetch asks the sender of a digest for its configuration if that is newer, one
// fetch at a time.
func (m *Membership) fetch(now time.Time, digest schema.Digest) []Action {
	if digest.ConfigurationVersion <= m.Version || now.Before(m.fetching) {
		return nil
	}
	m.fetching = now.Add(fetchTimeout)

	return []Action{FetchConfiguration{Address: digest.Sender.PeerAddress, Above: m.Version}}
}

// exchange picks the next host, in rounds over a shuffled list.
func (m *Membership) exchange(now time.Time) []Action {
	if len(m.order) == 0 {
		m.order = m.addresses()
	}
	if len(m.order) == 0 {
		return nil
	}
	next := m.order[0]
	m.order = m.order[1:]
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

// takeover returns the silence after which a host's cells are taken over.
func (m *Membership) takeover() time.Duration {
	return max(TakeoverAfter, time.Duration(len(m.records))*takeoverPerHost)
}

// relive settles this host's state and reports the live hosts, the isolation
// and the shares if they are others than before.
func (m *Membership) relive(now time.Time) []Action {
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
	// Shares of the view before are given up before cells are taken over.
	if shares := m.Loans.Held(now); shares != m.shares {
		m.shares = shares
		actions = append(actions, SharesChanged{Held: shares})
	}
	leaving := m.findLeaving(now)
	if changed || !slices.EqualFunc(leaving, m.draining, sameIncarnation) {
		m.draining = leaving
		actions = append(actions, LiveChanged{Hosts: live, Leaving: leaving})
	}

	return actions
}

// findLive returns the live hosts by name.
func (m *Membership) findLive(now time.Time) []schema.Host {
	var live []schema.Host
	if m.Self.State == schema.HostStateLive && !m.listedLeaving(m.Self) {
		live = append(live, m.Self)
	}
	bound := m.takeover()
	for _, r := range m.records {
		if r.alive(now, bound) && !m.listedLeaving(r.host) {
			live = append(live, r.host)
		}
	}
	slices.SortFunc(live, func(a, b schema.Host) int { return cmp.Compare(a.Name, b.Name) })

	return live
}

// findLeaving returns the hosts that leave and still answer, by name.
func (m *Membership) findLeaving(now time.Time) []schema.Host {
	var leaving []schema.Host
	for _, r := range m.records {
		heard := !r.dead && now.Sub(r.heardAt) < m.takeover()
		if heard && (r.host.State == schema.HostStateLeaving || m.listedLeaving(r.host)) {
			leaving = append(leaving, r.host)
		}
	}
	slices.SortFunc(leaving, func(a, b schema.Host) int { return cmp.Compare(a.Name, b.Name) })

	return leaving
}

// sameIncarnation reports whether two records are of the same process.
func sameIncarnation(a, b schema.Host) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}

// viewOf identifies the live hosts, which alone decide who owns a cell.
func viewOf(live []schema.Host) int {
	digest := xxhash.New()
	for _, host := range live {
		_, _ = digest.WriteString(host.Name + "\x00" + host.Incarnation + "\x00") // it never fails
	}

	return int(digest.Sum64() & math.MaxUint32)
}

// check asserts the invariants.
func (m *Membership) check(now time.Time) []Action {
	var broken []Action
	if m.Isolated && slices.ContainsFunc(m.live, func(h schema.Host) bool { return h.Name == m.Self.Name }) {
		broken = append(broken, Violation{Invariant: "isolated_host_is_not_live", Detail: m.Self.Name})
	}
	if most := len(m.records) + 1; m.Loans.Held(now) > most {
		broken = append(broken, Violation{
			Invariant: "shares_at_most_known_hosts", Detail: fmt.Sprintf("%d shares, %d hosts", m.Loans.Held(now), most),
		})
	}

	return broken
}

// Live returns the live hosts by name.
func (m *Membership) Live() []schema.Host {
	return m.live
}

// Shares returns the number of shares of the probe budget that are held.
func (m *Membership) Shares() int {
	return max(m.shares, 0)
}
