package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// fleetStep is the time between two looks at a simulated fleet.
	fleetStep = time.Millisecond
	// fleetTick is the time between ticks of each host.
	fleetTick = 10 * time.Millisecond
	// fleetBeacon is the time between the hosts' reports to each other.
	fleetBeacon = 50 * time.Millisecond
	// fleetDelay is the time between a host and a backend server, one way.
	fleetDelay = time.Millisecond
	// fleetHostName is the host name of the only route.
	fleetHostName = "fleet.example"
)

// Fleet is a simulated set of entry hosts and backend servers of one service.
// The hosts are the product's decisions; the backend servers shift their speed,
// turn cold, refuse, reset and lose answers as they are told.
type Fleet struct {
	// Seed seeds all random choices.
	Seed uint64
	// DataCentres is the number of data centres, each with one serving host.
	DataCentres int
	// Servers is the number of backend servers, spread over the data centres.
	Servers int
	// Slots is the number of calls that each runs at once.
	Slots int
	// Queue is the number of calls that wait at each; more are refused or reset.
	Queue int
	// Crowding is how much longer work lasts while all slots of a backend server
	// are taken, or 0 if it does not.
	Crowding float64
	// ResetWhenFull resets further calls instead of refusing them.
	ResetWhenFull bool
	// Work is the mean duration of a call at usual pace.
	Work time.Duration
	// Spread is the relative deviation of the work.
	Spread float64
	// SlowShare is the share of time in which a backend server is slow.
	SlowShare float64
	// SlowFactor is how much longer work takes then.
	SlowFactor float64
	// ShiftEvery is the mean time between changes of pace.
	ShiftEvery time.Duration
	// Rate is the number of calls a second, over all hosts.
	Rate float64
	// Burst is the factor of the rate in the middle third of the time.
	Burst float64
	// Length is the simulated time.
	Length time.Duration
	// Route is the only route; its targets are set by the simulation.
	Route schema.Route
	// Options are those of each host but for its name and data centre.
	Options placement.Options
	// ColdPerSecond is the number of calls a second that a cold backend server
	// bears; more make it fall over.
	ColdPerSecond float64
	// ColdAt is when a third of the backend servers turns cold, or 0.
	ColdAt time.Duration
	// ColdFor is how long they stay cold.
	ColdFor time.Duration
	// Refusing is the share of calls that every second backend server refuses in
	// the middle third of the time.
	Refusing float64
	// Losing is the share of answers that are lost in the middle third.
	Losing float64
	// Dark silences every fourth backend server in the middle third of the time.
	Dark bool
	// NoLoad hides the load reports.
	NoLoad bool
	// Deafness is the share of reports between hosts that are lost.
	Deafness float64
	// Troubles happen to the hosts.
	Troubles []FleetTrouble

	now      time.Time
	begun    time.Time
	declared schema.Declared
	random   *rand.Rand
	hosts    []*fleetHost
	servers  []*fleetServer
	calls    map[fleetCall]*fleetState
	last     placement.CallID
	beaconAt,
	tickAt time.Time
	due    float64
	result FleetResult
	sends  []time.Time
	asked  []time.Time
	misses []fleetMiss
}

// FleetResult is what callers and backend servers of a fleet saw.
type FleetResult struct {
	// Calls is the number of calls that arrived.
	Calls int
	// InTime counts answers within the latency objective.
	InTime int
	// Late counts later answers.
	Late int
	// NotRun counts calls that were refused.
	NotRun int
	// Unknown counts calls that may have run without an answer.
	Unknown int
	// Sends counts sends.
	Sends int
	// Repeats counts sends beyond the first of each call.
	Repeats int
	// WorstRepeats is the largest excess of repeats over the agreed budget in any
	// window; it must not be positive.
	WorstRepeats float64
	// RanTwice counts calls that ran more than once and may not.
	RanTwice int
	// UntrueRefusals counts refused calls that had run.
	UntrueRefusals int
	// FellOver counts cold backend servers with more work than they bear.
	FellOver int
	// Crossed counts sends to another data centre.
	Crossed int
	// Probes counts probes.
	Probes int
	// Died counts calls whose host died.
	Died int
	// OverAttempts counts calls that were sent more often than allowed.
	OverAttempts int
	// LongestWait is the longest time after which a refusal was told.
	LongestWait time.Duration
	// Returns are the times after which refused callers were asked to return.
	Returns []time.Duration
}

// Share returns the share of calls that were answered in time.
func (r FleetResult) Share() float64 {
	return float64(r.InTime) / float64(max(r.Calls, 1))
}

// fleetCall identifies a call of one host.
type fleetCall struct {
	host int
	call placement.CallID
}

// fleetState is what the simulation remembers of a call.
type fleetState struct {
	at    time.Time
	sends int
	runs  int
}

