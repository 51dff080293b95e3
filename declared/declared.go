// Package declared decides what of the operators' orders and the backend
// servers' registrations is in force at a host, and when the platform's store
// is read. It holds no clock, socket, goroutine or lock. Change this package to
// change what a host believes after the store or a peer was away.
package declared

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// LongestWait is how long a read waits for a change. A read that the store never
	// answers ends less than three seconds after the store is back, when changes
	// count again.
	LongestWait = 2 * time.Second
	// readers is the number of hosts that read the store, so that one that is
	// turned away does not leave the others without news.
	readers = 2
	// staleAfter is how long what a host knows may be unconfirmed until it reads
	// the store itself.
	staleAfter = LongestWait + 1500*time.Millisecond
	// startAfter is the time for which a host that knows nothing waits for others
	// to tell it.
	startAfter = 40 * time.Millisecond
	// readerTimeout is how long after it was last heard a host that reads counts as
	// one.
	readerTimeout = 2500 * time.Millisecond
	// rankStep is what each rank waits longer, so that one host after the other
	// begins to read.
	rankStep = 150 * time.Millisecond
	// watchPause is the time between two reads of the orders, which bounds the calls
	// when many changes come one after the other.
	watchPause = 50 * time.Millisecond
	// retryAfter is the time before a failed read is tried again; it doubles with
	// each failure up to retryLongest.
	retryAfter = 200 * time.Millisecond
	// retryLongest bounds that time.
	retryLongest = 1500 * time.Millisecond
	// RevisionBits is the number of bits by which a store's version is shifted in
	// Declared.RegistrationsAt, so that what a host drops by itself has a place
	// between two versions of the store.
	RevisionBits = 10
	// lapseAfter is how long a host must have been without news until registrations
	// that went missing may have lapsed: less than three heartbeats.
	lapseAfter = 3 * time.Second
	// lostFailures is the number of reads in a row that must fail until the store
	// counts as away; a single one may be an idle connection that was closed.
	lostFailures = 2
	// lapseHold is how long a registration that went missing while the store was
	// away is kept after its return. Live backend servers register again within
	// two seconds.
	lapseHold = 2200 * time.Millisecond
)

// revisionMask are the bits of a revision that do not come from the store.
const revisionMask = 1<<RevisionBits - 1

// Event is what the book reacts to.
//
//sumtype:decl
type Event interface{ event() }

// OrdersRead brings what operators wrote to the store.
type OrdersRead struct {
	// At is the store's version as of which this holds.
	At int
	// Full says that this is everything rather than what changed.
	Full bool
	// Declarations are declarations that were written, in their order.
	Declarations []schema.Declaration
	// Evacuated are data centres that are to get no new work.
	Evacuated []string
	// Returned are data centres that may get new work again.
	Returned []string
}

// RegistrationsRead brings what backend servers wrote to the store.
type RegistrationsRead struct {
	// At is the store's version as of which this holds.
	At int
	// Full says that this is everything rather than what changed.
	Full bool
	// Registered are the registrations that can be used.
	Registered []schema.Registration
	// Gone are the IDs of registrations that were removed or name no backend
	// server that can be used.
	Gone []string
}

// HistoryLost says that the store has dropped the changes since the last read.
type HistoryLost struct {
	// Table says of what.
	Table Table
}

// ReadFailed says that a read had no result.
type ReadFailed struct {
	// Table says of what.
	Table Table
}

// PeerHeard says what another host knows.
type PeerHeard struct {
	// Name is the host's name.
	Name string
	// Reads says that it reads the store and is answered.
	Reads bool
	// Address is its ip:port for peers' requests.
	Address string
	// Hash identifies what it knows.
	Hash int
	// OrdersAt is the store's version of its orders.
	OrdersAt int
	// RegistrationsAt is the revision of its registrations.
	RegistrationsAt int
	// Age is the time since the store confirmed what it knows.
	Age time.Duration
}

// PeerAnswered brings all that another host knows.
type PeerAnswered struct {
	// Declared is what it knows.
	Declared schema.Declared
}

// FetchFailed says that another host did not answer.
type FetchFailed struct{}

// RoleChanged says how this host takes part in reading.
type RoleChanged struct {
	// Ahead are the hosts that read before this one does.
	Ahead []string
}

