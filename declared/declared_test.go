package declared_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/schema"
)

// start is the time at which each test starts.
var start = time.Unix(1000, 0)

// at returns a time after the start.
func at(offset time.Duration) time.Time {
	return start.Add(offset)
}

// storeVersion returns a version of a store that was never restored.
func storeVersion(version int) schema.StoreVersion {
	return schema.StoreVersion{Version: version}
}

// server returns the registration of a backend server that accepts calls.
func server(id string) schema.Registration {
	return schema.Registration{ID: id, Service: "stock", Address: "10.0.0.1:80", DataCentre: "north", Slots: 4, StartedMs: 1}
}

// draining returns the registration of a backend server that drains.
func draining(id string) schema.Registration {
	registration := server(id)
	registration.Draining = true

	return registration
}

// newDeclaration returns an otherwise empty declaration of a version.
func newDeclaration(number int) schema.Declaration {
	return schema.Declaration{Version: number}
}

// peerAnswer returns the full answer of a peer that read the arguments from the
// store.
func peerAnswer(declaration schema.Declaration, ordersAt, registeredAt int, servers ...schema.Registration) declared.Event {
	peer := declared.NewReplica(declared.DefaultBound)
	peer.Step(start, declared.OrdersRead{At: storeVersion(ordersAt), Full: true, Declarations: []schema.Declaration{declaration}})
	peer.Step(start, declared.RegistrationsRead{At: storeVersion(registeredAt), Full: true, Registered: servers})

	return declared.PeerAnswered{Answer: peer.Answer(start, schema.DeclaredRequest{})}
}

// step is an event with its time after the start.
type step struct {
	at    time.Duration
	event declared.Event
}

// ids lists the registered IDs. Those of draining backend servers end in a hyphen.
func ids(replica *declared.Replica) string {
	list := ""
	for _, registration := range replica.Declared.Registrations {
		list += registration.ID
		if registration.Draining {
			list += "-"
		}
		list += " "
	}

	return list
}

