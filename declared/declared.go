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
	// MaxReadWait is how long a read waits for a change. A read that the store never
	// answers ends less than three seconds after the store is back, when changes
	// count again.
	MaxReadWait = 2 * time.Second
	// targetReaders is the number of hosts that read the store, so that one that is
	// turned away does not leave the others without news.
	targetReaders = 2
	// staleAfter is how long what a host knows may be unconfirmed until it reads
	// the store itself.
	staleAfter = MaxReadWait + 1500*time.Millisecond
	// firstReadDelay is the time for which a host that knows nothing waits for others
	// to tell it.
	firstReadDelay = 40 * time.Millisecond
	// readerTimeout is how long after it was last heard a host that reads counts as
	// one.
	readerTimeout = 2500 * time.Millisecond
	// rankDelayStep is what each rank waits longer, so that one host after the other
	// begins to read.
	rankDelayStep = 150 * time.Millisecond
	// linearRanks is the number of hosts that follow each other by rankDelayStep when too
	// few are answered; the wait doubles from there on. A store that turns every
	// second host away answers one of them but for one time in sixteen.
	linearRanks = 4
	// maxRankDelay bounds that wait.
	maxRankDelay = 10 * time.Second
	// peerDiscoveryPeriod is the time after its start in which a host meets the others, so that
	// it knows whether they read.
	peerDiscoveryPeriod = 300 * time.Millisecond
	// readerDiscoveryPeriod is the time after its start in which a host hears from those that
	// read: beacons to hosts that do not serve come each second.
	readerDiscoveryPeriod = 1500 * time.Millisecond
	// minReadInterval is the time between two reads of a table, which bounds the calls
	// when many changes come one after the other.
	minReadInterval = 150 * time.Millisecond
	// minRetryDelay is the time before a failed read is tried again; it doubles with
	// each failure up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	// maxRetryDelay bounds that time.
	maxRetryDelay = 1500 * time.Millisecond
	// RevisionBits is the number of bits by which a store's version is shifted in
	// Declared.RegistrationsAt, so that what a host drops by itself has a place
	// between two versions of the store.
	RevisionBits = 10
	// lapseThreshold is how long a host must have been without news until registrations
	// that went missing may have lapsed: less than three heartbeats.
	lapseThreshold = 3 * time.Second
	// failuresUntilLost is the number of reads in a row that must fail until the store
	// counts as away; a single one may be an idle connection that was closed.
	failuresUntilLost = 2
	// lapsedRetention is how long a registration that went missing while the store was
	// away is kept after its return. Live backend servers register again within
	// two seconds.
	lapsedRetention = 2200 * time.Millisecond
)

// revisionMask are the bits of a revision that do not come from the store.
const revisionMask = 1<<RevisionBits - 1

// Replica is what one host knows to be declared.
type Replica struct {
	// Declared is what is in force.
	Declared schema.Declared
	// Hash identifies it.
	Hash int

	registrations map[string]schema.Registration
	missing       map[string]time.Time
	history       history
	// deltaMismatch says that a peer's changes did not fit what this host knows.
	deltaMismatch     bool
	reading           [2]bool
	readAt            [2]time.Time
	after             [2]int
	startedAt         time.Time
	readConfirmedAt   [2]time.Time
	peerConfirmedAt   time.Time
	fetchConfirmedAt  time.Time
	retainLapsedUntil time.Time
	failures          int
	failedAt          time.Time
	lostAt            time.Time
	fetching          bool
	fetchedFrom       string
	rank              RankChanged
	readerHeardAt     map[string]time.Time
	// readersShortSince is since when fewer hosts than readers ahead of this one read the
	// store, or zero.
	readersShortSince time.Time
	changed           bool
}

// NewReplica returns a book that knows nothing and reads the store at once.
func NewReplica() *Replica {
	return &Replica{
		registrations: map[string]schema.Registration{}, missing: map[string]time.Time{}, readerHeardAt: map[string]time.Time{},
		history: newHistory(0),
	}
}

// Known reports whether both orders and registrations are known.
func (r *Replica) Known() bool {
	return r.Declared.Declaration.Version > 0 && r.Declared.RegistrationsAt > 0
}

// Step reacts to one event.
func (r *Replica) Step(now time.Time, event Event) []Action {
	r.changed = false
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	var actions []Action
	switch event := event.(type) {
	case OrdersRead:
		actions = r.noteReadSuccess(now, Orders)
		r.adoptOrders(event)
	case RegistrationsRead:
		actions = r.noteReadSuccess(now, Registrations)
		r.adoptRegistrations(now, event)
	case HistoryLost:
		r.reading[event.Table], r.after[event.Table], r.readAt[event.Table] = false, 0, time.Time{}
	case ReadFailed:
		actions = r.noteReadFailure(now, event.Table)
	case PeerStateHeard:
		actions = r.comparePeer(now, event)
	case PeerAnswered:
		actions = r.adoptAnswer(event.Answer)
	case FetchFailed:
		r.fetching = false
	case RankChanged:
		r.rank = event
	case Ticked:
	}
	r.dropMissing(now)
	if r.changed {
		r.updateHash()
		actions = append(actions, Changed{Declared: r.Declared})
	}

	return append(actions, r.dueReads(now)...)
}

// updateHash sorts the registrations in force and hashes all that is in force.
func (r *Replica) updateHash() {
	r.Declared.Registrations = sorted(r.registrations)
	r.Hash = hash(r.Declared)
}

// sorted returns registrations by their ID.
func sorted(registrations map[string]schema.Registration) []schema.Registration {
	list := slices.Collect(maps.Values(registrations))
	slices.SortFunc(list, func(a, c schema.Registration) int { return cmp.Compare(a.ID, c.ID) })

	return list
}

// withoutVolatileFields returns what matters of a registration to those that send work.
func withoutVolatileFields(registration schema.Registration) schema.Registration {
	registration.ColdLeftMs = 0

	return registration
}

// hash identifies what is declared in 32 bits.
func hash(declared schema.Declared) int {
	digest := xxhash.New()
	writeStrings(digest, strconv.Itoa(declared.Declaration.Version))
	writeStrings(digest, declared.Evacuated...)
	writeStrings(digest, strconv.Itoa(hashRegistrations(declared.Registrations)))

	return truncate(digest)
}

// hashRegistrations identifies registrations, which are sorted, in 32 bits.
func hashRegistrations(registrations []schema.Registration) int {
	digest := xxhash.New()
	for _, registration := range registrations {
		writeStrings(digest, registration.ID, registration.Service, registration.Address, registration.DataCentre, strconv.Itoa(registration.Slots),
			strconv.FormatBool(registration.Draining), strconv.Itoa(registration.StartedMs))
	}

	return truncate(digest)
}

// writeStrings adds texts to a digest.
func writeStrings(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = digest.WriteString(text + "\x00") // a digest takes every write
	}
}

// truncate returns the lower 32 bits of a digest.
func truncate(digest *xxhash.Digest) int {
	return int(uint32(digest.Sum64())) //nolint:gosec // it is meant to be cut
}
