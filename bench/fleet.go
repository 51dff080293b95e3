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
	// fleetTickInterval is the time between ticks of each host.
	fleetTickInterval = 10 * time.Millisecond
	// fleetLoadInterval is the time between the hosts' reports to each other.
	fleetLoadInterval = 50 * time.Millisecond
	// fleetOneWayDelay is the time between a host and a backend server, one way.
	fleetOneWayDelay = time.Millisecond
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
	// ContentionFactor is how much longer work lasts while all slots of a backend server
	// are taken, or 0 if it does not.
	ContentionFactor float64
	// ResetWhenFull resets further calls instead of refusing them.
	ResetWhenFull bool
	// Work is the mean duration of a call at usual pace.
	Work time.Duration
	// WorkDeviation is the relative deviation of the work.
	WorkDeviation float64
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
	// Duration is the simulated time.
	Duration time.Duration
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
	// RefusedShare is the share of calls that every second backend server refuses in
	// the middle third of the time.
	RefusedShare float64
	// LostAnswerShare is the share of answers that are lost in the middle third.
	LostAnswerShare float64
	// Unresponsive silences every fourth backend server in the middle third of the time.
	Unresponsive bool
	// WithoutLoadReports hides the load reports.
	WithoutLoadReports bool
	// LoadMessageLoss is the share of reports between hosts that are lost.
	LoadMessageLoss float64
	// Faults happen to the hosts.
	Faults []FleetFault

	now                 time.Time
	startedAt           time.Time
	declared            schema.Declared
	random              *rand.Rand
	hosts               []*fleetHost
	servers             []*fleetServer
	calls               map[fleetCallKey]*fleetCallState
	lastCall            placement.CallID
	loadsSentAt, tickAt time.Time
	dueCalls            float64
	result              FleetResult
	repeatTimes         []time.Time
	callTimes           []time.Time
	unansweredProbes    []fleetUnansweredProbe
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
	// MaxExcessRepeats is the largest excess of repeats over the agreed budget in any
	// window; it must not be positive.
	MaxExcessRepeats float64
	// RanTwice counts calls that ran more than once and may not.
	RanTwice int
	// FalseRefusals counts refused calls that had run.
	FalseRefusals int
	// FellOver counts cold backend servers with more work than they bear.
	FellOver int
	// CrossDataCentreSends counts sends to another data centre.
	CrossDataCentreSends int
	// Probes counts probes.
	Probes int
	// HostDied counts calls whose host died.
	HostDied int
	// OverAttempts counts calls that were sent more often than allowed.
	OverAttempts int
	// LongestRefusalWait is the longest time after which a refusal was told.
	LongestRefusalWait time.Duration
	// RetryAfters are the times after which refused callers were asked to return.
	RetryAfters []time.Duration
}

// InTimeShare returns the share of calls that were answered in time.
func (r FleetResult) InTimeShare() float64 {
	return float64(r.InTime) / float64(max(r.Calls, 1))
}

// fleetCallKey identifies a call of one host.
type fleetCallKey struct {
	host int
	call placement.CallID
}

// fleetCallState is what the simulation remembers of a call.
type fleetCallState struct {
	at    time.Time
	sends int
	runs  int
}

// Run runs the simulation.
func (f *Fleet) Run() FleetResult {
	f.setUp()
	for f.now.Before(f.startedAt.Add(f.Duration)) {
		f.now = f.now.Add(fleetStep)
		f.shiftPaces()
		f.injectFaults()
		f.arriveCalls()
		f.runServers()
		f.expireProbes()
		f.tickAndExchangeLoads()
	}
	f.result.MaxExcessRepeats = f.maxExcessRepeats()

	return f.result
}

// setUp makes hosts and backend servers.
func (f *Fleet) setUp() {
	f.startedAt = time.Unix(0, 0)
	f.now = f.startedAt
	f.random = rand.New(rand.NewPCG(f.Seed, f.Seed)) //nolint:gosec // a simulation
	f.calls = map[fleetCallKey]*fleetCallState{}
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
	f.initPeers()
}

// dataCentre names the data centre of the host or backend server i.
func (f *Fleet) dataCentre(i int) string {
	return fmt.Sprintf("dc-%d", i%f.DataCentres)
}

// inMiddleThird reports whether the middle third of the time runs.
func (f *Fleet) inMiddleThird() bool {
	elapsed := f.now.Sub(f.startedAt)

	return elapsed > f.Duration/3 && elapsed < 2*f.Duration/3
}

// arriveCalls lets callers call.
func (f *Fleet) arriveCalls() {
	rate := f.Rate
	if f.Burst > 0 && f.inMiddleThird() {
		rate *= f.Burst
	}
	f.dueCalls += rate * fleetStep.Seconds() * f.random.ExpFloat64()
	for ; f.dueCalls >= 1; f.dueCalls-- {
		host := f.pickHost()
		if host < 0 {
			continue
		}
		f.lastCall++
		f.calls[fleetCallKey{host, f.lastCall}] = &fleetCallState{at: f.now}
		f.result.Calls++
		f.callTimes = append(f.callTimes, f.now)
		f.step(host, placement.CallArrived{Call: f.lastCall, HostName: fleetHostName, Path: "/x", Wait: 5 * f.target()})
	}
}

// tickAndExchangeLoads lets hosts tick and tell each other what they know.
func (f *Fleet) tickAndExchangeLoads() {
	if f.now.Sub(f.tickAt) >= fleetTickInterval {
		f.tickAt = f.now
		for i := range f.hosts {
			f.step(i, placement.Ticked{})
		}
	}
	if f.now.Sub(f.loadsSentAt) < fleetLoadInterval {
		return
	}
	f.loadsSentAt = f.now
	for i := range f.hosts {
		f.sendLoads(i)
	}
}

// finish counts how a call ended.
func (f *Fleet) finish(host int, action placement.Finish) {
	key := fleetCallKey{host, action.Call}
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
		f.result.LongestRefusalWait = max(f.result.LongestRefusalWait, f.now.Sub(state.at))
		f.result.RetryAfters = append(f.result.RetryAfters, outcome.RetryAfter)
		if state.runs > 0 {
			f.result.FalseRefusals++
		}
	case placement.Unknown:
		f.result.Unknown++
	case placement.NoRoute, placement.Abandoned:
	}
}

// maxExcessRepeats returns the largest number of repeats in any window beyond what was
// agreed.
func (f *Fleet) maxExcessRepeats() float64 {
	budget, worst := f.Options.Budget, math.Inf(-1)
	for _, end := range f.repeatTimes {
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
		worst = max(worst, within(f.repeatTimes)-budget.Ratio*within(f.callTimes)-budget.Slack)
	}

	return worst
}

// target returns the latency objective.
func (f *Fleet) target() time.Duration {
	return time.Duration(f.Route.TargetMs) * time.Millisecond
}
