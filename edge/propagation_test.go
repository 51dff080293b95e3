package edge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// simulatedStep is the resolution of simulated time and the delay of a message
	// between hosts.
	simulatedStep = 10 * time.Millisecond
	// simulatedStoreTimeout is how long a read waits in addition to the wait for
	// changes.
	simulatedStoreTimeout = 800 * time.Millisecond
	// simulatedBound is the time within which an acknowledged change must be in force.
	simulatedBound = 2 * time.Second
	// simulatedTouch is the time after the return of the store from which changes must be
	// in force in time again.
	simulatedTouch = 3 * time.Second
)

// simulatedCut says how a host is cut off.
type simulatedCut int

const (
	// cutNothing leaves the host sound.
	cutNothing simulatedCut = iota
	// cutSilent stops all traffic between the host and the store.
	cutSilent
	// cutRejected makes the store reject the host's requests.
	cutRejected
	// cutAll stops all traffic of the host.
	cutAll
)

// simulatedRead is a read of the store that has not ended.
type simulatedRead struct {
	read      declared.Read
	startedAt time.Time
	// rejected is set if the store rejects the read.
	rejected bool
	// lost is set if the host was cut off meanwhile, so that no answer arrives.
	lost bool
}

// simulatedInput is an input that arrives at a host at a time.
type simulatedInput struct {
	at    time.Time
	to    *simulatedHost
	input ControlInput
}

// simulatedHost runs the control duty of one host.
type simulatedHost struct {
	duty     *controlDuty
	address  string
	down     bool
	cut      simulatedCut
	nextTick time.Time
	// inputDelay is how long inputs wait at this host until it handles them.
	inputDelay time.Duration
	reads      map[declared.Table]*simulatedRead
}

// simulation runs the control duties of many hosts and a store in simulated time.
type simulation struct {
	now       time.Time
	hosts     []*simulatedHost
	byAddress map[string]*simulatedHost
	inputs    []simulatedInput
	random    *rand.Rand
	// loss is the share of beacons that are lost, fetchLoss that of fetches, and rejections
	// that of the reads that the store rejects.
	loss, fetchLoss, rejections float64
	// storeDelay is the time that the store takes for an answer, besides its wait.
	storeDelay time.Duration
	// links are the rates of the hosts' links in bytes per second, or nil if they do not
	// matter. transfers are those on their way, wasted the bytes of those given up, and
	// sizes those of answers by the version that is known and that of the answer.
	links     map[*simulatedHost]float64
	transfers []*simulatedTransfer
	wasted    float64
	sizes     map[[2]int]int

	// routes are those of the next declaration.
	routes []schema.Route
	simulatedStore
	// epoch is the number of times that the store was restored, and away says that it
	// answers nobody.
	epoch      int
	away       bool
	storeCalls int
}

// simulatedStore is what the store holds.
type simulatedStore struct {
	version       int
	declaration   schema.Declaration
	declarationAt int
	rows          map[string]schema.Registration
	changedAt     map[string]int
	members       []string
}

// clone returns a copy of the store.
func (s simulatedStore) clone() simulatedStore {
	s.rows, s.changedAt, s.members = maps.Clone(s.rows), maps.Clone(s.changedAt), slices.Clone(s.members)

	return s
}

// storeVersion returns a version of a store that was never restored.
func storeVersion(version int) schema.StoreVersion {
	return schema.StoreVersion{Version: version}
}

// at returns the version of the store.
func (s *simulation) at() schema.StoreVersion {
	return schema.StoreVersion{Epoch: s.epoch, Version: s.version}
}

// newSimulation returns hosts that start together. The first ones of each data
// centre are the largest.
func newSimulation(hosts, dataCentres int, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), byAddress: map[string]*simulatedHost{}, random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // reproducible
		simulatedStore: simulatedStore{rows: map[string]schema.Registration{}, changedAt: map[string]int{}},
	}
	s.declare()
	for i := range 5 {
		s.register(fmt.Sprint("b", i), false)
	}
	for i := range hosts {
		capacity := 192
		if i >= 3*dataCentres {
			capacity = 96
		}
		s.start(i, dataCentres, capacity)
	}

	return s
}

