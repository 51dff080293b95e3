package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/standin"
	"github.com/baobabdrum/baobabdrum/table"
)

const (
	// stepTime is the simulated time between steps.
	stepTime = 25 * time.Millisecond
	// digestInterval is the time between a host's digest exchanges.
	digestInterval = 250 * time.Millisecond
	// replyTimeout is how long a host waits for a peer's reply.
	replyTimeout = 300 * time.Millisecond
	// platformInterval is the time between a host's reads of the platform.
	platformInterval = 500 * time.Millisecond
)

// networkFaults describes the loss, duplication and delay of messages, and
// whether the platform is unreachable.
type networkFaults struct {
	lossPercent, duplicatePercent int
	delay                         time.Duration
	outage                        bool
}

// node is one host: its membership and its configuration state. Its clock runs
// at rate times the speed of simulated time.
type node struct {
	name               string
	membership         *peer.Membership
	configurationState *operator.ConfigurationState
	rate               float64
	frozen             time.Time
	tickAt             time.Time
	readAt             time.Time
	version            int
	sentBytes          int
}

// delivery is a message in transit.
type delivery struct {
	at     time.Time
	to     int
	handle func(n *node)
}

// simulation runs several hosts over a network that delays, loses, duplicates
// and reorders messages.
type simulation struct {
	network     networkFaults
	now         time.Time
	start       time.Time
	nodes       []*node
	undelivered []delivery
	table       *standin.Table
	random      *rand.Rand
	violations  []string
	idCount     uint64
}

// newSimulation returns a simulation of hosts that discover each other through
// the platform's list.
func newSimulation(count int, seed uint64) *simulation {
	s := &simulation{
		now:    time.UnixMilli(1_800_000_000_000),
		table:  standin.NewTable(0),
		random: rand.New(rand.NewPCG(seed, 0)), //nolint:gosec // a test's seed
	}
	s.start = s.now
	list := schema.HostList{}
	for i := range count {
		s.nodes = append(s.nodes, s.newNode(i))
		list.Hosts = append(list.Hosts, schema.ListedHost{
			Name: s.nodes[i].name, PeerAddress: s.nodes[i].name, State: schema.HostStateLive,
		})
	}
	s.table.SetHosts(s.now, list)
	s.change(operator.ReplaceSheet{Configuration: schema.Configuration{Day: "2026-12-04", DataCentres: []schema.DataCentre{
		{Name: "mu-centre", State: schema.DataCentreStateIn},
		{Name: "mu-north", State: schema.DataCentreStateIn},
		{Name: "mu-south", State: schema.DataCentreStateIn},
	}}}, s.changeID(s.now), nil)

	return s
}

// newNode returns a host process with a new incarnation.
func (s *simulation) newNode(i int) *node {
	name := fmt.Sprintf("host-%04d", i)
	n := &node{name: name, configurationState: operator.NewConfigurationState(), rate: 0.98 + 0.04*s.random.Float64()}
	n.tickAt = s.now.Add(time.Duration(s.random.Int64N(int64(digestInterval))))
	n.readAt = s.now.Add(time.Duration(s.random.Int64N(int64(platformInterval))))
	self := schema.Host{
		Name: name, DataCentre: []string{"mu-north", "mu-centre", "mu-south"}[i%3], Incarnation: s.changeID(s.now),
		CallerAddress: "192.0.2.100:8080", PeerAddress: name, OperatorAddress: "192.0.2.100:8082", State: schema.HostStateJoining,
	}
	n.membership = peer.NewMembership(s.clock(n), self, digestInterval, s.random.Uint64())

	return n
}

// clock returns the time of a host's own clock.
func (s *simulation) clock(n *node) time.Time {
	return s.start.Add(time.Duration(float64(s.now.Sub(s.start)) * n.rate))
}

// changeID returns a unique change id with the given time.
func (s *simulation) changeID(at time.Time) string {
	s.idCount++
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(at))
	_ = id.SetEntropy(fmt.Appendf(nil, "%010d", s.idCount))

	return id.String()
}

