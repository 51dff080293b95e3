// Package declared maintains a host's replica of the declared state: the
// operators' orders (declaration, evacuations and rollouts) and the backend servers'
// registrations. Operators' orders are unrelated to the orders of package caller.
// It takes in the results of store reads and the state of peers, and returns the
// reads and fetches to start and the state in force. It holds no clock, socket,
// goroutine or lock. Change this package to change which state a host uses after
// the store or a peer was unavailable.
package declared

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// DefaultBound is the time within which a change must be in force if nothing else
	// is agreed.
	DefaultBound = 2 * time.Second
	// minReadWait and maxReadWait limit how long a read waits for a change, whatever the
	// bound.
	minReadWait = 250 * time.Millisecond
	maxReadWait = 2 * time.Second
	// minReaderTimeout exceeds the interval of beacons to hosts that do not serve.
	minReaderTimeout = 1250 * time.Millisecond
	// targetReaders is the number of hosts that read the store. With more than one,
	// the other hosts still get changes if the store rejects a reader.
	targetReaders = 2
	// answerAllowance is the time by which an answer of the store may exceed the wait of
	// its read. It includes minReadInterval.
	answerAllowance = 250 * time.Millisecond
	// earlyReadDelay is how long an early host waits for its peers before it reads the
	// store.
	earlyReadDelay = 40 * time.Millisecond
	// firstReadDelay is how long a host without state waits for its peers before it
	// reads the store. Each host ahead adds rankDelayStep, or laterReadDelay.
	firstReadDelay = 400 * time.Millisecond
	// laterReadDelay is the additional wait of each rank behind the first readers. There
	// may be no declaration yet when hosts start; those that read learn of it first, and
	// the others from them.
	laterReadDelay = 1500 * time.Millisecond
	// rankDelayStep is the additional wait of each rank, so that hosts begin to read
	// one after the other.
	rankDelayStep = 150 * time.Millisecond
	// linearRanks is the number of ranks that follow each other by rankDelayStep when
	// too few readers get answers; the wait doubles from there on. If the store
	// rejects every second host, all of these ranks are rejected in one case out of
	// sixteen.
	linearRanks = 4
	// takeoverStep is the additional wait of each rank if no host reads the store.
	takeoverStep = 20 * time.Millisecond
	// takeoverRanks is the number of ranks that follow each other by takeoverStep; the
	// wait doubles from there on.
	takeoverRanks = 16
	// maxRankDelay bounds the wait of a rank.
	maxRankDelay = 10 * time.Second
	// peerDiscoveryPeriod is the time after its start within which a host discovers its
	// peers and whether they read.
	peerDiscoveryPeriod = 300 * time.Millisecond
	// readerDiscoveryPeriod is the time after its start within which a host hears
	// from the readers: hosts that do not serve receive beacons once a second.
	readerDiscoveryPeriod = 1500 * time.Millisecond
	// minReadInterval is the minimum time between two reads of a table. It bounds the
	// calls to the store when many changes follow each other.
	minReadInterval = 150 * time.Millisecond
	// minRetryDelay is the back-off after the first failed read; it doubles with each
	// failure up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	// maxRetryDelay bounds the back-off after failed reads.
	maxRetryDelay = 1500 * time.Millisecond
	// retryStep is the mean time between the reads of all hosts behind the first ones while
	// the store answers nobody.
	retryStep = 100 * time.Millisecond
	// maxSharedRetryDelay bounds the mean time between two reads of one such host.
	maxSharedRetryDelay = 30 * time.Second
	// lapseThreshold is the time without confirmation from which missing registrations
	// may have lapsed because of an outage: less than three heartbeats.
	lapseThreshold = 3 * time.Second
	// failuresUntilLost is the number of consecutive failed reads from which the store
	// counts as unavailable; a single failure may be a closed idle connection.
	failuresUntilLost = 2
	// lapsedRetention is how long after an outage a host keeps a registration that went
	// missing meanwhile. Live backend servers register again within
	// two seconds.
	lapsedRetention = 2200 * time.Millisecond
)