// start starts a host that knows the first three.
func (s *simulation) start(i, dataCentres, capacity int) {
	address := fmt.Sprintf("10.0.0.%d:1", i)
	started := s.now.Add(time.Duration(s.random.IntN(300)) * time.Millisecond)
	log := logrus.New()
	log.SetOutput(io.Discard)
	replica := newSimulatedReplica()
	replica.Early = i < 3 || directory.LikelyToServe(capacity)
	host := &simulatedHost{address: address, nextTick: started, reads: map[declared.Table]*simulatedRead{}}
	host.duty = &controlDuty{
		replica: replica, directory: directory.New(schema.Beacon{
			Name: fmt.Sprint("h", i), StartedMs: int(started.UnixMilli()), DataCentre: fmt.Sprint("dc", i%dataCentres),
			CallerAddress: address, PeerAddress: address, Capacity: capacity,
		}),
		inputs: ring.New[ControlInput]("control", 1), calls: ring.New[Input]("calls", callsRingCapacity), changes: ring.New[Input]("changes", changesRingCapacity),
		orders: ring.New[declared.Read]("orders", 1), registrations: ring.New[declared.Read]("registrations", 1),
		fetches: ring.New[declared.Fetch]("fetches", 1), beacons: ring.New[beacon.Datagram]("beacons", controlRingCapacity),
		asks: ring.New[directory.AskMembers]("asks", 1), storeMembers: ring.New[directory.Action]("store_members", storeMembersCapacity),
		log: eventlog.New(logrus.NewEntry(log)), metrics: NewMetrics(), confirmation: &confirmation{}, limits: newCallerLimits(), wakeups: &wakeups{}, startedAt: started,
	}
	s.hosts, s.byAddress[address] = append(s.hosts, host), host
	s.deliver(host, started.Sub(s.now), MembersRead{Addresses: []string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"}})
}

// declare writes a new declaration.
func (s *simulation) declare() {
	s.version++
	s.declaration, s.declarationAt = schema.Declaration{Version: s.declaration.Version + 1, Routes: s.routes}, s.version
}

// register writes the row of a backend server.
func (s *simulation) register(id string, draining bool) {
	s.version++
	s.rows[id] = schema.Registration{ID: id, Service: "stock", Address: "10.0.0.1:80", DataCentre: "dc0", Slots: 4, StartedMs: 1, Draining: draining}
	s.changedAt[id] = s.version
}

// remove removes the row of a backend server.
func (s *simulation) remove(id string) {
	s.version++
	delete(s.rows, id)
	s.changedAt[id] = s.version
}

// deliver schedules an input of a host, and notes when it arrives as the host's receivers
// do.
func (s *simulation) deliver(to *simulatedHost, delay time.Duration, input ControlInput) {
	arrived := s.now.Add(delay)
	switch received := input.(type) {
	case BeaconArrived:
		received.ArrivedAt = arrived
		input = received
	case DeclaredEvent:
		input = DeclaredEvent{Event: noteArrival(received.Event, arrived)}
	case MembersRead, MembersAnswered, MembersQuery, LoadsReported, AddressesQuery, ReadyQuery, DeclaredQuery, ConfirmationRequested, Stopping:
	}
	s.inputs = append(s.inputs, simulatedInput{at: arrived.Add(to.inputDelay), to: to, input: input})
}

// noteArrival returns the event with the time at which the answer of the store arrived.
func noteArrival(event declared.Event, arrived time.Time) declared.Event {
	switch read := event.(type) {
	case declared.OrdersRead:
		read.ArrivedAt = arrived

		return read
	case declared.RegistrationsRead:
		read.ArrivedAt = arrived

		return read
	case declared.HistoryLost, declared.ReadFailed, declared.PeerStateReceived, declared.PeerAnswered, declared.FetchFailed, declared.RankChanged, declared.Ticked:
	}

	return event
}

// run advances simulated time.
func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(simulatedStep) {
		waiting := s.inputs
		s.inputs = nil
		for _, next := range waiting {
			if next.at.After(s.now) {
				s.inputs = append(s.inputs, next)
			} else if !next.to.down {
				_ = next.to.duty.step(context.Background(), s.now, next.input) // only a full ring of calls fails
				s.perform(next.to)
			}
		}
		s.moveTransfers()
		for _, host := range s.hosts {
			if host.down {
				continue
			}
			for table, pending := range host.reads {
				s.answerRead(host, table, pending)
			}
			if !host.nextTick.After(s.now) {
				_ = host.duty.tick(context.Background(), s.now) // as above
				host.nextTick = s.now.Add(host.duty.interval(s.now))
				s.perform(host)
			}
		}
	}
}

// perform carries out what a host's control duty passed to the other duties.
func (s *simulation) perform(host *simulatedHost) {
	for _, reads := range []*ring.Ring[declared.Read]{host.duty.orders, host.duty.registrations} {
		if read, found := reads.Poll(); found {
			s.storeCalls++
			host.reads[read.Table] = &simulatedRead{read: read, startedAt: s.now, rejected: s.random.Float64() < s.rejections}
		}
	}
	if fetch, found := host.duty.fetches.Poll(); found {
		s.fetch(host, fetch)
	}
	if ask, found := host.duty.asks.Poll(); found {
		s.ask(host, ask)
	}
	for action, found := host.duty.storeMembers.Poll(); found; action, found = host.duty.storeMembers.Poll() {
		s.join(host, action)
	}
	for datagram, found := host.duty.beacons.Poll(); found; datagram, found = host.duty.beacons.Poll() {
		for _, address := range datagram.Addresses {
			if to := s.reach(host, address); to != nil && s.random.Float64() >= s.loss {
				s.deliver(to, simulatedStep, BeaconArrived{Beacon: datagram.Beacon})
			}
		}
	}
	for _, inputs := range []*ring.Ring[Input]{host.duty.calls, host.duty.changes} {
		for _, found := inputs.Poll(); found; {
			_, found = inputs.Poll()
		}
	}
}

// reach returns the host with an address, or nil if a message does not reach it.
func (s *simulation) reach(from *simulatedHost, address string) *simulatedHost {
	to := s.byAddress[address]
	if to == nil || to.down || from.cut == cutAll || to.cut == cutAll {
		return nil
	}

	return to
}

// fetch carries out a fetch.
func (s *simulation) fetch(host *simulatedHost, fetch declared.Fetch) {
	to := s.reach(host, fetch.Address)
	if to == nil || s.random.Float64() < s.fetchLoss {
		s.deliver(host, fetchTimeout, DeclaredEvent{Event: declared.FetchFailed{}})

		return
	}
	answer := to.duty.replica.Answer(s.now, schema.DeclaredRequest{Sender: host.address, Version: fetch.Version, RegistrationsAt: fetch.RegistrationsAt, TakesChanges: true})
	if s.links != nil {
		s.sendAnswer(to, host, fetch, answer)

		return
	}
	s.deliver(host, 2*simulatedStep, DeclaredEvent{Event: declared.PeerAnswered{Answer: answer}})
}

// ask carries out a request for members.
func (s *simulation) ask(host *simulatedHost, ask directory.AskMembers) {
	to := s.reach(host, ask.Address)
	if to == nil {
		s.deliver(host, fetchTimeout, MembersAnswered{})

		return
	}
	answer := to.duty.directory.Members(schema.MembersRequest{Sender: host.address, DataCentre: ask.DataCentre})
	s.deliver(host, 2*simulatedStep, MembersAnswered{Answered: true, Answer: answer})
}

// join registers a host in the store, and returns the registered ones to it.
func (s *simulation) join(host *simulatedHost, action directory.Action) {
	if host.cut != cutNothing || s.away {
		return
	}
	s.storeCalls++
	s.members = append(s.members, host.address)
	if _, joins := action.(directory.JoinStore); joins {
		s.storeCalls++
		s.deliver(host, simulatedStep, MembersRead{Addresses: append([]string(nil), s.members...)})
	}
}

// answerRead ends a read that is due.
func (s *simulation) answerRead(host *simulatedHost, table declared.Table, pending *simulatedRead) {
	pending.lost = pending.lost || host.cut == cutSilent || host.cut == cutAll
	waited := s.now.Sub(pending.startedAt)
	var event declared.Event
	switch {
	case pending.lost && waited >= pending.read.Wait+simulatedStoreTimeout, host.cut == cutRejected, pending.rejected, s.away:
		event = declared.ReadFailed{Table: table}
	case pending.lost || waited < simulatedStep+s.storeDelay:
		return
	default:
		changes := s.changes(table, pending.read.After)
		if changes == nil && waited < pending.read.Wait+s.storeDelay {
			return
		}
		event = changes
		if changes == nil {
			event = s.unchanged(table, pending.read.After)
		}
	}
	delete(host.reads, table)
	if s.links != nil {
		s.sendRows(host, table, event)

		return
	}
	s.deliver(host, 0, DeclaredEvent{Event: event})
}

// unchanged returns the result of a read without changes since a version.
func (s *simulation) unchanged(table declared.Table, after schema.StoreVersion) declared.Event {
	if table == declared.Orders {
		return declared.OrdersRead{At: s.at(), After: after}
	}

	return declared.RegistrationsRead{At: s.at(), After: after}
}

// changes returns the changes of a table after a version, or nil. Like the store, it goes by
// the number of the version alone.
func (s *simulation) changes(table declared.Table, after schema.StoreVersion) declared.Event {
	if after.Version > s.version {
		return declared.HistoryLost{Table: table}
	}
	if table == declared.Orders {
		if s.declarationAt <= after.Version {
			return nil
		}

		return declared.OrdersRead{At: s.at(), Full: after.IsZero(), After: after, Declarations: []schema.Declaration{s.declaration}}
	}
	read := declared.RegistrationsRead{At: s.at(), Full: after.IsZero(), After: after}
	for id, at := range s.changedAt {
		if at <= after.Version {
			continue
		}
		if row, registered := s.rows[id]; registered {
			read.Registered = append(read.Registered, row)
		} else if !read.Full {
			read.Gone = append(read.Gone, id)
		}
	}
	if len(read.Registered)+len(read.Gone) == 0 {
		return nil
	}

	return read
}

// outdated returns the names of sound hosts whose state is not that of the store.
func (s *simulation) outdated() []string {
	var names []string
	for _, host := range s.hosts {
		if host.down || host.cut != cutNothing || s.isCurrent(host) {
			continue
		}
		names = append(names, host.duty.directory.Self.Name)
	}

	return names
}

// isCurrent reports whether a host's state in force is that of the store.
func (s *simulation) isCurrent(host *simulatedHost) bool {
	state := host.duty.replica.Declared
	if state.Declaration.Version != s.declaration.Version || len(state.Registrations) != len(s.rows) {
		return false
	}
	for _, registration := range state.Registrations {
		if row, registered := s.rows[registration.ID]; !registered || row != registration {
			return false
		}
	}

	return true
}

// readers returns the hosts that report that they read the store.
func (s *simulation) readers() []*simulatedHost {
	var readers []*simulatedHost
	for _, host := range s.hosts {
		if host.duty.replica.Reads(s.now) {
			readers = append(readers, host)
		}
	}

	return readers
}

// change makes one change of each kind in the store.
func (s *simulation) change() {
	s.declare()
	s.register("b0", true)
	s.remove("b1")
}

// Guards against hosts that act on an old state because the readers lost the store
// at the moment of a change: nobody noticed for 2.8 s (review/5).
func TestChangesPropagateWhenReadersLoseTheStore(t *testing.T) {
	tests := map[string]struct {
		hosts, dataCentres int
		cut                simulatedCut
	}{
		"four hosts, no answer":          {hosts: 4, dataCentres: 1, cut: cutSilent},
		"four hosts, rejected":           {hosts: 4, dataCentres: 1, cut: cutRejected},
		"four hosts, cut from all":       {hosts: 4, dataCentres: 1, cut: cutAll},
		"fifteen hosts, no answer":       {hosts: 15, dataCentres: 3, cut: cutSilent},
		"fifteen hosts, rejected":        {hosts: 15, dataCentres: 3, cut: cutRejected},
		"fifteen hosts, cut from all":    {hosts: 15, dataCentres: 3, cut: cutAll},
		"a hundred hosts, no answer":     {hosts: 100, dataCentres: 5, cut: cutSilent},
		"a hundred hosts, cut from all":  {hosts: 100, dataCentres: 5, cut: cutAll},
		"a hundred hosts, all rejected":  {hosts: 100, dataCentres: 5, cut: cutRejected},
		"a single data centre of twenty": {hosts: 20, dataCentres: 1, cut: cutSilent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := range 10 {
				s := newSimulation(test.hosts, test.dataCentres, uint64(phase))
				s.run(8*time.Second + time.Duration(phase)*250*time.Millisecond)
				assert.Equal(t, len(s.outdated()), 0, "before the change: %v", s.outdated())
				readers := s.readers()
				assert.Assert(t, len(readers) > 0)
				for _, host := range readers {
					host.cut = test.cut
				}
				s.change()
				s.run(simulatedBound)
				assert.Equal(t, len(s.outdated()), 0, "phase %d: hosts without the change after %v: %v", phase, simulatedBound, s.outdated())
			}
		})
	}
}