// Ticked says that time passed.
type Ticked struct{}

func (OrdersRead) event()        {}
func (RegistrationsRead) event() {}
func (HistoryLost) event()       {}
func (ReadFailed) event()        {}
func (PeerHeard) event()         {}
func (PeerAnswered) event()      {}
func (FetchFailed) event()       {}
func (RoleChanged) event()       {}
func (Ticked) event()            {}

// Table names what is read from the store.
type Table int

// The tables.
const (
	// Orders are the declaration and the evacuations.
	Orders Table = iota
	// Registrations are the backend servers.
	Registrations
)

// Action is what the book wants done.
//
//sumtype:decl
type Action interface{ action() }

// Read reads from the store. It ends with OrdersRead, RegistrationsRead,
// HistoryLost or ReadFailed.
type Read struct {
	// Table says what.
	Table Table
	// After is the version from which changes are read, or 0 to read everything.
	After int
	// Wait is how long the store may wait for a change.
	Wait time.Duration
}

// Fetch asks another host for all that it knows. It ends with PeerAnswered or
// FetchFailed.
type Fetch struct {
	// Address is the other host's ip:port for peers' requests.
	Address string
}

// Changed says that something else is in force.
type Changed struct {
	// Declared is all that is in force.
	Declared schema.Declared
}

// StoreLost says that the store cannot be read any more.
type StoreLost struct{}

// StoreRegained says that the store can be read again.
type StoreRegained struct {
	// Away is how long it could not be read.
	Away time.Duration
}

func (Read) action()          {}
func (Fetch) action()         {}
func (Changed) action()       {}
func (StoreLost) action()     {}
func (StoreRegained) action() {}

// Book is what one host knows to be declared.
type Book struct {
	// Declared is what is in force.
	Declared schema.Declared
	// Hash identifies it.
	Hash int

	registrations map[string]schema.Registration
	missing       map[string]time.Time
	reading       [2]bool
	readAt        [2]time.Time
	after         [2]int
	startedAt     time.Time
	confirmed     [2]time.Time
	told          time.Time
	fetched       time.Time
	holdUntil     time.Time
	failures      int
	failedAt      time.Time
	lostAt        time.Time
	fetching      bool
	role          RoleChanged
	readers       map[string]time.Time
	changed       bool
}

// NewBook returns a book that knows nothing and reads the store at once.
func NewBook() *Book {
	return &Book{registrations: map[string]schema.Registration{}, missing: map[string]time.Time{}, readers: map[string]time.Time{}}
}

// Known reports whether both orders and registrations are known.
func (b *Book) Known() bool {
	return b.Declared.Declaration.Version > 0 && b.Declared.RegistrationsAt > 0
}

// Step reacts to one event.
func (b *Book) Step(now time.Time, event Event) []Action {
	b.changed = false
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	var actions []Action
	switch event := event.(type) {
	case OrdersRead:
		actions = b.regained(now, Orders)
		b.adoptOrders(event)
	case RegistrationsRead:
		actions = b.regained(now, Registrations)
		b.adoptRegistrations(now, event)
	case HistoryLost:
		b.reading[event.Table], b.after[event.Table], b.readAt[event.Table] = false, 0, time.Time{}
	case ReadFailed:
		actions = b.failed(now, event.Table)
	case PeerHeard:
		actions = b.heard(now, event)
	case PeerAnswered:
		b.fetching = false
		b.adoptPeer(event.Declared)
	case FetchFailed:
		b.fetching = false
	case RoleChanged:
		b.role = event
	case Ticked:
	}
	b.dropMissing(now)
	if b.changed {
		b.settle()
		actions = append(actions, Changed{Declared: b.Declared})
	}

	return append(actions, b.reads(now)...)
}

// ConfirmedAt returns when the store last confirmed what is in force, as far as
// this host knows.
func (b *Book) ConfirmedAt() time.Time {
	own := b.confirmed[Orders]
	if b.confirmed[Registrations].Before(own) {
		own = b.confirmed[Registrations]
	}
	if b.told.After(own) {
		return b.told
	}

	return own
}

// reads returns the reads that are due.
func (b *Book) reads(now time.Time) []Action {
	if !b.reader(now) {
		return nil
	}
	var actions []Action
	for _, table := range []Table{Orders, Registrations} {
		if b.due(now, table) {
			actions = append(actions, b.read(now, table))
		}
	}

	return actions
}

