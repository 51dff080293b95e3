package rollout_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	step           = 10 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	servingTimeout = 500 * time.Millisecond
	freezeNoticed  = 500 * time.Millisecond
)

// limits are those of the users' deployments.
var limits = rollout.Limits{Share: 0.1, Slack: 50, Within: 5 * time.Second}

// begin is when the order is placed.
var begin = time.Unix(1000, 0)

// simulation runs one order at several hosts that exchange reports, with one store.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	hosts    []*simulatedHost
	messages []message
	store    schema.RolloutState
	// storeUntil is when the store becomes available again.
	storeUntil time.Time
	writes     int
	order      schema.RolloutOrder
	// routes are the calls a second at each host.
	routes []float64
	// respond returns the answer of a backend server; at is the time since the order.
	respond func(s *simulation, route int, target bool, at time.Duration) rollout.Answered
	// loss is the share of reports that get lost.
	loss float64
	// delay is the longest time that a report takes.
	delay time.Duration
	// warmAt is when the target's backend servers become warm, since the order.
	warmAt     time.Duration
	targetSlot int
	// faults are applied once their time has come, in order.
	faults []fault

	sends, toTarget, bad int
	// toTargetLate counts the sends to the target later than Within after the 50th bad answer.
	toTargetLate int
	fiftiethAt   time.Time
	// early and earlyTarget count the sends before a host ramps.
	early, earlyTarget int
	ramped             bool
}

// fault is something that happens to a host or to the store.
type fault struct {
	at    time.Duration
	apply func(s *simulation)
}

type simulatedHost struct {
	name       string
	rollout    *rollout.Rollout
	dead       bool
	frozen     time.Time
	cut        time.Time
	steppedAt  time.Time
	reportedAt time.Time
	heard      map[string]time.Time
	pending    []answer
	requests   []request
}

type answer struct {
	at     time.Time
	answer rollout.Answered
}

type request struct {
	at    time.Time
	state schema.RolloutState
}

type message struct {
	at       time.Time
	from, to int
	report   schema.RolloutReport
}

func newSimulation(seed uint64, hosts int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), now: begin, //nolint:gosec // seeded test
		order:  schema.RolloutOrder{Service: "stock", Target: "2", DurationMs: 12000, OrderVersion: schema.StoreVersion{Version: 7}},
		routes: []float64{40, 20}, delay: 20 * time.Millisecond, targetSlot: 200,
		respond: always(0, 0),
	}
	for i := range hosts {
		s.hosts = append(s.hosts, &simulatedHost{name: string(rune('a' + i))})
		s.start(i)
	}

	return s
}

// always returns a target version whose answers fail and are slow at given rates. All
// versions fail in 0.2 % and are slow in 0.5 % of the calls.
func always(failures, slow float64) func(*simulation, int, bool, time.Duration) rollout.Answered {
	return func(s *simulation, _ int, target bool, _ time.Duration) rollout.Answered {
		failed, slowly := 0.002, 0.005
		if target {
			failed, slowly = failed+failures, slowly+slow
		}

		return rollout.Answered{Failed: s.random.Float64() < failed, Slow: s.random.Float64() < slowly}
	}
}

// from returns a version that behaves like another one from a time on.
func from(since time.Duration, later func(*simulation, int, bool, time.Duration) rollout.Answered) func(*simulation, int, bool, time.Duration) rollout.Answered {
	return func(s *simulation, route int, target bool, at time.Duration) rollout.Answered {
		if at < since {
			return always(0, 0)(s, route, target, at)
		}

		return later(s, route, target, at)
	}
}

// start starts a host that knows nothing yet.
func (s *simulation) start(i int) {
	h := s.hosts[i]
	h.dead, h.pending, h.requests = false, nil, nil
	h.heard, h.steppedAt = map[string]time.Time{}, s.now
	for _, other := range s.hosts {
		h.heard[other.name] = s.now
	}
	h.rollout = rollout.New(s.now, s.order, h.name, limits, s.serving(h))
}

func (s *simulation) serving(h *simulatedHost) []string {
	var names []string
	for name, at := range h.heard {
		if name == h.name || s.now.Sub(at) < servingTimeout {
			names = append(names, name)
		}
	}
	slices.Sort(names)

	return names
}

// run advances the simulation to a time since the order.
func (s *simulation) run(until time.Duration) {
	for ; s.now.Sub(begin) < until; s.now = s.now.Add(step) {
		for len(s.faults) > 0 && s.now.Sub(begin) >= s.faults[0].at {
			s.faults[0].apply(s)
			s.faults = s.faults[1:]
		}
		s.deliver()
		for i := range s.hosts {
			s.runHost(i)
		}
	}
}