// Guards against hosts that wait behind many others which lost the store, such as all
// hosts of other data centres.
func TestChangesPropagateBehindManyHostsThatLostTheStore(t *testing.T) {
	tests := map[string]struct {
		hosts, dataCentres int
		// lost is the number of data centres that lose the store, and first that of the
		// largest hosts that do, in whatever data centre.
		lost, first int
		cut         simulatedCut
	}{
		"the first twenty hosts":            {hosts: 60, dataCentres: 3, first: 20, cut: cutSilent},
		"the first fifty hosts":             {hosts: 60, dataCentres: 3, first: 50, cut: cutSilent},
		"the first hundred hosts":           {hosts: 150, dataCentres: 5, first: 100, cut: cutSilent},
		"the first hundred hosts, rejected": {hosts: 150, dataCentres: 5, first: 100, cut: cutRejected},
		"the first hundred, cut from all":   {hosts: 150, dataCentres: 5, first: 100, cut: cutAll},
		"all but one":                       {hosts: 150, dataCentres: 5, first: 149, cut: cutSilent},
		"one of three, no answer":           {hosts: 60, dataCentres: 3, lost: 1, cut: cutSilent},
		"two of three, no answer":           {hosts: 60, dataCentres: 3, lost: 2, cut: cutSilent},
		"two of three, rejected":            {hosts: 60, dataCentres: 3, lost: 2, cut: cutRejected},
		"four of five, no answer":           {hosts: 150, dataCentres: 5, lost: 4, cut: cutSilent},
		"four of five, rejected":            {hosts: 150, dataCentres: 5, lost: 4, cut: cutRejected},
		"four of five, cut from all":        {hosts: 150, dataCentres: 5, lost: 4, cut: cutAll},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for phase := range 4 {
				s := newSimulation(test.hosts, test.dataCentres, uint64(phase))
				s.run(8*time.Second + time.Duration(phase)*250*time.Millisecond)
				assert.Equal(t, len(s.outdated()), 0, "before the change: %v", s.outdated())
				for i, host := range s.hosts {
					if i%test.dataCentres < test.lost || i < test.first {
						host.cut = test.cut
					}
				}
				s.run(time.Duration(phase) * 300 * time.Millisecond)
				s.change()
				s.run(simulatedBound)
				assert.Equal(t, len(s.outdated()), 0, "phase %d: hosts without the change after %v: %v", phase, simulatedBound, s.outdated())
			}
		})
	}
}

