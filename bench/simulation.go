package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// tickInterval is the time between two ticks of the pools.
	tickInterval = 5 * time.Millisecond
	// queueLength is the capacity of a cell's queue.
	queueLength = 1024
	// callers is the number of callers among which the calls are distributed.
	callers = 40
	// turnColdInterval is the time after which another backend server turns
	// cold.
	turnColdInterval = time.Second
	// flooder is the name of the flooding caller.
	flooder = "flooder"
	// latencyDigits is the precision of latencies in significant digits.
	latencyDigits = 3
)

// start is the simulated time at which every simulation starts.
var start = time.Unix(0, 0)

// cell is the only cell of every simulation.
var cell = caller.Cell{Service: "catalogue", DataCentre: "mu-north"}

// job is an attempt at a simulated backend server.
type job struct {
	pool    int
	attempt backend.AttemptID
	server  *server
	ended   bool
}

// jobKey identifies a job by its pool and attempt.
type jobKey struct {
	pool    int
	attempt backend.AttemptID
}

// callState holds the arrival time of a counted call and whether it comes from
// a caller other than the flooder.
type callState struct {
	at    time.Time
	other bool
}

// simulation runs the pools of all hosts against simulated backend servers. It
// processes events in order of their simulated time.
type simulation struct {
	settings     schema.PoliciesSettings
	scenario     Scenario
	variant      Variant
	rate         float64
	now          time.Time
	events       eventQueue
	arrivals     *rand.Rand
	services     *rand.Rand
	pools        []*backend.Pool
	servers      map[string]*server
	jobs         map[jobKey]*job
	serverList   []*server
	coldRandom   *rand.Rand
	calls        map[caller.CallID]callState
	last         caller.CallID
	latency      *hdrhistogram.Histogram
	otherLatency *hdrhistogram.Histogram
	run          schema.PolicyRun
}

// simulate runs a policy at a rate in calls a second and returns the counts and
// latencies after the warm-up.
func simulate(settings schema.PoliciesSettings, scenario Scenario, variant Variant, rate float64, seed uint64) schema.PolicyRun {
	if scenario.Deadline > 0 {
		settings.Deadline = scenario.Deadline
	}
	s := newSimulation(settings, scenario, variant, rate, seed)
	s.events.add(start, arrival{})
	s.events.add(start, tick{})
	if scenario.ServersTurnCold {
		s.events.add(start.Add(turnColdInterval), serverTurnsCold{})
	}
	for end := start.Add(settings.WarmUp + settings.Duration); s.now.Before(end); {
		next := s.events.take()
		s.now = next.at
		s.handle(next.event)
	}
	for _, server := range s.serverList {
		s.run.FellOver += server.fellOver
	}
	s.run.Scenario, s.run.Policy = scenario.Name, variant.Name
	s.run.Seed = int(seed) //nolint:gosec // a small number
	s.run.Latency, s.run.OtherLatency = summarise(s.latency), summarise(s.otherLatency)

	return s.run
}

// summarise returns the percentiles of a histogram in microseconds.
func summarise(histogram *hdrhistogram.Histogram) schema.Latency {
	return schema.Latency{
		P50Us:  int(histogram.ValueAtPercentile(50)),
		P99Us:  int(histogram.ValueAtPercentile(99)),
		P999Us: int(histogram.ValueAtPercentile(99.9)),
		MaxUs:  int(histogram.Max()),
	}
}

// newSimulation returns a simulation with idle pools and backend servers and
// without events.
func newSimulation(settings schema.PoliciesSettings, scenario Scenario, variant Variant, rate float64, seed uint64) *simulation {
	s := &simulation{
		settings:     settings,
		scenario:     scenario,
		variant:      variant,
		rate:         rate,
		now:          start,
		arrivals:     rand.New(rand.NewPCG(seed, 1<<32)), //nolint:gosec // a simulation
		services:     rand.New(rand.NewPCG(seed, 2<<32)), //nolint:gosec // a simulation
		servers:      map[string]*server{},
		jobs:         map[jobKey]*job{},
		coldRandom:   rand.New(rand.NewPCG(seed, 3<<32)), //nolint:gosec // a simulation
		calls:        map[caller.CallID]callState{},
		latency:      hdrhistogram.New(1, settings.Deadline.Microseconds()+1, latencyDigits),
		otherLatency: hdrhistogram.New(1, settings.Deadline.Microseconds()+1, latencyDigits),
	}
	declared := make([]backend.Declared, 0, settings.BackendServers)
	for index := range settings.BackendServers {
		address := fmt.Sprintf("server-%02d", index)
		s.servers[address] = newServer(settings, seed, uint64(index))
		s.serverList = append(s.serverList, s.servers[address])
		declared = append(declared, backend.Declared{Address: address, Slots: settings.Slots})
	}
	hosts := 1
	if !variant.Owner {
		hosts = settings.Hosts
	}
	for index := range hosts {
		options := variant.Options
		options.QueueLength, options.Seed = queueLength, seed+uint64(index)
		s.pools = append(s.pools, backend.NewPool(options))
		s.step(index, backend.CellsChanged{Cells: map[caller.Cell][]backend.Declared{cell: declared}})
	}

	return s
}