func (s *simulation) deliver() {
	rest := s.messages[:0]
	for _, m := range s.messages {
		to := s.hosts[m.to]
		if m.at.After(s.now) || s.now.Before(to.frozen) {
			rest = append(rest, m)

			continue
		}
		if to.dead || s.now.Before(to.cut) {
			continue
		}
		to.heard[s.hosts[m.from].name] = s.now
		if s.now.Sub(to.steppedAt) < freezeNoticed { // reports from the time of a freeze are discarded
			s.act(to, to.rollout.Step(s.now, rollout.Reported{Host: s.hosts[m.from].name, Report: m.report}))
		}
	}
	s.messages = rest
}

func (s *simulation) runHost(i int) {
	h := s.hosts[i]
	if h.dead || s.now.Before(h.frozen) {
		return
	}
	if s.now.Sub(h.steppedAt) >= freezeNoticed {
		s.act(h, h.rollout.Step(s.now, rollout.Resumed{}))
	}
	h.steppedAt = s.now
	s.act(h, h.rollout.Step(s.now, rollout.ServingChanged{Hosts: s.serving(h)}))
	s.finishAnswers(h)
	s.finishRequests(h)
	s.act(h, h.rollout.Step(s.now, rollout.Ticked{Load: s.load(h)}))
	s.call(h)
	if s.now.Sub(h.reportedAt) >= reportInterval && !s.now.Before(h.cut) {
		h.reportedAt = s.now
		for to := range s.hosts {
			if to != i && s.random.Float64() >= s.loss {
				at := s.now.Add(time.Duration(s.random.Int64N(int64(s.delay) + 1)))
				s.messages = append(s.messages, message{at: at, from: i, to: to, report: h.rollout.Report(s.now, 1)})
			}
		}
	}
}

func (s *simulation) load(h *simulatedHost) rollout.Load {
	load := rollout.Load{Registered: true}
	if s.now.Sub(begin) >= s.warmAt {
		load.TargetSlots = s.targetSlot
	}
	for _, other := range s.hosts {
		load.InFlight += len(other.pending)
	}
	for _, p := range h.pending {
		if !p.answer.Target {
			load.OtherInFlight++
		}
	}

	return load
}

func (s *simulation) finishAnswers(h *simulatedHost) {
	rest := h.pending[:0]
	for _, p := range h.pending {
		if p.at.After(s.now) {
			rest = append(rest, p)

			continue
		}
		if p.answer.Target && (p.answer.Failed || p.answer.Slow) {
			if s.bad++; s.bad == 50 {
				s.fiftiethAt = s.now
			}
		}
		s.act(h, h.rollout.Step(s.now, p.answer))
	}
	h.pending = rest
}

func (s *simulation) finishRequests(h *simulatedHost) {
	requests := h.requests
	h.requests = nil
	for _, r := range requests {
		if r.at.After(s.now) {
			h.requests = append(h.requests, r)

			continue
		}
		result := rollout.Recorded{Failed: s.now.Before(s.storeUntil)}
		if !result.Failed {
			if s.store == "" || s.store == schema.RolloutStateRunning {
				s.store = r.state
				s.writes++
			}
			result.State = s.store
		}
		s.act(h, h.rollout.Step(s.now, result))
	}
}

// call makes the calls of one step.
func (s *simulation) call(h *simulatedHost) {
	for route, rate := range s.routes {
		if s.random.Float64() >= rate*step.Seconds() {
			continue
		}
		target := h.rollout.TakesTarget(route + 1)
		if target && s.now.Sub(begin) < s.warmAt && s.random.Float64() < 0.8 {
			target = false // cold ones accept few calls
		}
		h.rollout.Sent(route+1, target, true)
		s.sends++
		if target {
			s.toTarget++
			if !s.fiftiethAt.IsZero() && s.now.Sub(s.fiftiethAt) > limits.Within {
				s.toTargetLate++
			}
		}
		s.ramped = s.ramped || h.rollout.Phase() == rollout.PhaseRamping || h.rollout.Phase() == rollout.PhaseMoved
		if !s.ramped {
			s.early, s.earlyTarget = s.sends, s.toTarget
		}
		made := s.respond(s, route, target, s.now.Sub(begin))
		made.Route, made.Target = route+1, target
		made.Cold = target && s.now.Sub(begin) < s.warmAt
		took := time.Duration(50+s.random.IntN(150)) * time.Millisecond
		h.pending = append(h.pending, answer{at: s.now.Add(took), answer: made})
	}
}

func (s *simulation) act(h *simulatedHost, actions []rollout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case rollout.Record:
			h.requests = append(h.requests, request{at: s.now.Add(30 * time.Millisecond), state: action.State})
		case rollout.Changed:
		}
	}
}