// Guards against a store that all hosts query because it is slow: its readers counted as
// hosts without answers.
func TestASlowStoreIsReadByFewHosts(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(60, 3, 1)
			s.run(6 * time.Second)
			s.storeDelay = delay
			s.run(6 * time.Second)
			calls := s.storeCalls
			s.run(10 * time.Second)
			calls = s.storeCalls - calls
			t.Logf("%d calls in 10 s, %d readers", calls, len(s.readers()))
			// Two readers read two tables, and wait for changes for half the bound at most less
			// the delay; a quarter of the reads may be on top.
			interval := min(simulatedBound/2, simulatedBound/2+150*time.Millisecond-delay) + delay
			assert.Assert(t, calls <= int(4*10*time.Second/interval)*5/4, "%d calls in 10 s", calls)
			s.change()
			s.run(simulatedBound)
			assert.Equal(t, len(s.outdated()), 0, "hosts without the change: %v", s.outdated())
		})
	}
}

// Guards against a store that answers nobody and is queried by all hosts again and
// again.
func TestAStoreThatAnswersNobodyIsQueriedByFewHosts(t *testing.T) {
	tests := map[string]struct {
		hosts int
		cut   simulatedCut
	}{
		"15 hosts, no answer":  {hosts: 15, cut: cutSilent},
		"15 hosts, rejected":   {hosts: 15, cut: cutRejected},
		"150 hosts, no answer": {hosts: 150, cut: cutSilent},
		"150 hosts, rejected":  {hosts: 150, cut: cutRejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(test.hosts, 5, 1)
			s.run(8 * time.Second)
			for _, host := range s.hosts {
				host.cut = test.cut
			}
			s.run(4 * time.Second)
			calls := s.storeCalls
			s.run(10 * time.Second)
			calls = s.storeCalls - calls
			t.Logf("%d calls in 10 s", calls)
			assert.Assert(t, calls <= 300, "%d calls in 10 s", calls)
			for _, host := range s.hosts {
				host.cut = cutNothing
			}
			s.run(simulatedTouch)
			s.change()
			s.run(simulatedBound)
			assert.Equal(t, len(s.outdated()), 0, "hosts without a change after the return: %v", s.outdated())
			for _, host := range s.readers() {
				host.cut = test.cut
			}
			s.change()
			s.run(simulatedBound)
			assert.Equal(t, len(s.outdated()), 0, "hosts without a change after the next loss: %v", s.outdated())
		})
	}
}

