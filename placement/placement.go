// Package placement decides which backend server runs a call, whether the call
// is queued, retried, hedged or refused, and which backend servers are probed.
// A Placer takes events in and returns actions. It holds no clock, socket,
// goroutine or lock; messages are encoded elsewhere, by the adapter that
// package edge runs with. Change this package to change what callers experience
// under load.
//
// A call takes this path:
//
//   - CallArrived matches a route, which names a service. If the declaration has
//     tenants, the call needs the key of one unless its route is public, and is
//     otherwise unauthorised (Finish). The call is sent to a
//     backend server that is expected to answer within the route's latency
//     objective (Send), queued until a slot is free, or refused (Finish).
//   - While an attempt is in flight, each Ticked estimates its progress. A call
//     that may run twice is hedged when its backend server has slowed down or
//     does not answer.
//   - AttemptEnded with a complete answer ends the call (Finish). After a failure,
//     the call is retried on another backend server if the route and the retry
//     budget allow it.
//   - A call whose deadline passes ends with the failed answer that it received,
//     if any, as unknown if a backend server may have run it, and as not run
//     otherwise.
//
// The pace of a backend server is the ratio of the duration of work there to
// its usual duration: 1 is normal, 2 is half as fast. A cold backend server has
// started recently, or may have, and accepts only a limited rate of calls. The
// machine of a backend server is the computer it runs on, which it may share
// with neighbours.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tenant"
)

// Options configure a placer.
type Options struct {
	// Host is the name of this entry host.
	Host string
	// DataCentre is the data centre of this entry host.
	DataCentre string
	// Seed seeds the random jitter of retry delays.
	Seed uint64
	// Budget bounds the retries and hedges for each service.
	Budget Budget
	// ProbeInterval is the time between probes of a backend server that is in
	// use.
	ProbeInterval time.Duration
	// CrossingCost is the risk of a late answer, per KiB of the answer, that is
	// accepted to keep a call in this host's data centre.
	CrossingCost float64
	// Rollout bounds the exposure of callers to a new version of a service.
	Rollout rollout.Limits
	// QuotaLoans lets this host lend parts of its shares of quotas to others and borrow
	// from them.
	QuotaLoans bool
	// FailClosed says that a key is not accepted while this host does not know whether
	// its declaration is the newest one.
	FailClosed bool
	// Tolerance is the tolerance of the quotas of tenants.
	Tolerance allotment.Tolerance
}

// Placer holds the state of the backend servers as one host knows it, and the
// open calls of that host.
type Placer struct {
	// Options are the options passed to New; BudgetChanged replaces the budget.
	Options Options

	declared      schema.Declared
	routes        routes
	keys          *tenant.Keys
	refusals      refusals
	allotments    *allotment.Allotments
	services      map[string]*service
	servers       map[string]*Server
	serversByHash map[int]*Server
	evacuated     map[string]bool
	// rollouts are the services with a rollout by the hash of their name.
	rollouts map[int]*service
	leaving  map[string]leavingServer
	paused   map[string]pausedServer
	// reportedBy are the backend servers with attempts in flight by the newest report
	// of each other host.
	reportedBy map[string][]*Server
	peers      Peers
	calls      map[CallID]*call
	attempts   map[AttemptID]*attempt
	// hedgeFrom is the position in openCalls at which the next tick looks for hedges.
	hedgeFrom   int
	openCalls   []*call
	crossings   crossingRate
	random      *rand.Rand
	slowdowns   *SlowdownEstimator
	lastAttempt AttemptID
	startedAt   time.Time
	steppedAt   time.Time
	resumedAt   time.Time
	// unconfirmedUntil is zero unless the process resumed and its state is not confirmed yet.
	unconfirmedUntil time.Time
	// currency is what this host last knew about whether its declaration is the newest.
	currency CurrencyChanged
	// frozenUntil is when this process last resumed after a freeze, or zero.
	frozenUntil time.Time
	// stop is zero unless this host stops.
	stop    StopBegun
	actions []Action
}