// timing holds the times that follow from the bound within which a change must be
// in force. The last confirmation by the store is at most readWait + answerAllowance
// old until its readers report that they get no answers; another host must then read
// the change and pass it on in the rest of the bound.
type timing struct {
	// readWait is how long a read waits for a change.
	readWait time.Duration
	// readerTimeout is how long a host counts as a reader after it last reported that
	// it reads.
	readerTimeout time.Duration
	// behindTimeout is how long a host tries to fetch a newer state from others before
	// it reads the store itself.
	behindTimeout time.Duration
	// staleAfter is how long a host's state may stay unconfirmed before the host reads
	// the store itself, although others report that they read it.
	staleAfter time.Duration
}

// newTiming returns the times for a bound.
func newTiming(bound time.Duration) timing {
	return timing{
		readWait: min(max(bound/2, minReadWait), maxReadWait), readerTimeout: max(bound*5/8, minReaderTimeout),
		behindTimeout: bound / 4, staleAfter: bound * 3 / 2,
	}
}

// retainedRegistration is a registration that may have lapsed only because the store
// was unavailable.
type retainedRegistration struct {
	registration schema.Registration
	until        time.Time
}

// mismatch says which of a peer's changes, applied to this replica, did not yield the
// peer's state.
type mismatch struct {
	declaration, registrations bool
}

// Replica is one host's replica of the declared state.
type Replica struct {
	// Declared is the state in force.
	Declared schema.Declared
	// Hash identifies the state in force.
	Hash int
	// Early says that others are likely to depend on this host's state: it serves, or
	// they have its address in their settings.
	Early bool

	timing        timing
	registrations registrationSet
	departures    departures
	// evacuated and rollouts are those of the store; those in force contain the retained
	// ones too.
	evacuated      []string
	rollouts       []schema.RolloutOrder
	retainedOrders retainedOrders
	// retained are registrations that the store no longer has and that stay in force.
	retained map[string]retainedRegistration
	history  history[schema.StoreVersion]
	// declarationIndex describes the declaration in force, and declarationHistory holds the
	// versions in which its entries changed.
	declarationIndex   declarationIndex
	declarationHistory history[int]
	mismatch           mismatch
	reading            [2]bool
	readAt             [2]time.Time
	historyLost        [2]bool
	startedAt          time.Time
	// readConfirmedAt is when the last answer of the store for each table arrived, and
	// answeredAt when it was handled.
	readConfirmedAt, answeredAt [2]time.Time
	// peerConfirmedAt is the latest time at which the store confirmed this host's state to a
	// peer. peerCertainAt leaves out what may have waited while this process was held up.
	peerConfirmedAt, peerCertainAt time.Time
	// confirmedFrom is when the last answered read of each table began.
	confirmedFrom [2]time.Time
	// equalHeardAt is when a beacon of a peer with a fresh state that equals this host's
	// last arrived.
	equalHeardAt      time.Time
	retainLapsedUntil time.Time
	failures          int
	// firstFailedAt and failedAt are when the first and the last of the consecutive failed
	// reads ended.
	firstFailedAt, failedAt time.Time
	lostAt                  time.Time
	fetching                bool
	fetchedFrom             peerState
	rank                    RankChanged
	ahead                   map[string]bool
	// readerHeardAt is when a host last said that it reads the store.
	readerHeardAt time.Time
	readerSeenAt  map[string]time.Time
	// readersShortSince is the time since which fewer than targetReaders hosts ahead of
	// this one read the store, or zero.
	readersShortSince time.Time
	// unreadSince is the time since which no host ahead of this one reads the store, or
	// zero.
	unreadSince time.Time
	// heardAt is when a beacon of another host was last handled.
	heardAt time.Time
	// newer are the states of peers that are newer than this host's, by name.
	newer map[string]peerState
	// ordersAnnounced and declarationAnnounced are the newest versions of the orders and
	// of the declaration that a peer has announced.
	ordersAnnounced      schema.StoreVersion
	declarationAnnounced int
	// behindSince is the time since which this host knows of a newer state, or zero.
	behindSince time.Time
	changed     bool
	// unconfirmed is the time since the store had confirmed this host's state before the
	// event being applied.
	unconfirmed time.Duration
	// behind is the time since this host knew of a newer state before that event, or 0.
	behind time.Duration
	// steppedAt is the time of the last step, and heldUpUntil when this process last
	// resumed after it had been held up, or zero.
	steppedAt, heldUpUntil time.Time
}