// handle processes an event.
func (s *simulation) handle(event event) {
	switch event := event.(type) {
	case arrival:
		s.arrive()
	case tick:
		for index := range s.pools {
			s.step(index, backend.Ticked{})
		}
		s.events.add(s.now.Add(tickInterval), event)
	case serverTurnsCold:
		s.serverList[s.coldRandom.IntN(len(s.serverList))].turnCold(s.now)
		s.events.add(s.now.Add(turnColdInterval), event)
	case served:
		if event.job.ended {
			return
		}
		event.job.ended = true
		s.release(event.job)
		s.report(event.job, backend.Whole{Status: 200})
	case reported:
		s.report(event.job, event.result)
	}
}

// arrive places a call on a random host and schedules the next arrival.
func (s *simulation) arrive() {
	gap := time.Duration(s.arrivals.ExpFloat64() / s.rate * float64(time.Second))
	s.events.add(s.now.Add(gap), arrival{})
	host, name := s.arrivals.IntN(s.settings.Hosts), fmt.Sprint(s.arrivals.IntN(callers))
	if s.arrivals.Float64() < s.scenario.Flood {
		name = flooder
	}
	s.last++
	s.countCall(name != flooder)
	if s.variant.OneQueue {
		name = ""
	}
	s.step(host%len(s.pools), backend.CallPlaced{Cell: cell, Call: caller.Call{
		ID: s.last, Service: cell.Service, Caller: name, Idempotent: true, Deadline: s.now.Add(s.settings.Deadline),
	}})
}

// countCall counts the newest call once the warm-up is over.
func (s *simulation) countCall(other bool) {
	if !s.warmedUp() {
		return
	}
	s.calls[s.last] = callState{at: s.now, other: other}
	s.run.Calls++
	if other {
		s.run.OtherCalls++
	}
}

// warmedUp reports whether the warm-up is over.
func (s *simulation) warmedUp() bool {
	return s.now.Sub(start) >= s.settings.WarmUp
}

// step passes an event to a pool and performs the resulting actions.
func (s *simulation) step(pool int, event backend.Event) {
	for _, action := range s.pools[pool].Step(s.now, event) {
		switch action := action.(type) {
		case backend.StartAttempt:
			s.startAttempt(pool, action)
		case backend.CancelAttempt:
			s.cancel(s.jobs[jobKey{pool, action.Attempt}])
		case backend.EndCall:
			s.endCall(action)
		case backend.Violation:
			s.run.Violations++
		case backend.DeliverAnswer, backend.StartProbe, backend.SeekRoom, backend.MoveCall:
			// A simulation has a single cell, so calls cannot move to another
			// one.
		}
	}
}

// startAttempt passes an attempt to its backend server, which runs or queues
// it.
func (s *simulation) startAttempt(pool int, action backend.StartAttempt) {
	if action.Hedge && s.warmedUp() {
		s.run.Hedges++
	}
	j := &job{pool: pool, attempt: action.Attempt, server: s.servers[action.Address]}
	s.jobs[jobKey{pool, action.Attempt}] = j
	if j.server.admit(j) {
		s.serve(j)
	}
	for _, cut := range j.server.cutAttempts(s.now) {
		cut.ended = true
		s.events.add(s.now, reported{cut, backend.Cut{}})
	}
}

// serve schedules the end of the service of an attempt that has a slot.
func (s *simulation) serve(j *job) {
	s.events.add(s.now.Add(j.server.duration(s.now, s.services)), served{j})
}

// release frees the slot of an attempt and serves the next waiting attempt.
func (s *simulation) release(j *job) {
	if next := j.server.release(j); next != nil {
		s.serve(next)
	}
}

// cancel cancels an attempt and reports it to its pool at once.
func (s *simulation) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.release(j)
	s.events.add(s.now, reported{j, backend.Cancelled{}})
}

// report passes the result of an attempt to its pool.
func (s *simulation) report(j *job, result backend.Result) {
	delete(s.jobs, jobKey{j.pool, j.attempt})
	s.step(j.pool, backend.AttemptEnded{Attempt: j.attempt, Result: result})
}

// endCall counts the outcome of a call if the call was counted.
func (s *simulation) endCall(action backend.EndCall) {
	call, counted := s.calls[action.Call]
	if !counted {
		return
	}
	delete(s.calls, action.Call)
	switch action.Outcome.(type) {
	case caller.Answered:
		s.countAnswer(call)
	case caller.NotRun:
		s.run.NotRun++
	case caller.Unknown:
		s.run.Unknown++
	}
}

// countAnswer counts an answer and records its latency.
func (s *simulation) countAnswer(call callState) {
	took := s.now.Sub(call.at).Microseconds()
	s.run.Answered++
	_ = s.latency.RecordValue(took) // within the range, as the deadline bounds it
	if call.other {
		s.run.OtherAnswered++
		_ = s.otherLatency.RecordValue(took) // within the range, as the deadline bounds it
	}
}