// New returns a placer without a declaration, which refuses every call.
func New(options Options) *Placer {
	return &Placer{
		Options:       options,
		keys:          tenant.NewKeys(schema.Declaration{}),
		services:      map[string]*service{},
		servers:       map[string]*Server{},
		serversByHash: map[int]*Server{},
		evacuated:     map[string]bool{},
		rollouts:      map[int]*service{},
		leaving:       map[string]leavingServer{},
		paused:        map[string]pausedServer{},
		reportedBy:    map[string][]*Server{},
		calls:         map[CallID]*call{},
		attempts:      map[AttemptID]*attempt{},
		slowdowns:     NewSlowdownEstimator(),
		allotments:    allotment.New(options.Tolerance),
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)), //nolint:gosec // placement needs no secrets
	}
}

// Hash returns the 32-bit hash that identifies a backend server in load reports
// between hosts.
func Hash(id string) int {
	return int(uint32(xxhash.Sum64String(id))) //nolint:gosec // truncation is intended
}

// Open returns the number of calls without an outcome.
func (p *Placer) Open() int {
	return len(p.calls)
}

// Step handles one event and returns the resulting actions, which are valid
// until the next step.
func (p *Placer) Step(now time.Time, event Event) []Action {
	p.actions = p.actions[:0]
	p.noteFreeze(now)
	p.assumeCold(now)
	switch event := event.(type) {
	case CallArrived:
		p.callArrived(now, event)
	case CallerLeft:
		p.abandon(now, event.Call)
	case AttemptEnded:
		p.attemptEnded(now, event)
	case ProbeEnded:
		p.probeEnded(now, event)
	case DeclaredChanged:
		p.applyDeclared(now, event.Declared)
	case CurrencyChanged:
		p.currency = event
	case LoadsReceived:
		p.adoptLoads(now, event)
		p.allotments.Received(now, event.Host, event.Shares)
	case PeersChanged:
		p.adoptPeers(now, event.Peers)
	case BudgetChanged:
		p.adoptBudget(event.Budget)
	case StopBegun:
		p.stop = event
	case Resumed:
		p.unconfirmedUntil = now.Add(confirmationLimit)
	case StateConfirmed:
		p.unconfirmedUntil = time.Time{}
	case RolloutRecorded:
		p.rolloutRecorded(now, event)
	case Ticked:
		p.tick(now)
	}

	return p.actions
}

// adoptPeers replaces the hosts that serve, and what depends on them.
func (p *Placer) adoptPeers(now time.Time, peers Peers) {
	p.peers = peers
	p.allotments.SetSharers(now, peers.Sharers, p.isServing())
	p.allotments.SetPeers(now, peers.names())
	p.forgetReports()
	p.assignMeasuring()
	p.passServing(now)
}

// adoptBudget replaces the retry budget of every service.
func (p *Placer) adoptBudget(budget Budget) {
	p.Options.Budget = budget
	for _, service := range p.services {
		service.budget.adopt(budget)
	}
}

const (
	// freezeThreshold is the time between two steps from which this process
	// counts as frozen: other hosts have taken over its duties by then, and its
	// view of the backend servers is out of date. Steps are 10 ms apart
	// otherwise.
	freezeThreshold = 500 * time.Millisecond
	// staleInputWindow is how long after a freeze load reports are discarded,
	// because they may have arrived during the freeze: one round of reports
	// between hosts.
	staleInputWindow = 100 * time.Millisecond
)

// assumeCold marks every backend server as cold after this process was frozen,
// until a measurement from after the freeze says otherwise.
func (p *Placer) assumeCold(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
		if p.Options.QuotaLoans {
			p.allotments.BeginSharing(now, p.Options.Host)
		}
	}
	if len(p.servers) > 0 && now.Sub(p.steppedAt) >= freezeThreshold {
		p.resumedAt = now
		for _, server := range p.servers {
			server.suspectCold(now, p.services[server.Service].Rule)
		}
		p.resumeRollouts(now)
	}
	p.steppedAt = now
}

// tick updates the progress of attempts, ends expired calls, sends queued
// calls, hedges slow calls and emits probes.
func (p *Placer) tick(now time.Time) {
	p.updateProgress(now)
	p.expire(now)
	p.concludeAll(now)
	p.tickRollouts(now)
	for _, service := range p.services {
		p.drainQueue(now, service, len(service.queue))
	}
	p.hedgeAll(now)
	p.probe(now)
}

