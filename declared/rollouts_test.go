package declared_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/schema"
)

// rollout returns an order of a version for a service.
func rollout(service string, version int) schema.RolloutOrder {
	return schema.RolloutOrder{Service: service, Target: fmt.Sprint("v", version), DurationMs: 12_000, OrderVersion: storeVersion(version)}
}

// ordersOf lists the rollout orders in force.
func ordersOf(replica *declared.Replica) string {
	list := ""
	for _, order := range replica.Declared.Rollouts {
		list += fmt.Sprintf("%s%d ", order.Service, order.OrderVersion.Version)
	}

	return list
}

// peerOrders returns a peer's answer with rollout orders as of a version of the store.
func peerOrders(at int, orders ...schema.RolloutOrder) declared.Event {
	peer := declared.NewReplica(declared.DefaultBound)
	peer.Step(start, declared.OrdersRead{At: storeVersion(at), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}, Rollouts: orders})

	return declared.PeerAnswered{Answer: peer.Answer(start, schema.DeclaredRequest{})}
}

// Guards against an order that stays after it was withdrawn, or that an older state
// brings back, so that calls go to a version that no order allows.
func TestRolloutsOfAReplica(t *testing.T) {
	known := declared.OrdersRead{
		At: storeVersion(5), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}, Rollouts: []schema.RolloutOrder{rollout("s", 5), rollout("a", 4)},
	}
	tests := map[string]struct {
		events []declared.Event
		want   string
	}{
		"orders are sorted by service": {want: "a4 s5 "},
		"another is given":             {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Rollouts: []schema.RolloutOrder{rollout("m", 6)}}}, want: "a4 m6 s5 "},
		"one is replaced":              {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Rollouts: []schema.RolloutOrder{rollout("s", 6)}}}, want: "a4 s6 "},
		"one is withdrawn":             {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Withdrawn: []string{"s"}}}, want: "a4 "},
		"an unknown one is withdrawn":  {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Withdrawn: []string{"x"}}}, want: "a4 s5 "},
		"one is withdrawn and given": {
			events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Withdrawn: []string{"s"}}, declared.OrdersRead{At: storeVersion(7), Rollouts: []schema.RolloutOrder{rollout("s", 7)}}},
			want:   "a4 s7 ",
		},
		"a change of something else leaves them":   {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Evacuated: []string{"north"}}}, want: "a4 s5 "},
		"a full read without one withdraws it":     {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Full: true, Rollouts: []schema.RolloutOrder{rollout("a", 4)}}}, want: "a4 "},
		"a full read without orders withdraws all": {events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Full: true}}},
		"an older read changes nothing":            {events: []declared.Event{declared.OrdersRead{At: storeVersion(4), Full: true}}, want: "a4 s5 "},
		"a newer state of a peer replaces them":    {events: []declared.Event{peerOrders(6, rollout("a", 4))}, want: "a4 "},
		"an older state of a peer changes nothing": {events: []declared.Event{peerOrders(4, rollout("a", 4), rollout("s", 3))}, want: "a4 s5 "},
		"an order that is newer than its read stays": {
			events: []declared.Event{
				declared.OrdersRead{At: storeVersion(6), Full: true, Rollouts: []schema.RolloutOrder{rollout("s", 9)}}, peerOrders(7, rollout("s", 5)),
			},
			want: "s9 ",
		},
		"an order that is newer than a state without it stays": {
			events: []declared.Event{
				declared.OrdersRead{At: storeVersion(6), Full: true, Rollouts: []schema.RolloutOrder{rollout("s", 9)}}, peerOrders(7), declared.OrdersRead{At: storeVersion(8), Withdrawn: []string{"s"}},
			},
			want: "s9 ",
		},
		"an order that is newer than its read is withdrawn by a later one": {
			events: []declared.Event{
				declared.OrdersRead{At: storeVersion(6), Full: true, Rollouts: []schema.RolloutOrder{rollout("s", 9)}}, declared.OrdersRead{At: storeVersion(10), Withdrawn: []string{"s"}},
			},
		},
		"an older order of a row does not replace a newer one": {
			events: []declared.Event{declared.OrdersRead{At: storeVersion(6), Rollouts: []schema.RolloutOrder{rollout("s", 3)}}}, want: "a4 s5 ",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			replica.Step(start, known)
			for i, event := range test.events {
				replica.Step(at(time.Duration(i+1)*time.Second), event)
			}
			assert.Equal(t, ordersOf(replica), test.want)
		})
	}
}