func TestReplica(t *testing.T) {
	known := []step{
		{0, declared.OrdersRead{At: storeVersion(5), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}}},
		{0, declared.RegistrationsRead{At: storeVersion(6), Full: true, Registered: []schema.Registration{server("a"), server("b")}}},
	}
	lost := []step{
		{time.Second, declared.ReadFailed{Table: declared.Registrations}},
		{2 * time.Second, declared.ReadFailed{Table: declared.Registrations}},
	}
	tests := map[string]struct {
		steps     [][]step
		version   int
		servers   string
		evacuated []string
	}{
		"read state is in force": {steps: [][]step{known}, version: 3, servers: "a b "},
		"the declaration version never decreases": {
			steps:   [][]step{known, {{1, declared.OrdersRead{At: storeVersion(9), Declarations: []schema.Declaration{newDeclaration(2)}}}}},
			version: 3, servers: "a b ",
		},
		"changes add, replace and remove registrations": {
			steps: [][]step{known, {{1, declared.RegistrationsRead{
				At: storeVersion(7), Registered: []schema.Registration{server("c"), draining("a")}, Gone: []string{"b"},
			}}}},
			version: 3, servers: "a- c ",
		},
		"a late write of an earlier incarnation is ignored": {
			steps: [][]step{known, {{1, declared.RegistrationsRead{At: storeVersion(7), Registered: []schema.Registration{{
				ID: "a", Service: "stock", Draining: true, Slots: 4, StartedMs: 0,
			}}}}}},
			version: 3, servers: "a b ",
		},
		"evacuations are added and removed": {
			steps: [][]step{known, {
				{1, declared.OrdersRead{At: storeVersion(8), Evacuated: []string{"north", "south"}}},
				{2, declared.OrdersRead{At: storeVersion(9), Returned: []string{"north"}}},
			}},
			version: 3, servers: "a b ", evacuated: []string{"south"},
		},
		"a full read without a server removes it at once if the store was available": {
			steps: [][]step{known, {
				{1, declared.HistoryLost{Table: declared.Registrations}},
				{2, declared.RegistrationsRead{At: storeVersion(8), Full: true, Registered: []schema.Registration{server("a")}}},
			}},
			version: 3, servers: "a ",
		},
		"a registration that lapsed during an outage is retained": {
			steps: [][]step{known, lost, {
				{9 * time.Second, declared.RegistrationsRead{At: storeVersion(8), Gone: []string{"a"}}},
				{10 * time.Second, declared.Ticked{}},
			}},
			version: 3, servers: "a b ",
		},
		"a lapsed registration is dropped after its retention": {
			steps: [][]step{known, lost, {
				{9 * time.Second, declared.RegistrationsRead{At: storeVersion(8), Gone: []string{"a"}}},
				{11500 * time.Millisecond, declared.Ticked{}},
			}},
			version: 3, servers: "b ",
		},
		"a lapsed registration that returns is kept": {
			steps: [][]step{known, lost, {
				{9 * time.Second, declared.RegistrationsRead{At: storeVersion(8), Gone: []string{"a"}}},
				{10 * time.Second, declared.RegistrationsRead{At: storeVersion(9), Registered: []schema.Registration{server("a")}}},
				{12 * time.Second, declared.Ticked{}},
			}},
			version: 3, servers: "a b ",
		},
		"a host that peers updated during the outage retains no lapsed registration": {
			steps: [][]step{known, lost, {
				{8900 * time.Millisecond, declared.PeerStateReceived{Address: "p", Hash: -1, OrdersAt: storeVersion(5), RegistrationsAt: storeVersion(8), Age: 100 * time.Millisecond}},
				{8950 * time.Millisecond, peerAnswer(newDeclaration(3), 5, 8, server("a"), server("b"))},
				{9 * time.Second, declared.RegistrationsRead{At: storeVersion(9), Gone: []string{"a"}}},
			}},
			version: 3, servers: "b ",
		},
		"older state of a peer is ignored": {
			steps:   [][]step{known, {{1, peerAnswer(newDeclaration(2), 4, 5)}}},
			version: 3, servers: "a b ",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			for _, steps := range test.steps {
				for _, step := range steps {
					replica.Step(at(step.at), step.event)
				}
			}
			assert.Equal(t, replica.Declared.Declaration.Version, test.version)
			assert.Equal(t, ids(replica), test.servers)
			assert.DeepEqual(t, append([]string(nil), replica.Declared.Evacuated...), test.evacuated)
		})
	}
}

// cluster simulates hosts that read a store and exchange their state.
type cluster struct {
	now       time.Time
	replicas  []*declared.Replica
	rejected  []bool
	rows      map[string]schema.Registration
	version   int
	changedAt map[string]int
	reads     []map[declared.Table]pending
	fetches   []declared.Fetch
	// partitioned stops all exchange between hosts.
	partitioned bool
	// sentRegistrations counts the registrations that hosts sent each other.
	sentRegistrations int
	calls             int
}

// pending is a read that the store has not answered, with its latest answer time.
type pending struct {
	read  declared.Read
	until time.Time
}

// newCluster returns hosts without state that know their ranks.
func newCluster(hosts int) *cluster {
	c := newUnconnectedCluster(hosts)
	c.connect()

	return c
}

// newUnconnectedCluster returns hosts without state that do not know their ranks.
func newUnconnectedCluster(hosts int) *cluster {
	c := &cluster{now: start, rows: map[string]schema.Registration{}, changedAt: map[string]int{}, rejected: make([]bool, hosts), fetches: make([]declared.Fetch, hosts)}
	for range hosts {
		c.replicas = append(c.replicas, declared.NewReplica(declared.DefaultBound))
		c.reads = append(c.reads, map[declared.Table]pending{})
	}

	return c
}

// connect tells each host its rank.
func (c *cluster) connect() {
	for rank := range c.replicas {
		ahead := make([]string, 0, rank)
		for other := range rank {
			ahead = append(ahead, fmt.Sprint(other))
		}
		c.step(rank, declared.RankChanged{Ahead: ahead})
	}
}

// write adds or replaces a row of the store.
func (c *cluster) write(registration schema.Registration) {
	c.version++
	c.rows[registration.ID] = registration
	c.changedAt[registration.ID] = c.version
}

// remove removes a row of the store.
func (c *cluster) remove(id string) {
	c.version++
	delete(c.rows, id)
	c.changedAt[id] = c.version
}