// Guards against hosts that lose the store because it rejects many of their reads.
func TestChangesPropagateWhenTheStoreRejectsManyReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(2, 24).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "data centres"), rapid.Uint64().Draw(t, "seed"))
		s.run(6*time.Second + time.Duration(rapid.IntRange(0, 3000).Draw(t, "phase ms"))*time.Millisecond)
		s.rejections = rapid.SampledFrom([]float64{0.1, 0.3, 0.5}).Draw(t, "rejections")
		s.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "change after ms")) * time.Millisecond)
		s.change()
		s.run(simulatedBound)
		if outdated := s.outdated(); len(outdated) > 0 {
			t.Fatalf("hosts without the change after %v: %v", simulatedBound, outdated)
		}
	})
}

// Guards against hosts that wait for others which read the store without an answer:
// all hosts but one lose it together.
func TestTheLastHostThatReachesTheStoreHasChanges(t *testing.T) {
	tests := map[string]struct {
		hosts, dataCentres int
		cut                simulatedCut
	}{
		"fifteen hosts, no answer":                   {hosts: 15, dataCentres: 3, cut: cutSilent},
		"fifteen hosts, rejected":                    {hosts: 15, dataCentres: 3, cut: cutRejected},
		"fifteen hosts, cut from all":                {hosts: 15, dataCentres: 3, cut: cutAll},
		"sixty hosts of a data centre, cut from all": {hosts: 60, dataCentres: 1, cut: cutAll},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for phase := range 10 {
				s := newSimulation(test.hosts, test.dataCentres, uint64(phase))
				s.run(8*time.Second + time.Duration(phase)*250*time.Millisecond)
				for _, host := range s.hosts[:test.hosts-1] {
					host.cut = test.cut
				}
				s.change()
				s.run(simulatedBound)
				assert.Equal(t, len(s.outdated()), 0, "phase %d: %v", phase, s.outdated())
			}
		})
	}
}

