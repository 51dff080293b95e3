// Package declared decides what of the operators' orders and the backend
// servers' registrations is in force at a host, and when the platform's store
// is read. It holds no clock, socket, goroutine or lock. Change this package to
// change what a host believes after the store or a peer was away.
package declared

import (
	"cmp"
	"maps"
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
	// evenTurns is the number of hosts that follow each other by rankStep when too
	// few are answered; the wait doubles from there on. A store that turns every
	// second host away answers one of them but for one time in sixteen.
	evenTurns = 4
	// longestTurn bounds that wait.
	longestTurn = 10 * time.Second
	// meetFor is the time after its start in which a host meets the others, so that
	// it knows whether they read.
	meetFor = 300 * time.Millisecond
	// hearFor is the time after its start in which a host hears from those that
	// read: beacons to hosts that do not serve come each second.
	hearFor = 1500 * time.Millisecond
	// watchPause is the time between two reads of a table, which bounds the calls
	// when many changes come one after the other.
	watchPause = 150 * time.Millisecond
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

// Book is what one host knows to be declared.
type Book struct {
	// Declared is what is in force.
	Declared schema.Declared
	// Hash identifies it.
	Hash int

	registrations map[string]schema.Registration
	missing       map[string]time.Time
	history       history
	// unfit says that a peer's changes did not fit what this host knows.
	unfit       bool
	reading     [2]bool
	readAt      [2]time.Time
	after       [2]int
	startedAt   time.Time
	confirmed   [2]time.Time
	told        time.Time
	fetched     time.Time
	holdUntil   time.Time
	failures    int
	failedAt    time.Time
	lostAt      time.Time
	fetching    bool
	fetchedFrom string
	role        RoleChanged
	readers     map[string]time.Time
	// shortSince is since when fewer hosts than readers ahead of this one read the
	// store, or zero.
	shortSince time.Time
	changed    bool
}

// NewBook returns a book that knows nothing and reads the store at once.
func NewBook() *Book {
	return &Book{
		registrations: map[string]schema.Registration{}, missing: map[string]time.Time{}, readers: map[string]time.Time{},
		history: newHistory(0),
	}
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
		actions = b.answered(event.Answer)
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

// settle sorts the registrations in force and hashes all that is in force.
func (b *Book) settle() {
	b.Declared.Registrations = sorted(b.registrations)
	b.Hash = hash(b.Declared)
}

// sorted returns registrations by their ID.
func sorted(registrations map[string]schema.Registration) []schema.Registration {
	list := slices.Collect(maps.Values(registrations))
	slices.SortFunc(list, func(a, c schema.Registration) int { return cmp.Compare(a.ID, c.ID) })

	return list
}

// material returns what matters of a registration to those that send work.
func material(registration schema.Registration) schema.Registration {
	registration.ColdLeftMs = 0

	return registration
}

// hash identifies what is declared in 32 bits.
func hash(declared schema.Declared) int {
	digest := xxhash.New()
	write(digest, strconv.Itoa(declared.Declaration.Version))
	write(digest, declared.Evacuated...)
	write(digest, strconv.Itoa(hashRegistrations(declared.Registrations)))

	return cut(digest)
}

// hashRegistrations identifies registrations, which are sorted, in 32 bits.
func hashRegistrations(registrations []schema.Registration) int {
	digest := xxhash.New()
	for _, registration := range registrations {
		write(digest, registration.ID, registration.Service, registration.Address, registration.DataCentre, strconv.Itoa(registration.Slots),
			strconv.FormatBool(registration.Draining), strconv.Itoa(registration.StartedMs))
	}

	return cut(digest)
}

// write adds texts to a digest.
func write(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = digest.WriteString(text + "\x00") // a digest takes every write
	}
}

// cut returns the lower 32 bits of a digest.
func cut(digest *xxhash.Digest) int {
	return int(uint32(digest.Sum64())) //nolint:gosec // it is meant to be cut
}