// step applies an event to a host and records the reads and fetches that it starts.
func (c *cluster) step(host int, event declared.Event) {
	for _, action := range c.replicas[host].Step(c.now, event) {
		switch action := action.(type) {
		case declared.Read:
			c.calls++
			c.reads[host][action.Table] = pending{read: action, until: c.now.Add(action.Wait)}
		case declared.Fetch:
			c.fetches[host] = action
		case declared.Changed, declared.ReadOutdated, declared.HistoryMissed, declared.StoreRestored, declared.StoreLost, declared.StoreRegained:
		}
	}
}

// advance runs the store and the hosts for a length of time.
func (c *cluster) advance(length time.Duration) {
	const tick = 50 * time.Millisecond
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(tick) {
		for host := range c.replicas {
			for table, waiting := range c.reads[host] {
				c.answer(host, table, waiting)
			}
			c.step(host, declared.Ticked{})
		}
		for from := range c.replicas {
			for to := range c.replicas {
				c.gossip(from, to)
			}
		}
	}
}

// answer answers a host's read if it is rejected, has changes or has waited long
// enough.
func (c *cluster) answer(host int, table declared.Table, waiting pending) {
	if c.rejected[host] {
		delete(c.reads[host], table)
		c.step(host, declared.ReadFailed{Table: table})

		return
	}
	if table == declared.Orders {
		if !c.now.Before(waiting.until) {
			delete(c.reads[host], table)
			c.step(host, declared.OrdersRead{At: storeVersion(1), Full: true, Declarations: []schema.Declaration{newDeclaration(1)}})
		}

		return
	}
	read := declared.RegistrationsRead{At: storeVersion(c.version), Full: waiting.read.After.IsZero(), After: waiting.read.After}
	for id, changed := range c.changedAt {
		if changed <= waiting.read.After.Version {
			continue
		}
		if row, present := c.rows[id]; present {
			read.Registered = append(read.Registered, row)
		} else {
			read.Gone = append(read.Gone, id)
		}
	}
	if len(read.Registered)+len(read.Gone) > 0 || !c.now.Before(waiting.until) {
		delete(c.reads[host], table)
		c.step(host, read)
	}
}

// gossip delivers the state of host from to host to, and the answer to a fetch.
func (c *cluster) gossip(from, to int) {
	if from == to || c.partitioned {
		return
	}
	replica := c.replicas[from]
	c.step(to, declared.PeerStateReceived{
		Name: fmt.Sprint(from), Reads: replica.Reads(c.now), Address: fmt.Sprint(from), Hash: replica.Hash, OrdersAt: replica.Declared.OrdersAt, RegistrationsAt: replica.Declared.RegistrationsAt,
		Age: c.now.Sub(replica.ConfirmedAt()),
	})
	if fetch := c.fetches[to]; fetch.Address == fmt.Sprint(from) {
		c.fetches[to] = declared.Fetch{}
		answer := replica.Answer(c.now, schema.DeclaredRequest{Version: fetch.Version, RegistrationsAt: fetch.RegistrationsAt})
		c.sentRegistrations += len(answer.Registrations)
		c.step(to, declared.PeerAnswered{Answer: answer})
	}
}

// Guards against readers that do not pass on changes which they missed. The store
// rejected both readers for nine seconds; when it answered them again, they did
// not forward to the other hosts what had changed in the meantime.
func TestDrainingPropagatesToAllHosts(t *testing.T) {
	tests := map[string]struct {
		rejected []bool
		outage   time.Duration
	}{
		"no host is rejected":                {rejected: make([]bool, 5)},
		"the first reader is rejected":       {rejected: []bool{true, false, false, false, false}, outage: 9 * time.Second},
		"both readers are rejected":          {rejected: []bool{true, true, false, false, false}, outage: 9 * time.Second},
		"all hosts are rejected temporarily": {rejected: []bool{true, true, true, true, true}, outage: 9 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(5)
			for _, id := range []string{"a", "b", "c"} {
				c.write(server(id))
			}
			c.advance(5 * time.Second)
			c.rejected = test.rejected
			c.advance(test.outage / 2)
			c.remove("c")
			c.advance(test.outage / 2)
			c.rejected = make([]bool, 5)
			c.advance(300 * time.Millisecond)
			c.write(draining("a"))
			c.advance(1500 * time.Millisecond)
			for host, replica := range c.replicas {
				assert.Assert(t, strings.HasPrefix(ids(replica), "a- b "), "host %d has %s", host, ids(replica))
			}
			c.advance(3 * time.Second)
			for host, replica := range c.replicas {
				assert.Equal(t, ids(replica), "a- b ", "host %d", host)
			}
		})
	}
}