// NewReplica returns an empty replica of a host at which a change must be in force
// within a bound. Unless a peer provides the state first, it reads the store after
// firstReadDelay plus rankDelayStep for each host ahead.
func NewReplica(bound time.Duration) *Replica {
	return &Replica{
		timing: newTiming(bound), registrations: newRegistrationSet(nil), departures: newDepartures(), retained: map[string]retainedRegistration{},
		readerSeenAt: map[string]time.Time{}, newer: map[string]peerState{}, history: newHistory(schema.StoreVersion{}),
	}
}

// HasState reports whether both orders and registrations are known.
func (r *Replica) HasState() bool {
	return r.Declared.Declaration.Version > 0 && !r.Declared.RegistrationsAt.IsZero()
}

// Step applies one event and returns the actions that follow from it, including
// the reads that are due.
func (r *Replica) Step(now time.Time, event Event) []Action {
	r.changed, r.unconfirmed, r.behind = false, now.Sub(r.ConfirmedAt()), 0
	if !r.behindSince.IsZero() {
		r.behind = now.Sub(r.behindSince)
	}
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.noteHeldUp(now)
	before := [2]schema.StoreVersion{Orders: r.Declared.OrdersAt, Registrations: r.Declared.RegistrationsAt}
	var actions []Action
	switch event := event.(type) {
	case OrdersRead:
		actions = r.readOrders(now, event)
	case RegistrationsRead:
		actions = r.readRegistrations(now, event)
	case HistoryLost:
		r.reading[event.Table] = false
		actions = r.noteHistoryLost(event.Table)
	case ReadFailed:
		actions = r.noteReadFailure(now, event.Table)
	case PeerStateReceived:
		actions = r.comparePeer(now, event)
	case PeerAnswered:
		actions = r.adoptAnswer(now, event.Answer)
	case FetchFailed:
		r.fetching = false
		delete(r.newer, r.fetchedFrom.name)
		actions = r.nextFetch()
	case RankChanged:
		r.rank = event
		r.ahead = make(map[string]bool, len(event.Ahead))
		for _, name := range event.Ahead {
			r.ahead[name] = true
		}
	case Ticked:
	}
	actions = append(actions, r.reportRestored(before)...)
	r.dropRetained(now)
	if r.changed {
		r.updateHash()
		actions = append(actions, r.changedBy(event))
	}

	return append(actions, r.dueReads(now)...)
}

// changedBy returns the report of a change that an event caused.
func (r *Replica) changedBy(event Event) Action {
	changed := Changed{Declared: r.Declared, Unconfirmed: r.unconfirmed, Behind: r.behind}
	if _, fetched := event.(PeerAnswered); fetched {
		changed.Peer = r.fetchedFrom.name
	}

	return changed
}

// updateHash updates the state in force and its hash, which leaves out what only this
// host retains.
func (r *Replica) updateHash() {
	r.Declared.Registrations = r.inForce()
	r.Hash = hash(r.Declared.Declaration.Version, r.evacuated, r.registrations.hash(), r.rollouts)
}

// withoutVolatileFields returns a registration without the fields whose changes do
// not matter to hosts that dispatch calls.
func withoutVolatileFields(registration schema.Registration) schema.Registration {
	registration.ColdLeftMs = 0

	return registration
}

// hash returns a 32-bit hash of the declared state.
func hash(version int, evacuated []string, registrations int, rollouts []schema.RolloutOrder) int {
	digest := xxhash.New()
	writeStrings(digest, strconv.Itoa(version))
	writeStrings(digest, evacuated...)
	writeStrings(digest, strconv.Itoa(registrations))
	for _, order := range rollouts {
		writeStrings(digest, order.Service, order.Target, strconv.Itoa(order.DurationMs), strconv.Itoa(order.OrderVersion.Epoch), strconv.Itoa(order.OrderVersion.Version))
	}

	return int(uint32(digest.Sum64())) //nolint:gosec // truncation is intended
}

// writeStrings adds null-terminated strings to a digest.
func writeStrings(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = digest.WriteString(text + "\x00") // writing to a digest cannot fail
	}
}