// TestChangesPropagateWhateverHostsAreCutOff cuts off any hosts at any moment around
// a change. All others have the change in force within the bound.
func TestChangesPropagateWhateverHostsAreCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 24).Draw(t, "hosts")
		s := newSimulation(hosts, rapid.IntRange(1, 5).Draw(t, "data centres"), rapid.Uint64().Draw(t, "seed"))
		s.loss = rapid.SampledFrom([]float64{0, 0.03}).Draw(t, "loss")
		s.run(6*time.Second + time.Duration(rapid.IntRange(0, 3000).Draw(t, "phase ms"))*time.Millisecond)
		cut := rapid.SampledFrom([]simulatedCut{cutSilent, cutRejected, cutAll}).Draw(t, "cut")
		share := rapid.SampledFrom([]float64{0.1, 0.35, 0.7, 0.9}).Draw(t, "share")
		for _, host := range s.hosts {
			if s.random.Float64() < share {
				host.cut = cut
			}
		}
		s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "change after ms")) * time.Millisecond)
		s.change()
		s.run(simulatedBound)
		if outdated := s.outdated(); len(outdated) > 0 {
			t.Fatalf("hosts without the change after %v: %v", simulatedBound, outdated)
		}
	})
}

// Guards against a state that is delayed by fetches from a host that does not
// answer: no other host was asked until the fetch had timed out and another beacon
// had arrived.
func TestChangesPropagateWhenFetchesFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(3, 24).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "data centres"), rapid.Uint64().Draw(t, "seed"))
		s.run(6*time.Second + time.Duration(rapid.IntRange(0, 3000).Draw(t, "phase ms"))*time.Millisecond)
		s.fetchLoss = rapid.SampledFrom([]float64{0.3, 0.6}).Draw(t, "fetches lost")
		for range 3 {
			s.change()
			s.run(simulatedBound)
			if outdated := s.outdated(); len(outdated) > 0 {
				t.Fatalf("hosts without the change after %v: %v", simulatedBound, outdated)
			}
		}
	})
}

// Guards against backend servers that return to the state in force: a host that had
// been cut off kept those that had left meanwhile, and the other hosts fetched them
// from it.
func TestHostsThatReturnBringBackNoBackendServer(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(15, 3, seed)
		s.run(6 * time.Second)
		returning := map[*simulatedHost]bool{}
		for _, host := range s.readers() {
			host.cut, returning[host] = cutAll, true
		}
		s.run(500 * time.Millisecond)
		s.remove("b1")
		s.run(5 * time.Second)
		for _, host := range s.hosts {
			host.cut = cutNothing
		}
		for i := range 8 {
			s.run(300 * time.Millisecond)
			s.register(fmt.Sprint("new", i), false)
			for _, host := range s.hosts {
				for _, registration := range host.duty.replica.Declared.Registrations {
					assert.Assert(t, registration.ID != "b1" || returning[host], "seed %d, %s has a backend server that left", seed, host.duty.directory.Self.Name)
				}
			}
		}
	}
}

// newSimulatedReplica returns the replica of a host.
func newSimulatedReplica() *declared.Replica {
	return declared.NewReplica(simulatedBound)
}