// Guards against hosts that take different orders for the same state, and against a
// state without orders or versions that no longer equals that of an earlier release.
func TestRolloutsInTheHash(t *testing.T) {
	state := func(change func(*declared.OrdersRead, *declared.RegistrationsRead)) int {
		orders := declared.OrdersRead{At: storeVersion(5), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}, Evacuated: []string{"north"}}
		registrations := declared.RegistrationsRead{At: storeVersion(6), Full: true, Registered: []schema.Registration{server("a")}}
		change(&orders, &registrations)
		replica := declared.NewReplica(declared.DefaultBound)
		replica.Step(start, orders)
		replica.Step(start, registrations)

		return replica.Hash
	}
	none := state(func(*declared.OrdersRead, *declared.RegistrationsRead) {})
	assert.Equal(t, none, 1072614985, "a host without orders has another hash than before there were any")
	changes := map[string]func(*declared.OrdersRead, *declared.RegistrationsRead){
		"an order": func(o *declared.OrdersRead, _ *declared.RegistrationsRead) {
			o.Rollouts = []schema.RolloutOrder{rollout("s", 4)}
		},
		"its version": func(o *declared.OrdersRead, _ *declared.RegistrationsRead) {
			o.Rollouts = []schema.RolloutOrder{{Service: "s", Target: "v4", DurationMs: 12_000, OrderVersion: storeVersion(3)}}
		},
		"its target": func(o *declared.OrdersRead, _ *declared.RegistrationsRead) {
			o.Rollouts = []schema.RolloutOrder{{Service: "s", Target: "v5", DurationMs: 12_000, OrderVersion: storeVersion(4)}}
		},
		"its duration": func(o *declared.OrdersRead, _ *declared.RegistrationsRead) {
			o.Rollouts = []schema.RolloutOrder{{Service: "s", Target: "v4", DurationMs: 12_001, OrderVersion: storeVersion(4)}}
		},
		"its service": func(o *declared.OrdersRead, _ *declared.RegistrationsRead) {
			o.Rollouts = []schema.RolloutOrder{{Service: "t", Target: "v4", DurationMs: 12_000, OrderVersion: storeVersion(4)}}
		},
		"a server's version": func(_ *declared.OrdersRead, r *declared.RegistrationsRead) { r.Registered[0].Version = "v1" },
	}
	hashes := map[int]string{none: "none"}
	for name, change := range changes {
		hash := state(change)
		assert.Equal(t, hashes[hash], "", "%s gives the hash of another state", name)
		hashes[hash] = name
	}
}

// Guards against a backend server that is replaced by one of another version under the
// same name, and that other hosts never learn of.
func TestAVersionIsAChangeOfARegistration(t *testing.T) {
	c := newCluster(3)
	c.write(server("a"))
	c.advance(4 * time.Second)
	other := server("a")
	other.Version = "v2"
	c.write(other)
	c.advance(4 * time.Second)
	for host, replica := range c.replicas {
		assert.Equal(t, replica.Declared.Registrations[0].Version, "v2", "host %d", host)
	}
}

// orderBook is the operators' table of a store with its changes.
type orderBook struct {
	version   int
	orders    map[string]schema.RolloutOrder
	changedAt map[string]int
}

