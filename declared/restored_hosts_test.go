package declared_test

import (
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/schema"
)

// restorableStore is the orders and registrations of a store with copies of it.
type restorableStore struct {
	epoch, version, declaration, declaredAt int
	evacuated                               map[string]bool
	evacuatedAt                             map[string]int
	rows                                    map[string]schema.Registration
	rowsAt                                  map[string]int
}

// clone returns a copy of the store.
func (s restorableStore) clone() restorableStore {
	s.evacuated, s.evacuatedAt = maps.Clone(s.evacuated), maps.Clone(s.evacuatedAt)
	s.rows, s.rowsAt = maps.Clone(s.rows), maps.Clone(s.rowsAt)

	return s
}

// at returns the version of the store.
func (s *restorableStore) at() schema.StoreVersion { return inEpoch(s.epoch, s.version) }

// read answers a read. Like the store, it goes by the number of the version alone.
func (s *restorableStore) read(table declared.Table, after schema.StoreVersion) declared.Event {
	if after.Version > s.version {
		return declared.HistoryLost{Table: table}
	}
	if table == declared.Orders {
		read := declared.OrdersRead{At: s.at(), Full: after.IsZero(), After: after}
		if s.declaredAt > after.Version {
			read.Declarations = []schema.Declaration{newDeclaration(s.declaration)}
		}
		for name, changed := range s.evacuatedAt {
			switch {
			case changed <= after.Version:
			case s.evacuated[name]:
				read.Evacuated = append(read.Evacuated, name)
			default:
				read.Returned = append(read.Returned, name)
			}
		}

		return read
	}
	read := declared.RegistrationsRead{At: s.at(), Full: after.IsZero(), After: after}
	for id, changed := range s.rowsAt {
		row, present := s.rows[id]
		switch {
		case changed <= after.Version:
		case present:
			read.Registered = append(read.Registered, row)
		default:
			read.Gone = append(read.Gone, id)
		}
	}

	return read
}

// change makes a random change.
func (s *restorableStore) change(t *rapid.T) {
	s.version++
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		s.declaration++
		s.declaredAt = s.version
	case 1:
		s.evacuated[name], s.evacuatedAt[name] = !s.evacuated[name], s.version
	case 2:
		s.rows[name], s.rowsAt[name] = server(name), s.version
	case 3:
		delete(s.rows, name)
		s.rowsAt[name] = s.version
	}
}

// describe returns the state in force of a host that has all of the store.
func (s *restorableStore) describe() string {
	list, servers := fmt.Sprint("r", s.declaration), ""
	for _, name := range []string{"a", "b", "c"} {
		if s.evacuated[name] {
			list += " " + name
		}
		if _, present := s.rows[name]; present {
			servers += name + " "
		}
	}

	return list + ", " + servers
}

// restoredHosts are hosts that read a store which is restored from copies.
type restoredHosts struct {
	now    time.Time
	store  restorableStore
	copies []restorableStore
	hosts  []*declared.Replica
	// waiting are the answers of the store that the hosts have not handled yet.
	waiting []map[declared.Table]declared.Event
}

// newRestoredHosts returns hosts without state.
func newRestoredHosts(count int) *restoredHosts {
	r := &restoredHosts{now: start, store: restorableStore{
		version: 1, declaration: 1, declaredAt: 1,
		evacuated: map[string]bool{}, evacuatedAt: map[string]int{}, rows: map[string]schema.Registration{}, rowsAt: map[string]int{},
	}}
	r.copies = []restorableStore{r.store.clone()}
	r.hosts, r.waiting = make([]*declared.Replica, count), make([]map[declared.Table]declared.Event, count)
	for host := range r.hosts {
		r.restart(host)
	}

	return r
}

// restart starts a host without state.
func (r *restoredHosts) restart(host int) {
	r.hosts[host], r.waiting[host] = declared.NewReplica(declared.DefaultBound), map[declared.Table]declared.Event{}
}

// restore has the store come back from a copy, and operators write the newest declaration
// again.
func (r *restoredHosts) restore(from restorableStore) {
	epoch, declaration := r.store.epoch+1, r.store.declaration
	r.store = from.clone()
	r.store.epoch = epoch
	r.store.version++
	r.store.declaration, r.store.declaredAt = declaration, r.store.version
}