// Guards against slow propagation while the store rejects the readers: the next
// host by rank read only once in two seconds then.
func TestChangesPropagateWhileStoreRejectsReaders(t *testing.T) {
	c := newCluster(5)
	for _, id := range []string{"a", "b", "c", "d"} {
		c.write(server(id))
	}
	c.advance(5 * time.Second)
	c.rejected = []bool{true, true, false, false, false}
	c.advance(4 * time.Second)
	for i, id := range []string{"a", "b", "c", "d"} {
		c.write(draining(id))
		c.advance(time.Duration(700+100*i) * time.Millisecond)
		for host, replica := range c.replicas {
			assert.Assert(t, strings.Contains(ids(replica), id+"-"), "host %d has %s", host, ids(replica))
		}
	}
}

func TestFewHostsReadTheStore(t *testing.T) {
	c := newCluster(15)
	c.write(server("a"))
	c.advance(10 * time.Second)
	calls := c.calls
	const seconds = 10
	c.advance(seconds * time.Second)
	// Two hosts read two tables once in half of the bound; a fifth more is allowed.
	limit := 2 * 2 * seconds * int(time.Second) / int(declared.DefaultBound/2) * 6 / 5
	assert.Assert(t, c.calls-calls <= limit, "%d calls in %d seconds, more than %d", c.calls-calls, seconds, limit)
}

// Guards against a surge of reads during an outage: when the store became
// unavailable, all 93 hosts queried it at once and continued until it was back.
func TestFewHostsReadAnUnavailableStore(t *testing.T) {
	c := newCluster(60)
	c.write(server("a"))
	c.advance(5 * time.Second)
	for host := range c.rejected {
		c.rejected[host] = true
	}
	calls := c.calls
	c.advance(8 * time.Second)
	assert.Assert(t, c.calls-calls <= 2*12*8, "%d calls in eight seconds", c.calls-calls)
	c.rejected = make([]bool, 60)
	c.write(draining("a"))
	c.advance(2 * time.Second)
	for host, replica := range c.replicas {
		assert.Equal(t, ids(replica), "a- ", "host %d", host)
	}
}

// Guards against redundant reads at start-up: each of 138 hosts that started
// together kept a second read waiting at the store, because none had yet heard
// that others read.
func TestHostsThatStartTogetherReadOnce(t *testing.T) {
	c := newUnconnectedCluster(40)
	c.write(server("a"))
	c.partitioned = true
	c.advance(100 * time.Millisecond)
	c.connect()
	c.advance(time.Second)
	c.partitioned = false
	c.advance(3 * time.Second)
	assert.Assert(t, c.calls <= 2*40+12, "%d calls in four seconds", c.calls)
	for host, replica := range c.replicas {
		assert.Equal(t, ids(replica), "a ", "host %d", host)
	}
}

// Guards against a host that waits for many others to read the store although it
// hears from none of them.
func TestAHostThatHearsNobodyReadsTheStore(t *testing.T) {
	replica := declared.NewReplica(declared.DefaultBound)
	ahead := make([]string, 40)
	for i := range ahead {
		ahead[i] = fmt.Sprint("h", i)
	}
	replica.Step(start, declared.RankChanged{Ahead: ahead})
	replica.Step(start, peerAnswer(newDeclaration(1), 5, 6))
	silentFrom := at(5 * time.Second)
	for _, name := range ahead {
		replica.Step(silentFrom, declared.PeerStateReceived{Name: name, Reads: true, Hash: replica.Hash})
	}
	reads := 0
	for now := silentFrom; now.Before(silentFrom.Add(declared.DefaultBound * 9 / 10)); now = now.Add(50 * time.Millisecond) {
		reads += len(replica.Step(now, declared.Ticked{}))
	}
	assert.Equal(t, reads, 2, "reads of the two tables")
}

