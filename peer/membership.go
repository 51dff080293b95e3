package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// record is what is known about another host.
type record struct {
	host    schema.Host
	heardAt time.Time
}

// Membership is one host's view of all hosts.
type Membership struct {
	// Self is what this host announces.
	Self schema.Host
	// Version is the configuration version in force.
	Version int

	records map[string]*record
	listed  map[string]schema.ListedHost
	live    []schema.Host
	order   []string
	random  *rand.Rand
}

// NewMembership returns the view of a host that knows no other host.
func NewMembership(self schema.Host, seed uint64) *Membership {
	return &Membership{
		Self:    self,
		records: map[string]*record{},
		listed:  map[string]schema.ListedHost{},
		random:  rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // the order of exchanges is no secret
	}
}

// Step reacts to one event.
func (m *Membership) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case Ticked:
		m.Self.Heartbeat++
		actions = m.exchange()
	case ListRead:
		m.listed = map[string]schema.ListedHost{}
		for _, host := range event.List.Hosts {
			m.listed[host.Name] = host
		}
	case DigestHeard:
		m.hear(now, event.Digest.Sender)
		for _, host := range event.Digest.Hosts {
			m.hear(now, host)
		}
		actions = m.fetch(event.Digest)
	case ConfigurationInForce:
		m.Version = event.Version
	case StateChanged:
		m.Self.State = event.State
	}

	return append(actions, m.relive(now)...)
}

// Digest returns what this host tells others.
func (m *Membership) Digest() schema.Digest {
	hosts := []schema.Host{}
	for _, record := range m.records {
		if len(hosts) < digestHosts {
			hosts = append(hosts, record.host)
		}
	}

	return schema.Digest{Sender: m.Self, Hosts: hosts, ConfigurationVersion: m.Version, Overrides: []schema.Override{}}
}

// hear adopts a record that is newer than the known one.
func (m *Membership) hear(now time.Time, host schema.Host) {
	if host.Name == m.Self.Name {
		return
	}
	known, ok := m.records[host.Name]
	if !ok {
		m.records[host.Name] = &record{host: host, heardAt: now}

		return
	}
	newer := cmp.Or(cmp.Compare(host.Incarnation, known.host.Incarnation), cmp.Compare(host.Heartbeat, known.host.Heartbeat))
	if newer > 0 {
		known.host, known.heardAt = host, now
	}
}

// fetch asks the sender of a digest for its configuration if that is newer.
func (m *Membership) fetch(digest schema.Digest) []Action {
	if digest.ConfigurationVersion <= m.Version {
		return nil
	}

	return []Action{FetchConfiguration{Address: digest.Sender.PeerAddress, Above: m.Version}}
}

// exchange picks the next host, in rounds over a shuffled list.
func (m *Membership) exchange() []Action {
	if len(m.order) == 0 {
		m.order = m.addresses()
	}
	if len(m.order) == 0 {
		return nil
	}
	next := m.order[0]
	m.order = m.order[1:]

	return []Action{Exchange{Address: next, Digest: m.Digest()}}
}

// addresses returns the other hosts' addresses for peers in a random order.
func (m *Membership) addresses() []string {
	var list []string
	for _, host := range m.listed {
		if host.Name != m.Self.Name {
			list = append(list, host.PeerAddress)
		}
	}
	for _, record := range m.records {
		list = append(list, record.host.PeerAddress)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })

	return list
}

// relive reports the live hosts if they are others than before.
func (m *Membership) relive(now time.Time) []Action {
	var live []schema.Host
	if m.Self.State == schema.HostStateLive {
		live = append(live, m.Self)
	}
	for _, record := range m.records {
		if record.host.State == schema.HostStateLive && now.Sub(record.heardAt) < suspectAfter {
			live = append(live, record.host)
		}
	}
	slices.SortFunc(live, func(a, b schema.Host) int { return cmp.Compare(a.Name, b.Name) })
	same := func(a, b schema.Host) bool { return a.Name == b.Name && a.Incarnation == b.Incarnation }
	if slices.EqualFunc(live, m.live, same) {
		return nil
	}
	m.live = live

	return []Action{LiveChanged{Hosts: live}}
}

// Live returns the live hosts by name.
func (m *Membership) Live() []schema.Host {
	return m.live
}