// read returns the result of a read after a version, as of now.
func (b *orderBook) read(after schema.StoreVersion) declared.OrdersRead {
	read := declared.OrdersRead{At: storeVersion(b.version), Full: after.IsZero(), After: after, Declarations: []schema.Declaration{newDeclaration(1)}}
	for service, changed := range b.changedAt {
		order, given := b.orders[service]
		switch {
		case given && changed > after.Version:
			read.Rollouts = append(read.Rollouts, order)
		case !given && changed > after.Version && !after.IsZero():
			read.Withdrawn = append(read.Withdrawn, service)
		}
	}

	return read
}

// change gives, replaces or withdraws the order of a service.
func (b *orderBook) change(service string, withdraw bool) {
	_, given := b.orders[service]
	switch {
	case !withdraw:
		b.version++
		b.orders[service], b.changedAt[service] = rollout(service, b.version), b.version
	case given:
		b.version++
		delete(b.orders, service)
		b.changedAt[service] = b.version
	}
}

// orderReader is a host that reads an order book.
type orderReader struct {
	replica *declared.Replica
	// reading is a result that the host has not received yet.
	reading *declared.OrdersRead
	// newest are the newest orders that the host had, by service.
	newest map[string]schema.StoreVersion
}

// read starts a read unless one is running.
func (r *orderReader) read(book *orderBook, after schema.StoreVersion) {
	if r.reading == nil {
		read := book.read(after)
		r.reading = &read
	}
}

// receive applies the result of the read that is running.
func (r *orderReader) receive() {
	if r.reading != nil {
		r.replica.Step(start, *r.reading)
		r.reading = nil
	}
}

// noteOrders records the orders in force and fails if one is older than another that
// the host had.
func (r *orderReader) noteOrders(t *rapid.T) {
	for _, order := range r.replica.Declared.Rollouts {
		if r.newest[order.Service].IsNewer(order.OrderVersion) {
			t.Fatalf("order %s of %s is in force after order %s", order.OrderVersion, order.Service, r.newest[order.Service])
		}
		r.newest[order.Service] = order.OrderVersion
	}
}

// Guards against hosts that disagree about the orders after any interleaving of orders,
// reads that others overtake and peers' answers, and against an older order that replaces
// a newer one.
func TestHostsAgreeAboutRollouts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := &orderBook{version: 1, orders: map[string]schema.RolloutOrder{}, changedAt: map[string]int{}}
		hosts := make([]*orderReader, 3)
		for i := range hosts {
			hosts[i] = &orderReader{replica: declared.NewReplica(declared.DefaultBound), newest: map[string]schema.StoreVersion{}}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			host, other := rapid.SampledFrom(hosts).Draw(t, "host"), rapid.SampledFrom(hosts).Draw(t, "other")
			switch rapid.SampledFrom([]string{"change", "read", "receive", "fetch"}).Draw(t, "kind") {
			case "change":
				book.change(rapid.SampledFrom([]string{"s", "t", "u"}).Draw(t, "service"), rapid.Bool().Draw(t, "withdraw"))
			case "read":
				host.read(book, rapid.SampledFrom([]schema.StoreVersion{{}, host.replica.Declared.OrdersAt}).Draw(t, "after"))
			case "receive":
				host.receive()
			case "fetch":
				request := schema.DeclaredRequest{Version: host.replica.Declared.Declaration.Version}
				host.replica.Step(start, declared.PeerAnswered{Answer: other.replica.Answer(start, request)})
			}
			host.noteOrders(t)
		}
		for i, host := range hosts {
			host.replica.Step(start, book.read(host.replica.Declared.OrdersAt))
			if got, want := ordersOf(host.replica), ordersOf(hosts[0].replica); got != want || len(host.replica.Declared.Rollouts) != len(book.orders) {
				t.Fatalf("host %d has %q, host 0 has %q, the store has %v", i, got, want, book.orders)
			}
			if host.replica.Hash != hosts[0].replica.Hash {
				t.Fatalf("host %d has another hash", i)
			}
		}
	})
}