// Guards against a host that waits for the next beacon after a failed fetch, although
// it knows another host with the newer state.
func TestNextHostIsAskedAfterAFailedFetch(t *testing.T) {
	replica := declared.NewReplica(declared.DefaultBound)
	fetched := func(event declared.Event) string {
		for _, action := range replica.Step(start, event) {
			if fetch, fetches := action.(declared.Fetch); fetches {
				return fetch.Address
			}
		}

		return ""
	}
	peer := func(name string) declared.Event {
		return declared.PeerStateReceived{Name: name, Address: name + ":1", Hash: 1, OrdersAt: storeVersion(5), RegistrationsAt: storeVersion(6)}
	}
	assert.Equal(t, fetched(peer("a")), "a:1")
	assert.Equal(t, fetched(peer("b")), "")
	assert.Equal(t, fetched(declared.FetchFailed{}), "b:1")
	assert.Equal(t, fetched(declared.FetchFailed{}), "")
	assert.Equal(t, fetched(peer("a")), "a:1")
	assert.Equal(t, fetched(peer("b")), "")
	assert.Equal(t, fetched(peerAnswer(newDeclaration(1), 4, 5)), "a:1") // the answer is older than announced
}

// Guards against backend servers that return to the state in force. A host that had
// been cut off retained one that had left meanwhile, and a sound host that had
// dropped it fetched it from there.
func TestRetainedRegistrationsStayAtTheirHost(t *testing.T) {
	known := []step{
		{0, declared.OrdersRead{At: storeVersion(5), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}}},
		{0, declared.RegistrationsRead{At: storeVersion(6), Full: true, Registered: []schema.Registration{server("a"), server("b")}}},
	}
	returned, sound := declared.NewReplica(declared.DefaultBound), declared.NewReplica(declared.DefaultBound)
	for _, step := range append(known, []step{
		{time.Second, declared.ReadFailed{Table: declared.Registrations}},
		{2 * time.Second, declared.ReadFailed{Table: declared.Registrations}},
		{9 * time.Second, declared.RegistrationsRead{At: storeVersion(8), Gone: []string{"a"}}},
		{9100 * time.Millisecond, declared.RegistrationsRead{At: storeVersion(9), Registered: []schema.Registration{server("c")}}},
	}...) {
		returned.Step(at(step.at), step.event)
	}
	for _, step := range append(known,
		step{5 * time.Second, declared.OrdersRead{At: storeVersion(8)}},
		step{5 * time.Second, declared.RegistrationsRead{At: storeVersion(8), Gone: []string{"a"}}},
	) {
		sound.Step(at(step.at), step.event)
	}
	assert.Equal(t, ids(returned), "a b c ")
	actions := sound.Step(at(9200*time.Millisecond), declared.PeerStateReceived{
		Name: "returned", Hash: returned.Hash, OrdersAt: returned.Declared.OrdersAt, RegistrationsAt: returned.Declared.RegistrationsAt,
	})
	for len(actions) > 0 {
		fetch, fetches := actions[0].(declared.Fetch)
		actions = actions[1:]
		if fetches {
			answer := returned.Answer(at(9300*time.Millisecond), schema.DeclaredRequest{Version: fetch.Version, RegistrationsAt: fetch.RegistrationsAt})
			actions = append(actions, sound.Step(at(9300*time.Millisecond), declared.PeerAnswered{Answer: answer})...)
		}
	}
	assert.Equal(t, ids(sound), "b c ")
}

// Guards against hosts that do not read the store and drop the registrations that
// lapsed while it was unavailable, before the backend servers have registered again.
func TestLapsedRegistrationsAreRetainedAtAllHosts(t *testing.T) {
	c := newCluster(5)
	c.write(server("a"))
	c.write(server("b"))
	c.advance(5 * time.Second)
	c.rejected = []bool{true, true, true, true, true}
	c.advance(8 * time.Second)
	c.remove("b")
	c.rejected = make([]bool, 5)
	for range 30 {
		c.advance(50 * time.Millisecond)
		for host, replica := range c.replicas {
			assert.Equal(t, ids(replica), "a b ", "host %d", host)
		}
	}
	c.write(server("b"))
	c.advance(4 * time.Second)
	for host, replica := range c.replicas {
		assert.Equal(t, ids(replica), "a b ", "host %d", host)
	}
}