// Run runs the simulation.
func (f *Fleet) Run() FleetResult {
	f.begin()
	for f.now.Before(f.begun.Add(f.Length)) {
		f.now = f.now.Add(fleetStep)
		f.shift()
		f.trouble()
		f.arrive()
		f.serve()
		f.miss()
		f.talk()
	}
	f.result.WorstRepeats = f.excess()

	return f.result
}

// begin makes hosts and backend servers.
func (f *Fleet) begin() {
	f.begun = time.Unix(0, 0)
	f.now = f.begun
	f.random = rand.New(rand.NewPCG(f.Seed, f.Seed)) //nolint:gosec // a simulation
	f.calls = map[fleetCall]*fleetState{}
	f.Route.Name, f.Route.HostName, f.Route.Prefix = "route", fleetHostName, "/"
	f.Route.Targets = []schema.RouteTarget{{Service: "service", Weight: 1}}
	declared := schema.Declared{OrdersAt: 1, RegistrationsAt: 1, Declaration: schema.Declaration{
		Version: 1, Routes: []schema.Route{f.Route},
		Services: []schema.ServiceRule{{Name: "service", HealthPath: "/health", MaxConnections: 200, ColdMs: 3000, ColdPerSecond: f.ColdPerSecond}},
	}}
	for i := range f.Servers {
		server := &fleetServer{pace: 1, registration: schema.Registration{
			ID: fmt.Sprintf("server-%d", i), Service: "service", Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			DataCentre: f.dataCentre(i), Slots: f.Slots,
		}}
		f.servers = append(f.servers, server)
		declared.Registrations = append(declared.Registrations, server.registration)
	}
	f.declared = declared
	for i := range f.DataCentres {
		f.hosts = append(f.hosts, &fleetHost{})
		f.start(i)
	}
	f.introduce()
}

// dataCentre names the data centre of the host or backend server i.
func (f *Fleet) dataCentre(i int) string {
	return fmt.Sprintf("dc-%d", i%f.DataCentres)
}

// middle reports whether the middle third of the time runs.
func (f *Fleet) middle() bool {
	elapsed := f.now.Sub(f.begun)

	return elapsed > f.Length/3 && elapsed < 2*f.Length/3
}

// arrive lets callers call.
func (f *Fleet) arrive() {
	rate := f.Rate
	if f.Burst > 0 && f.middle() {
		rate *= f.Burst
	}
	f.due += rate * fleetStep.Seconds() * f.random.ExpFloat64()
	for ; f.due >= 1; f.due-- {
		host := f.called()
		if host < 0 {
			continue
		}
		f.last++
		f.calls[fleetCall{host, f.last}] = &fleetState{at: f.now}
		f.result.Calls++
		f.asked = append(f.asked, f.now)
		f.step(host, placement.CallArrived{Call: f.last, HostName: fleetHostName, Path: "/x", Wait: 5 * f.target()})
	}
}

// talk lets hosts tick and tell each other what they know.
func (f *Fleet) talk() {
	if f.now.Sub(f.tickAt) >= fleetTick {
		f.tickAt = f.now
		for i := range f.hosts {
			f.step(i, placement.Ticked{})
		}
	}
	if f.now.Sub(f.beaconAt) < fleetBeacon {
		return
	}
	f.beaconAt = f.now
	for i := range f.hosts {
		f.report(i)
	}
}

// finish counts how a call ended.
func (f *Fleet) finish(host int, action placement.Finish) {
	key := fleetCall{host, action.Call}
	state := f.calls[key]
	delete(f.calls, key)
	if !f.Route.Idempotent && state.runs > 1 {
		f.result.RanTwice++
	}
	switch outcome := action.Outcome.(type) {
	case placement.Answered:
		if f.now.Sub(state.at) <= f.target() {
			f.result.InTime++
		} else {
			f.result.Late++
		}
	case placement.NotRun:
		f.result.NotRun++
		f.result.LongestWait = max(f.result.LongestWait, f.now.Sub(state.at))
		f.result.Returns = append(f.result.Returns, outcome.RetryAfter)
		if state.runs > 0 {
			f.result.UntrueRefusals++
		}
	case placement.Unknown:
		f.result.Unknown++
	case placement.NoRoute, placement.Abandoned:
	}
}

// excess returns the largest number of repeats in any window beyond what was
// agreed.
func (f *Fleet) excess() float64 {
	budget, worst := f.Options.Budget, math.Inf(-1)
	for _, end := range f.sends {
		from := end.Add(-budget.Window)
		within := func(list []time.Time) float64 {
			count := 0.0
			for _, at := range list {
				if at.After(from) && !at.After(end) {
					count++
				}
			}

			return count
		}
		worst = max(worst, within(f.sends)-budget.Ratio*within(f.asked)-budget.Slack)
	}

	return worst
}

// target returns the latency objective.
func (f *Fleet) target() time.Duration {
	return time.Duration(f.Route.TargetMs) * time.Millisecond
}
