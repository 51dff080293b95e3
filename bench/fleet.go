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
	// fleetStep is the time step of the simulation.
	fleetStep = time.Millisecond
	// fleetTickInterval is the time between two ticks of a host.
	fleetTickInterval = 10 * time.Millisecond
	// fleetLoadInterval is the time between load exchanges among the hosts.
	fleetLoadInterval = 50 * time.Millisecond
	// fleetOneWayDelay is the network delay from a host to a backend server.
	fleetOneWayDelay = time.Millisecond
	// fleetHostName is the host name that the only route matches.
	fleetHostName = "fleet.example"
)

// Fleet simulates the entry hosts and backend servers of one service. The hosts
// run the decisions of package placement. The backend servers change their
// speed, turn cold, refuse or reset calls and lose answers as configured.
type Fleet struct {
	// Seed seeds all random choices.
	Seed uint64
	// DataCentres is the number of data centres, each with one serving host.
	DataCentres int
	// Servers is the number of backend servers, spread over the data centres.
	Servers int
	// Slots is the number of calls that a backend server runs concurrently.
	Slots int
	// Queue is the number of calls that wait at a backend server. Further calls
	// are refused or reset.
	Queue int
	// ContentionFactor multiplies the duration of calls while all slots of a
	// backend server are busy. 0 means no contention.
	ContentionFactor float64
	// ResetWhenFull makes a full backend server reset calls, not refuse them.
	ResetWhenFull bool
	// Work is the median duration of a call at normal speed.
	Work time.Duration
	// WorkDeviation is the standard deviation of the logarithm of the duration.
	WorkDeviation float64
	// SlowShare is the probability that a backend server is slow after a change
	// of speed.
	SlowShare float64
	// SlowFactor multiplies the duration of calls at a slow backend server.
	SlowFactor float64
	// ShiftEvery is the mean time between changes of speed, or 0 for none.
	ShiftEvery time.Duration
	// Rate is the total number of calls a second to all hosts.
	Rate float64
	// HostRates are the shares of the calls that arrive at each host, or nil for equal
	// ones.
	HostRates []float64
	// Burst multiplies the rate in the middle third of the run. 0 means no
	// burst.
	Burst float64
	// Duration is the simulated duration of the run.
	Duration time.Duration
	// Route is the only route. The simulation sets its name, match and targets.
	Route schema.Route
	// Options are the options of each host. The simulation sets the host name,
	// data centre and seed.
	Options placement.Options
	// ColdPerSecond is the declared number of calls a second that a cold
	// backend server can handle. It is overloaded above 1.5 times this number
	// plus 5.
	ColdPerSecond float64
	// ColdAt is when a third of the backend servers turns cold, or 0 for never.
	ColdAt time.Duration
	// ColdFor is how long they stay cold.
	ColdFor time.Duration
	// RefusedShare is the share of calls that every second backend server
	// refuses in the middle third of the run.
	RefusedShare float64
	// LostAnswerShare is the share of answers lost in the middle third of the
	// run.
	LostAnswerShare float64
	// Unresponsive makes every fourth backend server unresponsive in the middle
	// third of the run.
	Unresponsive bool
	// WithoutLoadReports removes the load reports from answers and probes.
	WithoutLoadReports bool
	// LoadMessageLoss is the share of load messages between hosts that are
	// lost.
	LoadMessageLoss float64
	// Faults are injected into the hosts and the network between data centres.
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

// FleetResult holds the counts of a fleet's run over all hosts.
type FleetResult struct {
	// Calls is the number of calls that arrived.
	Calls int
	// InTime is the number of answers within the latency objective.
	InTime int
	// Late is the number of answers after the latency objective.
	Late int
	// NotRun is the number of refused calls.
	NotRun int
	// Unknown is the number of unanswered calls that may have run.
	Unknown int
	// Sends is the number of attempts.
	Sends int
	// Repeats is the number of attempts beyond the first of each call.
	Repeats int
	// MaxExcessRepeats is the largest excess of repeats over the retry budget
	// in any window. It must not be positive.
	MaxExcessRepeats float64
	// RanTwice is the number of calls that ran more than once although their
	// route is not idempotent.
	RanTwice int
	// FalseRefusals is the number of refused calls that had run.
	FalseRefusals int
	// FellOver is the number of times a cold backend server was overloaded.
	FellOver int
	// CrossDataCentreSends is the number of attempts to another data centre.
	CrossDataCentreSends int
	// Probes is the number of health probes.
	Probes int
	// HostDied is the number of calls whose host crashed.
	HostDied int
	// OverAttempts is the number of attempts beyond the route's maximum.
	OverAttempts int
	// LongestRefusalWait is the longest time from arrival to refusal.
	LongestRefusalWait time.Duration
	// RetryAfters are the retry delays that refused callers received.
	RetryAfters []time.Duration
}

// InTimeShare returns the share of calls answered within the latency objective.
func (r FleetResult) InTimeShare() float64 {
	return float64(r.InTime) / float64(max(r.Calls, 1))
}

// fleetCallKey identifies a call by its host.
type fleetCallKey struct {
	host int
	call placement.CallID
}

// fleetCallState holds the arrival time of a call and the counts of its
// attempts and runs.
type fleetCallState struct {
	at    time.Time
	sends int
	runs  int
}

// Run runs the simulation once and returns its counts.
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

// setUp creates the hosts and backend servers.
func (f *Fleet) setUp() {
	f.startedAt = time.Unix(0, 0)
	f.now = f.startedAt
	f.random = rand.New(rand.NewPCG(f.Seed, f.Seed)) //nolint:gosec // a simulation
	f.calls = map[fleetCallKey]*fleetCallState{}
	f.Route.Name, f.Route.HostName, f.Route.Prefix = "route", fleetHostName, "/"
	f.Route.Targets = []schema.RouteTarget{{Service: "service", Weight: 1}}
	declared := schema.Declared{OrdersAt: schema.StoreVersion{Version: 1}, RegistrationsAt: schema.StoreVersion{Version: 1}, Declaration: schema.Declaration{
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

// dataCentre returns the data centre of host or backend server i.
func (f *Fleet) dataCentre(i int) string {
	return fmt.Sprintf("dc-%d", i%f.DataCentres)
}

// inMiddleThird reports whether the run is in the middle third of its duration.
func (f *Fleet) inMiddleThird() bool {
	elapsed := f.now.Sub(f.startedAt)

	return elapsed > f.Duration/3 && elapsed < 2*f.Duration/3
}

// arriveCalls places the calls that arrive in this step on random hosts.
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

// tickAndExchangeLoads ticks the hosts and exchanges their load messages when
// due.
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

// finish counts the outcome of a call.
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
	case placement.NoRoute, placement.Unauthorised, placement.Abandoned, placement.Deferred:
	}
}

// maxExcessRepeats returns the largest excess of repeats over the retry budget
// in any window.
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

// target returns the latency objective of the route.
func (f *Fleet) target() time.Duration {
	return time.Duration(f.Route.TargetMs) * time.Millisecond
}