// reader reports whether this host reads the store: the first hosts that the
// store answers do, and any host while no one tells it what is in force.
func (b *Book) reader(now time.Time) bool {
	rank := len(b.role.Ahead)
	later := time.Duration(rank) * rankStep
	if !b.Known() {
		return now.Sub(b.startedAt) >= startAfter+later
	}
	reading := 0
	for _, name := range b.role.Ahead {
		if now.Sub(b.readers[name]) < readerTimeout {
			reading++
		}
	}

	return reading < readers || now.Sub(b.ConfirmedAt()) >= staleAfter+later
}

// Reads reports whether this host reads the store and is answered.
func (b *Book) Reads(now time.Time) bool {
	return b.Known() && b.failures == 0 && b.reader(now)
}

// due reports whether a table may be read again.
func (b *Book) due(now time.Time, table Table) bool {
	interval := watchPause
	if b.failures > 0 {
		interval = min(retryAfter<<min(b.failures-1, 8), retryLongest)
	}

	return !b.reading[table] && now.Sub(b.readAt[table]) >= interval
}

// read begins a read.
func (b *Book) read(now time.Time, table Table) Action {
	b.reading[table], b.readAt[table] = true, now
	wait := LongestWait
	if b.after[table] == 0 {
		wait = 0
	}

	return Read{Table: table, After: b.after[table], Wait: wait}
}

// regained notes that the store answered.
func (b *Book) regained(now time.Time, table Table) []Action {
	silent := now.Sub(b.ConfirmedAt())
	b.reading[table], b.failures, b.confirmed[table] = false, 0, now
	if b.lostAt.IsZero() {
		return nil
	}
	away := now.Sub(b.lostAt)
	b.lostAt = time.Time{}
	if silent >= lapseAfter {
		b.holdUntil = now.Add(lapseHold)
	}

	return []Action{StoreRegained{Away: away}}
}

// failed notes that the store did not answer.
func (b *Book) failed(now time.Time, table Table) []Action {
	b.reading[table] = false
	if b.failures == 0 {
		b.failedAt = now
	}
	b.failures++
	if b.failures < lostFailures || !b.lostAt.IsZero() {
		return nil
	}
	b.lostAt = b.failedAt

	return []Action{StoreLost{}}
}

// adoptOrders adopts what operators wrote. Versions of the declaration only
// grow.
func (b *Book) adoptOrders(read OrdersRead) {
	b.after[Orders] = read.At
	if read.At < b.Declared.OrdersAt {
		return
	}
	for _, declaration := range read.Declarations {
		if declaration.Version > b.Declared.Declaration.Version {
			b.Declared.Declaration, b.changed = declaration, true
		}
	}
	evacuated := slices.Clone(read.Evacuated)
	if !read.Full {
		evacuated = append(evacuated, b.Declared.Evacuated...)
	}
	evacuated = slices.DeleteFunc(evacuated, func(name string) bool { return slices.Contains(read.Returned, name) })
	slices.Sort(evacuated)
	evacuated = slices.Compact(evacuated)
	if !slices.Equal(evacuated, b.Declared.Evacuated) {
		b.Declared.Evacuated, b.changed = evacuated, true
	}
	b.Declared.OrdersAt = read.At
}

// adoptRegistrations adopts what backend servers wrote. A registration that went
// missing while the store was away is kept for some time.
func (b *Book) adoptRegistrations(now time.Time, read RegistrationsRead) {
	b.after[Registrations] = read.At
	if read.At<<RevisionBits < b.Declared.RegistrationsAt&^revisionMask {
		return
	}
	listed := map[string]bool{}
	for _, registration := range read.Registered {
		listed[registration.ID] = true
		delete(b.missing, registration.ID)
		known, ok := b.registrations[registration.ID]
		if ok && known.StartedMs > registration.StartedMs {
			continue // an earlier incarnation's late write
		}
		b.changed = b.changed || !ok || material(known) != material(registration)
		b.registrations[registration.ID] = registration
	}
	for _, id := range read.Gone {
		b.remove(now, id)
	}
	if read.Full {
		for id := range b.registrations {
			if !listed[id] {
				b.remove(now, id)
			}
		}
	}
	b.Declared.RegistrationsAt = max(b.Declared.RegistrationsAt, read.At<<RevisionBits)
}