func (p *Placer) emit(action Action) {
	p.actions = append(p.actions, action)
}

// applyDeclared adopts the declared state. The backend servers of a data centre
// that is no longer evacuated count as cold.
func (p *Placer) applyDeclared(now time.Time, declared schema.Declared) {
	before, registeredBefore := p.evacuated, p.declared.Registrations
	p.evacuated = map[string]bool{}
	for _, dataCentre := range declared.Evacuated {
		p.evacuated[dataCentre] = true
	}
	replaced := declared.Declaration.Version != p.declared.Declaration.Version
	if replaced {
		rulesBefore := rules{}
		if p.declared.Declaration.Version != 0 {
			rulesBefore = rules{routes: p.routes, keys: p.keys}
		}
		p.routes = newRoutes(declared.Declaration.Routes, p.routes)
		p.keys = tenant.NewKeys(declared.Declaration)
		p.noteReplaced(now, declared.Declaration.Version, rulesBefore)
		p.allotments.Apply(now, declared.Declaration.Tenants)
	}
	p.declared = declared
	for _, service := range p.services {
		service.counted = nil
	}
	if replaced {
		p.endWithdrawn(now)
	}
	for _, rule := range declared.Declaration.Services {
		p.service(rule.Name).Rule = rule
	}
	p.applyRegistrations(now, registeredBefore, declared.Registrations)
	p.applyOrders(now, declared.Rollouts)
	p.forgetNotices(now)
	for dataCentre := range before {
		if !p.evacuated[dataCentre] {
			p.suspectColdDataCentre(now, dataCentre)
		}
	}
}

// suspectColdDataCentre marks the backend servers of a data centre as cold.
func (p *Placer) suspectColdDataCentre(now time.Time, dataCentre string) {
	for _, server := range p.servers {
		if server.DataCentre == dataCentre {
			server.suspectCold(now, p.services[server.Service].Rule)
		}
	}
}

// applyRegistrations applies the differences between two lists of registrations,
// both sorted by ID.
func (p *Placer) applyRegistrations(now time.Time, before, after []schema.Registration) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].ID < after[0].ID:
			if server, known := p.servers[before[0].ID]; known {
				p.unregister(server)
			}
			before = before[1:]
		case len(before) == 0 || after[0].ID < before[0].ID:
			p.applyRegistration(now, after[0])
			after = after[1:]
		default:
			if before[0] != after[0] {
				p.applyRegistration(now, after[0])
			}
			before, after = before[1:], after[1:]
		}
	}
}

// applyRegistration adds a backend server, or replaces one that restarted or changed
// its service.
func (p *Placer) applyRegistration(now time.Time, registration schema.Registration) {
	service := p.service(registration.Service)
	server, known := p.servers[registration.ID]
	if !known || server.StartedMs != registration.StartedMs || server.Service != registration.Service {
		if known {
			p.unregister(server)
		}
		server = newServer(now, registration, service)
		server.spread = spreadShare(p.Options.Host, registration.ID)
		p.servers[registration.ID] = server
		p.serversByHash[Hash(registration.ID)] = server
		service.servers = append(service.servers, server)
		p.resumeNotices(server)
	}
	server.Registration = registration
	server.Measured = p.isServing() && p.measuringHost(server) == p.Options.Host
}

// unregister removes a backend server. Its attempts in flight continue.
func (p *Placer) unregister(server *Server) {
	delete(p.servers, server.ID)
	if p.serversByHash[Hash(server.ID)] == server {
		delete(p.serversByHash, Hash(server.ID))
	}
	service := p.service(server.Service)
	service.servers = slices.DeleteFunc(service.servers, func(other *Server) bool { return other == server })
}

// service returns the state of a service and creates it on first use.
func (p *Placer) service(name string) *service {
	known, ok := p.services[name]
	if !ok {
		known = newService(name, p.Options.Budget, p.startedAt)
		p.services[name] = known
	}

	return known
}
