// Package placement decides which backend server runs a call, when a call
// waits, is sent a second time or is refused, and which backend servers are
// measured. It holds no clock, socket, goroutine or lock: events go in, actions
// come out. Change this package to change what callers experience under load.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Options are what a placer is made with.
type Options struct {
	// Host is this entry host's name.
	Host string
	// DataCentre is where this entry host runs.
	DataCentre string
	// Seed seeds the random choices.
	Seed uint64
	// Budget bounds repeated sends to each service.
	Budget Budget
	// ProbeInterval is the time between probes of a backend server that is in use.
	ProbeInterval time.Duration
	// CrossingCost is the risk of a late answer that is accepted for each KiB of an
	// answer to keep the call in this host's data centre.
	CrossingCost float64
}

// Placer is one host's knowledge of backend servers and its open calls.
type Placer struct {
	// Options are what the placer was made with.
	Options Options

	declared      schema.Declared
	routes        routes
	services      map[string]*service
	servers       map[string]*Server
	serversByHash map[int]*Server
	evacuated     map[string]bool
	peers         Peers
	calls         map[CallID]*call
	attempts      map[AttemptID]*attempt
	openCalls     []*call
	random        *rand.Rand
	slowdowns     *SlowdownEstimator
	lastAttempt   AttemptID
	startedAt     time.Time
	steppedAt     time.Time
	resumedAt     time.Time
	actions       []Action
}

// New returns a placer that knows nothing and refuses every call.
func New(options Options) *Placer {
	return &Placer{
		Options:       options,
		services:      map[string]*service{},
		servers:       map[string]*Server{},
		serversByHash: map[int]*Server{},
		evacuated:     map[string]bool{},
		calls:         map[CallID]*call{},
		attempts:      map[AttemptID]*attempt{},
		slowdowns:     NewSlowdownEstimator(),
		random:        rand.New(rand.NewPCG(options.Seed, options.Seed)), //nolint:gosec // placement needs no secrets
	}
}

// Hash returns the 32-bit hash by which hosts name a backend server to each
// other.
func Hash(id string) int {
	return int(uint32(xxhash.Sum64String(id))) //nolint:gosec // it is meant to be cut
}

// Open returns the number of calls without an outcome.
func (p *Placer) Open() int {
	return len(p.calls)
}

// Step reacts to one event. The actions are valid until the next step.
func (p *Placer) Step(now time.Time, event Event) []Action {
	p.actions = p.actions[:0]
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
	case LoadsHeard:
		p.adoptLoads(now, event)
	case PeersChanged:
		p.peers = event.Peers
		p.assignMeasuring()
	case BudgetChanged:
		p.Options.Budget = event.Budget
		for _, service := range p.services {
			service.budget.adopt(event.Budget)
		}
	case Ticked:
		p.tick(now)
	}

	return p.actions
}

const (
	// freezeThreshold is the time between two steps from which this process stood
	// still: other hosts have taken over its duties by then, and what it knows of
	// backend servers is no longer true. Steps are 10 ms apart otherwise.
	freezeThreshold = 500 * time.Millisecond
	// staleInputWindow is how long this process reads, after it stood still, what arrived
	// meanwhile: a round of reports between hosts.
	staleInputWindow = 100 * time.Millisecond
)

// assumeCold treats every backend server as cold after this process stood still, until
// a measurement made since then tells.
func (p *Placer) assumeCold(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	if len(p.servers) > 0 && now.Sub(p.steppedAt) >= freezeThreshold {
		p.resumedAt = now
		for _, server := range p.servers {
			server.suspectCold(now, p.services[server.Service].Rule)
		}
	}
	p.steppedAt = now
}

// tick follows the calls in flight, ends those whose time is over, starts those
// that wait and measures.
func (p *Placer) tick(now time.Time) {
	p.updateProgress(now)
	p.expire(now)
	for _, service := range p.services {
		p.drainQueue(now, service)
	}
	p.hedgeAll(now)
	p.probe(now)
}

// emit adds an action.
func (p *Placer) emit(action Action) {
	p.actions = append(p.actions, action)
}

// applyDeclared adopts what operators and backend servers have declared.
func (p *Placer) applyDeclared(now time.Time, declared schema.Declared) {
	before := p.evacuated
	p.evacuated = map[string]bool{}
	for _, dataCentre := range declared.Evacuated {
		p.evacuated[dataCentre] = true
	}
	if declared.Declaration.Version != p.declared.Declaration.Version {
		p.routes = newRoutes(declared.Declaration.Routes, p.routes)
	}
	p.declared = declared
	for _, rule := range declared.Declaration.Services {
		p.service(rule.Name).Rule = rule
	}
	p.applyRegistrations(now, declared.Registrations)
	p.assignMeasuring()
	for _, server := range p.servers {
		if before[server.DataCentre] && !p.evacuated[server.DataCentre] {
			server.suspectCold(now, p.services[server.Service].Rule)
		}
	}
}

// applyRegistrations adopts the registered backend servers.
func (p *Placer) applyRegistrations(now time.Time, registrations []schema.Registration) {
	listed := make(map[string]bool, len(registrations))
	for _, registration := range registrations {
		listed[registration.ID] = true
		service := p.service(registration.Service)
		server, known := p.servers[registration.ID]
		if !known || server.StartedMs != registration.StartedMs || server.Service != registration.Service {
			if known {
				p.unregister(server)
			}
			server = newServer(now, registration, service)
			p.servers[registration.ID] = server
			p.serversByHash[Hash(registration.ID)] = server
			service.servers = append(service.servers, server)
		}
		server.Registration = registration
	}
	for id, server := range p.servers {
		if !listed[id] {
			p.unregister(server)
		}
	}
}

// unregister removes a backend server. Its attempts go on.
func (p *Placer) unregister(server *Server) {
	delete(p.servers, server.ID)
	if p.serversByHash[Hash(server.ID)] == server {
		delete(p.serversByHash, Hash(server.ID))
	}
	service := p.service(server.Service)
	service.servers = slices.DeleteFunc(service.servers, func(other *Server) bool { return other == server })
}

// service returns the state of a service, which is made when it is first named.
func (p *Placer) service(name string) *service {
	known, ok := p.services[name]
	if !ok {
		known = newService(name, p.Options.Budget, p.startedAt)
		p.services[name] = known
	}

	return known
}