// run advances simulated time and calls check, unless nil, after each step.
func (s *simulation) run(duration time.Duration, check func()) {
	for end := s.now.Add(duration); s.now.Before(end); {
		s.now = s.now.Add(stepTime)
		s.deliver()
		for i, n := range s.nodes {
			if s.now.Before(n.frozen) {
				continue
			}
			if !s.now.Before(n.tickAt) {
				n.tickAt = s.now.Add(digestInterval)
				s.step(i, peer.Ticked{})
			}
			if !s.now.Before(n.readAt) {
				n.readAt = s.now.Add(platformInterval)
				s.readPlatform(i)
			}
		}
		if check != nil {
			check()
		}
	}
}

// deliver delivers the messages that are due in random order. Messages to a frozen
// host wait.
func (s *simulation) deliver() {
	due := []delivery{}
	s.undelivered = slices.DeleteFunc(s.undelivered, func(d delivery) bool {
		ready := !s.now.Before(d.at) && !s.now.Before(s.nodes[d.to].frozen)
		if ready {
			due = append(due, d)
		}

		return ready
	})
	s.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, d := range due {
		d.handle(s.nodes[d.to])
	}
}

// send transmits a message subject to the network faults.
func (s *simulation) send(to int, handle func(n *node)) {
	copies := 1
	if s.random.IntN(100) < s.network.duplicatePercent {
		copies++
	}
	for range copies {
		if s.random.IntN(100) < s.network.lossPercent {
			continue
		}
		delay := time.Millisecond + time.Duration(s.random.Int64N(int64(s.network.delay)+1))
		s.undelivered = append(s.undelivered, delivery{at: s.now.Add(delay), to: to, handle: handle})
	}
}

// step steps a host's membership and executes the resulting actions.
func (s *simulation) step(i int, event peer.Event) {
	n := s.nodes[i]
	for _, action := range n.membership.Step(s.clock(n), event) {
		switch action := action.(type) {
		case peer.Exchange:
			s.exchange(i, action)
		case peer.FetchConfiguration:
			s.fetch(i, action)
		case peer.OverridesReceived:
			s.stepConfiguration(i, operator.OverridesReceived{Overrides: action.Overrides})
		case peer.Violation:
			s.violations = append(s.violations, n.name+": "+action.Invariant+": "+action.Detail)
		case peer.LiveChanged, peer.IsolationChanged, peer.LivenessConfirmed, peer.SharesChanged:
		}
	}
}

// stepConfiguration steps a host's configuration state and executes the resulting
// actions. It records a violation if the version decreases.
func (s *simulation) stepConfiguration(i int, event operator.Event) {
	n := s.nodes[i]
	for _, action := range n.configurationState.Step(event) {
		switch action := action.(type) {
		case operator.PutInForce:
			s.step(i, peer.ConfigurationInForce{Version: action.Configuration.Version, Overrides: action.Overrides})
		case operator.Violation:
			s.violations = append(s.violations, n.name+": "+action.Invariant+": "+action.Detail)
		}
	}
	if n.configurationState.Configuration.Version < n.version {
		s.violations = append(s.violations, n.name+": the configuration version decreased")
	}
	n.version = n.configurationState.Configuration.Version
}

// index returns the index of the host with a peer address.
func (s *simulation) index(address string) int {
	return slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == address })
}

// exchange sends a digest. A reply is delivered even after the timeout, which is
// stricter than production, where the closed connection drops it.
func (s *simulation) exchange(from int, action peer.Exchange) {
	to, incarnation := s.index(action.Address), s.nodes[from].membership.Self.Incarnation
	s.nodes[from].sentBytes += encoded(action.Digest)
	answered := false
	s.send(to, func(n *node) {
		s.step(to, peer.DigestReceived{Digest: action.Digest})
		answer := n.membership.Answer(s.clock(n))
		n.sentBytes += encoded(answer)
		s.send(from, func(asker *node) {
			answered = true
			if asker.membership.Self.Incarnation == incarnation {
				s.step(from, peer.DigestReceived{Digest: answer, Asked: action.Asked})
			}
		})
	})
	s.undelivered = append(s.undelivered, delivery{at: s.now.Add(replyTimeout), to: from, handle: func(*node) {
		if !answered {
			s.step(from, peer.ExchangeFailed{Address: action.Address})
		}
	}})
}