// read has the store answer a host, which handles the answer later.
func (r *restoredHosts) read(host int, table declared.Table) {
	if r.waiting[host][table] != nil {
		return
	}
	after := r.hosts[host].Declared.RegistrationsAt
	if table == declared.Orders {
		after = r.hosts[host].Declared.OrdersAt
	}
	r.waiting[host][table] = r.store.read(table, after)
}

// receive has a host handle an answer of the store, and reports whether it was applied.
func (r *restoredHosts) receive(host int, table declared.Table) bool {
	event := r.waiting[host][table]
	if event == nil {
		return true
	}
	delete(r.waiting[host], table)

	return len(reportsOf(r.hosts[host].Step(r.now, event))) == 0
}

// fetch has a host compare its state with that of another one. A mismatch is followed by
// another fetch.
func (r *restoredHosts) fetch(host, other int) {
	peer := r.hosts[other]
	actions := r.hosts[host].Step(r.now, declared.PeerStateReceived{
		Name: fmt.Sprint(other), Address: fmt.Sprint(other), Hash: peer.Hash, DeclaredVersion: peer.Declared.Declaration.Version,
		OrdersAt: peer.Declared.OrdersAt, RegistrationsAt: peer.Declared.RegistrationsAt, Age: time.Hour,
	})
	for range 3 {
		var next []declared.Action
		for _, action := range actions {
			if request, is := action.(declared.Fetch); is {
				answer := peer.Answer(r.now, schema.DeclaredRequest{Version: request.Version, RegistrationsAt: request.RegistrationsAt, TakesChanges: true})
				next = r.hosts[host].Step(r.now, declared.PeerAnswered{Answer: answer})
			}
		}
		actions = next
	}
}

// step makes a random step.
func (r *restoredHosts) step(t *rapid.T) {
	r.now = r.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
	host, other := rapid.IntRange(0, len(r.hosts)-1).Draw(t, "host"), rapid.IntRange(0, len(r.hosts)-1).Draw(t, "other")
	table := rapid.SampledFrom([]declared.Table{declared.Orders, declared.Registrations}).Draw(t, "table")
	switch rapid.SampledFrom([]string{"change", "copy", "restore", "read", "receive", "fetch", "restart"}).Draw(t, "kind") {
	case "change":
		r.store.change(t)
	case "copy":
		r.copies = append(r.copies, r.store.clone())
	case "restore":
		r.restore(rapid.SampledFrom(r.copies).Draw(t, "from"))
	case "read":
		r.read(host, table)
	case "receive":
		r.receive(host, table)
	case "fetch":
		r.fetch(host, other)
	case "restart":
		r.restart(host)
	}
}

// settle has one host read the store, and the others get its state.
func (r *restoredHosts) settle() {
	r.now = r.now.Add(time.Minute)
	for _, table := range []declared.Table{declared.Orders, declared.Registrations} {
		r.receive(0, table)
		r.read(0, table)
		if !r.receive(0, table) {
			r.hosts[0].Step(r.now, r.store.read(table, schema.StoreVersion{}))
		}
	}
	for host := 1; host < len(r.hosts); host++ {
		r.fetch(host, 0)
	}
	r.now = r.now.Add(time.Minute)
	for _, host := range r.hosts {
		host.Step(r.now, declared.Ticked{})
	}
}

// Guards against any order of changes, returns of the store from copies of any age, reads
// that are under way meanwhile, restarts and answers of other hosts after which hosts do not
// have what the store has.
func TestHostsFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newRestoredHosts(3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			fleet.step(t)
		}
		fleet.settle()
		for i, host := range fleet.hosts {
			state := host.Declared
			got := strings.Join(append([]string{fmt.Sprint("r", state.Declaration.Version)}, state.Evacuated...), " ") + ", " + ids(host)
			if got != fleet.store.describe() {
				t.Fatalf("host %d has %q, the store has %q", i, got, fleet.store.describe())
			}
		}
	})
}