func TestPeersSendOnlyChangedRegistrations(t *testing.T) {
	const servers, changes = 100, 20
	c := newCluster(15)
	for i := range servers {
		c.write(server(fmt.Sprint(i)))
	}
	c.advance(5 * time.Second)
	before := c.sentRegistrations
	for i := range changes {
		c.write(draining(fmt.Sprint(i)))
		c.advance(200 * time.Millisecond)
	}
	sent := c.sentRegistrations - before
	assert.Assert(t, sent > 0 && sent <= 2*changes*len(c.replicas), "%d registrations were sent", sent)
	for host, replica := range c.replicas {
		assert.Equal(t, ids(replica), ids(c.replicas[0]), "host %d", host)
	}
}

func TestHostsAgreeAfterAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(4)
		c.write(server("a"))
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c.write(server(id))
			case 1:
				c.write(draining(id))
			case 2:
				c.remove(id)
			case 3:
				c.rejected[rapid.IntRange(0, 3).Draw(t, "host")] = rapid.Bool().Draw(t, "rejected")
			}
			c.advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		c.rejected = make([]bool, 4)
		c.advance(8 * time.Second)
		want := ""
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			if row, present := c.rows[id]; present {
				want += id + map[bool]string{true: "- ", false: " "}[row.Draining]
			}
		}
		for host, replica := range c.replicas {
			if got := ids(replica); got != want {
				t.Fatalf("host %d has %q, the store has %q", host, got, want)
			}
		}
	})
}

// drawMismatchedAnswer draws an answer whose registrations do not match its hash.
func drawMismatchedAnswer(t *rapid.T) schema.DeclaredAnswer {
	return schema.DeclaredAnswer{
		DeclaredVersion: rapid.IntRange(-3, 30).Draw(t, "peer version"), OrdersAt: storeVersion(rapid.IntRange(-3, 60).Draw(t, "peer orders at")),
		RegistrationsAfter: storeVersion(rapid.IntRange(-1, 60).Draw(t, "peer after")),
		RegistrationsAt:    storeVersion(rapid.IntRange(-1, 60).Draw(t, "peer registrations at")),
		Registrations:      []schema.Registration{server(rapid.StringMatching("[a-c]?").Draw(t, "peer registration"))},
		Gone:               rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", ""})).Draw(t, "peer gone"),
		RegistrationsHash:  -1,
	}
}

func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := declared.NewReplica(declared.DefaultBound)
		newest, revision, now := 0, schema.StoreVersion{}, start
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			number, store := rapid.IntRange(1, 20).Draw(t, "version"), rapid.IntRange(1, 50).Draw(t, "store version")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				replica.Step(now, declared.OrdersRead{At: storeVersion(store), Full: rapid.Bool().Draw(t, "full"), Declarations: []schema.Declaration{newDeclaration(number)}})
			case 1:
				replica.Step(now, peerAnswer(newDeclaration(number), store, store))
			case 2:
				replica.Step(now, declared.ReadFailed{Table: declared.Orders})
			case 3:
				replica.Step(now, declared.HistoryLost{Table: declared.Orders})
			case 4:
				before := ids(replica)
				replica.Step(now, declared.PeerAnswered{Answer: drawMismatchedAnswer(t)})
				if ids(replica) != before {
					t.Fatalf("mismatched changes were applied: registrations are %s, were %s", ids(replica), before)
				}
			}
			if replica.Declared.Declaration.Version < newest {
				t.Fatalf("declaration version fell to %d from %d", replica.Declared.Declaration.Version, newest)
			}
			if revision.IsNewer(replica.Declared.RegistrationsAt) {
				t.Fatalf("version of the registrations fell to %s from %s", replica.Declared.RegistrationsAt, revision)
			}
			newest, revision = replica.Declared.Declaration.Version, replica.Declared.RegistrationsAt
		}
	})
}