// encoded returns the size of an encoded digest in bytes.
func encoded(digest schema.Digest) int {
	raw, _ := digest.MarshalMsg(nil) // strings and numbers always encode

	return len(raw)
}

// fetch requests another host's configuration.
func (s *simulation) fetch(from int, action peer.FetchConfiguration) {
	to := s.index(action.Address)
	s.send(to, func(n *node) {
		read := operator.ConfigurationRead{Configuration: n.configurationState.Configuration, Source: n.name}
		s.send(from, func(*node) { s.stepConfiguration(from, read) })
	})
}

// readPlatform reads the list of hosts and the configuration and stores the
// host's overrides.
func (s *simulation) readPlatform(i int) {
	if s.network.outage {
		return
	}
	n := s.nodes[i]
	s.step(i, peer.ListRead{List: s.table.Hosts(s.now), Asked: s.clock(n)})
	if configuration := s.storedConfiguration(); configuration.Version > 0 {
		s.stepConfiguration(i, operator.ConfigurationRead{Configuration: configuration, Source: "platform"})
	}
	for _, override := range n.configurationState.Overrides {
		s.change(operator.SetDataCentre{Name: override.DataCentre, State: override.State}, override.ChangeID, nil)
	}
}

// storedConfiguration returns the configuration in the platform's table.
func (s *simulation) storedConfiguration() schema.Configuration {
	configuration, err := table.Decode(s.table.Read(table.KeyConfiguration))
	if err != nil {
		s.violations = append(s.violations, err.Error())
	}

	return configuration
}

// change applies a change to the configuration in the platform's table.
func (s *simulation) change(change operator.Change, id string, overrides []schema.Override) {
	current := s.storedConfiguration()
	applied, err := operator.Apply(current, change, id, overrides)
	if err != nil || !applied.Changed {
		return
	}
	transaction, err := table.Encode(applied.Configuration, current.Version)
	if err != nil {
		s.violations = append(s.violations, err.Error())
	}
	s.table.Commit(transaction)
}

// override takes a data centre out or in at a host. It reports whether the change
// was accepted, that is, collided with no recent one.
func (s *simulation) override(i int, name string, state schema.DataCentreState) bool {
	n := s.nodes[i]
	change := operator.SetDataCentre{Name: name, State: state}
	current := n.configurationState
	if operator.CheckCollision(s.clock(n), current.Configuration, current.Overrides, change) != nil {
		return false
	}
	id := s.changeID(operator.ChangeTime(s.clock(n), current.Configuration, current.Overrides))
	s.stepConfiguration(i, operator.OverridesReceived{Overrides: []schema.Override{
		{DataCentre: name, State: state, ChangeID: id, BaseVersion: current.Configuration.Version},
	}})

	return true
}

// state returns the state of a data centre as a host sees it.
func (s *simulation) state(i int, name string) schema.DataCentreState {
	current := s.nodes[i].configurationState
	for _, d := range operator.ApplyOverrides(current.Configuration, current.Overrides).DataCentres {
		if d.Name == name {
			return d.State
		}
	}

	return ""
}

// restart replaces a host with a new process.
func (s *simulation) restart(i int) {
	s.nodes[i] = s.newNode(i)
}

// shares returns the largest number of probe budget shares spent on one cell,
// summed over all hosts that consider themselves its owner.
func (s *simulation) shares() int {
	maximum := 0
	for _, cell := range cells {
		spent := 0
		for _, n := range s.nodes {
			m := n.membership
			if s.now.Before(n.frozen) || m.Isolated {
				continue
			}
			if ranked := caller.NewRanker(m.Live()).Rank(cell, 1); len(ranked) > 0 && ranked[0].Name == n.name {
				spent += m.Shares()
			}
		}
		maximum = max(maximum, spent)
	}

	return maximum
}

// cells are the cells for which shares counts the spending.
var cells = []caller.Cell{
	{Service: "catalogue", DataCentre: "mu-north"}, {Service: "catalogue", DataCentre: "mu-centre"},
	{Service: "orders", DataCentre: "mu-south"}, {Service: "workshop", DataCentre: "mu-north"},
}