// remove drops a registration, or keeps it for a while if it may have lapsed
// because the store was away.
func (b *Book) remove(now time.Time, id string) {
	if _, ok := b.registrations[id]; !ok {
		return
	}
	if now.Before(b.holdUntil) {
		if _, held := b.missing[id]; !held {
			b.missing[id] = b.holdUntil
		}

		return
	}
	delete(b.registrations, id)
	b.changed = true
}

// dropMissing drops the registrations that did not come back.
func (b *Book) dropMissing(now time.Time) {
	for id, until := range b.missing {
		if !now.Before(until) {
			delete(b.missing, id)
			delete(b.registrations, id)
			b.Declared.RegistrationsAt++
			b.changed = true
		}
	}
}

// heard compares what another host knows with what this host knows.
func (b *Book) heard(now time.Time, peer PeerHeard) []Action {
	delete(b.readers, peer.Name)
	if peer.Reads {
		b.readers[peer.Name] = now
	}
	confirmed := now.Add(-peer.Age)
	if peer.Hash == b.Hash && confirmed.After(b.told) {
		b.told = confirmed
	}
	newer := peer.OrdersAt > b.Declared.OrdersAt || peer.RegistrationsAt > b.Declared.RegistrationsAt
	if !newer {
		return nil
	}
	if peer.Hash == b.Hash && b.Known() {
		b.Declared.OrdersAt = max(b.Declared.OrdersAt, peer.OrdersAt)
		b.Declared.RegistrationsAt = max(b.Declared.RegistrationsAt, peer.RegistrationsAt)

		return nil
	}
	if b.fetching {
		return nil
	}
	b.fetching, b.fetched = true, confirmed

	return []Action{Fetch{Address: peer.Address}}
}

// adoptPeer adopts what another host knows where that is newer.
func (b *Book) adoptPeer(peer schema.Declared) {
	if peer.OrdersAt > b.Declared.OrdersAt && peer.Declaration.Version >= b.Declared.Declaration.Version {
		b.changed = b.changed || peer.Declaration.Version > b.Declared.Declaration.Version ||
			!slices.Equal(peer.Evacuated, b.Declared.Evacuated)
		b.Declared.Declaration, b.Declared.Evacuated, b.Declared.OrdersAt = peer.Declaration, peer.Evacuated, peer.OrdersAt
	}
	if peer.RegistrationsAt <= b.Declared.RegistrationsAt {
		return
	}
	b.registrations = make(map[string]schema.Registration, len(peer.Registrations))
	for _, registration := range peer.Registrations {
		b.registrations[registration.ID] = registration
	}
	clear(b.missing)
	b.Declared.RegistrationsAt, b.changed = peer.RegistrationsAt, true
	if b.fetched.After(b.told) {
		b.told = b.fetched
	}
}

// settle sorts the registrations in force and hashes all that is in force.
func (b *Book) settle() {
	b.Declared.Registrations = make([]schema.Registration, 0, len(b.registrations))
	for _, registration := range b.registrations {
		b.Declared.Registrations = append(b.Declared.Registrations, registration)
	}
	slices.SortFunc(b.Declared.Registrations, func(a, c schema.Registration) int { return cmp.Compare(a.ID, c.ID) })
	b.Hash = hash(b.Declared)
}

// material returns what matters of a registration to those that send work.
func material(registration schema.Registration) schema.Registration {
	registration.ColdLeftMs = 0

	return registration
}

// hash identifies what is declared in 32 bits.
func hash(declared schema.Declared) int {
	digest := xxhash.New()
	write := func(parts ...string) {
		for _, part := range parts {
			_, _ = digest.WriteString(part + "\x00") // a digest takes every write
		}
	}
	write(strconv.Itoa(declared.Declaration.Version))
	write(declared.Evacuated...)
	for _, registration := range declared.Registrations {
		write(registration.ID, registration.Service, registration.Address, registration.DataCentre, strconv.Itoa(registration.Slots),
			strconv.FormatBool(registration.Draining), strconv.Itoa(registration.StartedMs))
	}

	return int(uint32(digest.Sum64())) //nolint:gosec // it is meant to be cut
}
