package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

// rolloutFleet runs several placers, the backend servers of two versions and the store in
// simulated time.
type rolloutFleet struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*fleetHost
	servers map[string]*fleetServer
	ids     []string
	store   map[string]schema.RolloutState
	// failed and slow are the shares of the answers of version 2 that fail, and whose work is
	// slowFactor times as long.
	failed, slow float64
	// noise is the share of time in which a machine is slow.
	noise float64
	// coldFor is how long the backend servers of version 2 are cold.
	coldFor time.Duration
	rate    float64
	// faults happen at a time since the order.
	faults map[time.Duration]func(f *rolloutFleet)

	sends, toTarget, early, earlyTarget, lateOrRefused, calls int
	ramped                                                    bool
	lastCall                                                  placement.CallID
}

type fleetHost struct {
	placer  *placement.Placer
	peer    placement.Peer
	dead    bool
	pending []fleetEvent
	arrived map[placement.CallID]time.Time
}

type fleetEvent struct {
	at    time.Time
	event placement.Event
}

type fleetServer struct {
	schema.Registration
	running int
	pace    float64
}

const (
	fleetWork  = 100 * time.Millisecond
	slowFactor = 5
	noisyPace  = 4
)

func newRolloutFleet(seed uint64) *rolloutFleet {
	return &rolloutFleet{
		random: rand.New(rand.NewPCG(seed, seed)), now: begin, //nolint:gosec // seeded test
		servers: map[string]*fleetServer{}, store: map[string]schema.RolloutState{}, rate: 30,
		faults: map[time.Duration]func(*rolloutFleet){},
	}
}

// start creates the hosts and backend servers; the order comes a second later.
func (f *rolloutFleet) start() {
	for i := range 24 {
		version := fmt.Sprint(1 + i%2)
		server := schema.Registration{
			ID: fmt.Sprintf("s%02d", i), Service: "stock", Address: "10.0.0.1:80", DataCentre: fmt.Sprintf("dc%d", i/2%3), Slots: 4, Version: version,
		}
		if version == "2" {
			server.ColdLeftMs = int(f.coldFor.Milliseconds())
		}
		f.servers[server.ID] = &fleetServer{Registration: server, pace: 1}
		f.ids = append(f.ids, server.ID)
	}
	for i := range 6 {
		f.hosts = append(f.hosts, &fleetHost{peer: placement.Peer{Name: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}})
		f.startHost(i)
	}
	f.passPeers()
}

func (f *rolloutFleet) startHost(i int) {
	h := f.hosts[i]
	h.dead, h.pending, h.arrived = false, nil, map[placement.CallID]time.Time{}
	h.placer = placement.New(placement.Options{
		Host: h.peer.Name, DataCentre: h.peer.DataCentre, Budget: retryBudget, ProbeInterval: 50 * time.Millisecond, CrossingCost: 0.015,
		Rollout: rollout.Limits{Share: 0.1, Slack: 50, Within: 5 * time.Second},
	})
	registrations := make([]schema.Registration, 0, len(f.ids))
	for _, id := range f.ids {
		registrations = append(registrations, f.servers[id].Registration)
	}
	declared := declaration(schema.Route{Idempotent: true}, registrations...)
	declared.Declaration.Services[0].ColdPerSecond = 7
	declared.Rollouts = []schema.RolloutOrder{order}
	f.step(h, placement.DeclaredChanged{Declared: declared})
}

// passPeers tells the hosts which of them live.
func (f *rolloutFleet) passPeers() {
	peers := placement.Peers{Hosts: len(f.hosts)}
	for _, h := range f.hosts {
		if !h.dead {
			peers.Serving = append(peers.Serving, h.peer)
		}
	}
	for _, h := range f.hosts {
		f.step(h, placement.PeersChanged{Peers: peers})
	}
}

func (f *rolloutFleet) run(until time.Duration) {
	for ; f.now.Sub(begin) < until; f.now = f.now.Add(10 * time.Millisecond) {
		if fault, due := f.faults[f.now.Sub(begin)]; due {
			fault(f)
		}
		if f.noise > 0 && f.random.IntN(20) == 0 {
			for _, id := range f.ids {
				f.servers[id].pace = 1
				if f.random.Float64() < f.noise {
					f.servers[id].pace = noisyPace
				}
			}
		}
		for _, h := range f.hosts {
			if !h.dead {
				f.runHost(h)
			}
		}
	}
}

func (f *rolloutFleet) runHost(h *fleetHost) {
	pending := h.pending
	h.pending = nil
	for _, p := range pending {
		if p.at.After(f.now) {
			h.pending = append(h.pending, p)
		} else {
			f.step(h, p.event)
		}
	}
	f.step(h, placement.Ticked{})
	if f.random.Float64() < f.rate*0.01 {
		f.calls++
		f.lastCall++
		id := f.lastCall
		h.arrived[id] = f.now
		f.step(h, placement.CallArrived{Call: id, HostName: "a.example", Path: "/x", Wait: 2 * time.Second})
	}
	if f.now.Sub(begin)%(100*time.Millisecond) == 0 {
		message := placement.LoadsReceived{Host: h.peer.Name, Loads: h.placer.Loads(f.now), Rollouts: h.placer.Rollouts(f.now)}
		for _, other := range f.hosts {
			if other != h && !other.dead {
				other.pending = append(other.pending, fleetEvent{at: f.now.Add(10 * time.Millisecond), event: message})
			}
		}
	}
}

func (f *rolloutFleet) step(h *fleetHost, event placement.Event) {
	if ended, ok := event.(fleetAnswer); ok {
		f.servers[ended.server].running--
		event = ended.AttemptEnded
	}
	for _, action := range slices.Clone(h.placer.Step(f.now, event)) {
		f.act(h, action)
	}
}

// later passes an event to a host after a time.
func (f *rolloutFleet) later(h *fleetHost, after time.Duration, event placement.Event) {
	h.pending = append(h.pending, fleetEvent{at: f.now.Add(after), event: event})
}

func (f *rolloutFleet) act(h *fleetHost, action placement.Action) {
	switch action := action.(type) {
	case placement.Send:
		f.send(h, action)
	case placement.Cancel:
		f.cancel(h, action)
	case placement.Finish:
		if _, answered := action.Outcome.(placement.Answered); !answered || f.now.Sub(h.arrived[action.Call]) > 400*time.Millisecond {
			f.lateOrRefused++
		}
	case placement.Probe:
		server := f.servers[action.Server]
		f.later(h, time.Millisecond, placement.ProbeEnded{
			Server: action.Server, Answered: true, Healthy: true, Load: &placement.Load{Pace: server.pace},
			ColdLeft: max(time.Duration(server.ColdLeftMs)*time.Millisecond-f.now.Sub(begin), 0),
		})
	case placement.RecordRollout:
		if f.store[action.Service] == "" || f.store[action.Service] == schema.RolloutStateRunning {
			f.store[action.Service] = action.State
		}
		f.later(h, 40*time.Millisecond, placement.RolloutRecorded{Service: action.Service, OrderVersion: action.OrderVersion, State: f.store[action.Service]})
	case placement.RolloutChanged:
		f.ramped = f.ramped || action.Phase == rollout.PhaseRamping
	case placement.ServerStatusChanged, placement.RefusalsOutdated:
	}
}

// cancel ends an attempt.
func (f *rolloutFleet) cancel(h *fleetHost, action placement.Cancel) {
	h.pending = slices.DeleteFunc(h.pending, func(p fleetEvent) bool {
		ended, ok := p.event.(fleetAnswer)
		if ok && ended.Attempt == action.Attempt {
			f.servers[ended.server].running--
		}

		return ok && ended.Attempt == action.Attempt
	})
	f.later(h, 0, placement.AttemptEnded{Attempt: action.Attempt, Result: placement.Cancelled{}})
}

// fleetAnswer is an AttemptEnded together with its backend server.
type fleetAnswer struct {
	placement.AttemptEnded
	server string
}

// send runs an attempt at a backend server.
func (f *rolloutFleet) send(h *fleetHost, action placement.Send) {
	server := f.servers[action.Server]
	server.running++
	f.sends++
	work := float64(fleetWork) * (0.7 + 0.6*f.random.Float64()) * server.pace
	result := placement.Whole{Status: 200, Size: 1000}
	if server.Version == "2" {
		f.toTarget++
		if f.now.Sub(begin) < f.coldFor {
			work *= 3
		}
		if f.random.Float64() < f.failed {
			result.Status = 500
		}
		if f.random.Float64() < f.slow {
			work *= slowFactor
		}
	}
	if !f.ramped {
		f.early, f.earlyTarget = f.sends, f.toTarget
	}
	f.later(h, time.Duration(work), fleetAnswer{server: action.Server, AttemptEnded: placement.AttemptEnded{
		Attempt: action.Attempt, Result: result, Load: &placement.Load{Pace: server.pace},
	}})
}

// Guards against bad versions that are completed and good ones that are not, with the whole
// placement in between: cold and slow machines, hedges, retries and load reports.
func TestRolloutsOfFleets(t *testing.T) {
	kill := func(i int) func(*rolloutFleet) {
		return func(f *rolloutFleet) { f.hosts[i].dead = true; f.passPeers() }
	}
	restart := func(i int) func(*rolloutFleet) {
		return func(f *rolloutFleet) { f.startHost(i); f.passPeers() }
	}
	completed, rolledBack := schema.RolloutStateCompleted, schema.RolloutStateRolledBack
	tests := map[string]struct {
		change func(f *rolloutFleet)
		state  schema.RolloutState
	}{
		"good":                          {change: func(*rolloutFleet) {}, state: completed},
		"good, cold for 4 s":            {change: func(f *rolloutFleet) { f.coldFor = 4 * time.Second }, state: completed},
		"good, on noisy machines":       {change: func(f *rolloutFleet) { f.noise = 0.15 }, state: completed},
		"good, a host dies":             {change: func(f *rolloutFleet) { f.faults[5*time.Second] = kill(0) }, state: completed},
		"good, a host restarts":         {change: func(f *rolloutFleet) { f.faults[5*time.Second] = restart(2) }, state: completed},
		"good, little traffic":          {change: func(f *rolloutFleet) { f.rate = 6 }, state: completed},
		"failing":                       {change: func(f *rolloutFleet) { f.failed = 0.3 }, state: rolledBack},
		"failing, while cold for 4 s":   {change: func(f *rolloutFleet) { f.failed, f.coldFor = 0.3, 4*time.Second }, state: rolledBack},
		"failing always":                {change: func(f *rolloutFleet) { f.failed = 1 }, state: rolledBack},
		"slow":                          {change: func(f *rolloutFleet) { f.slow = 0.4 }, state: rolledBack},
		"slow always":                   {change: func(f *rolloutFleet) { f.slow = 1 }, state: rolledBack},
		"slow, on noisy machines":       {change: func(f *rolloutFleet) { f.slow, f.noise = 0.4, 0.15 }, state: rolledBack},
		"failing later":                 {change: func(f *rolloutFleet) { f.faults[6*time.Second] = func(f *rolloutFleet) { f.failed = 0.3 } }, state: rolledBack},
		"failing, a host restarts then": {change: func(f *rolloutFleet) { f.failed, f.faults[time.Second] = 0.2, restart(1) }, state: rolledBack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(fleetSeeds) {
				f := newRolloutFleet(seed)
				test.change(f)
				f.start()
				f.run(12 * time.Second)
				assert.Equal(t, f.store["stock"], test.state, "seed %d: %s", seed, f.phases())
				assert.Assert(t, float64(f.earlyTarget) <= 0.1*float64(f.early), "seed %d: %d of %d", seed, f.earlyTarget, f.early)
				if test.state == rolledBack {
					assert.Assert(t, float64(f.toTarget) <= 0.1*float64(f.sends)+50, "seed %d: %d of %d", seed, f.toTarget, f.sends)
				}
				sends, target := f.sends, f.toTarget
				f.run(13 * time.Second)
				if test.state == completed {
					sends = f.sends - sends
				} else {
					sends = 0
				}
				assert.Equal(t, f.toTarget-target, sends, "seed %d: sends to the target after the end", seed)
				t.Logf("seed %d: %d of %d sends to the target, %d of %d calls late or not answered", seed, f.toTarget, f.sends, f.lateOrRefused, f.calls)
			}
		})
	}
}

// fleetSeeds is the number of runs of each case.
const fleetSeeds = 2

func (f *rolloutFleet) phases() string {
	text := ""
	for _, h := range f.hosts {
		for _, status := range h.placer.Dump(f.now).Rollouts {
			text += fmt.Sprintf("%s %s %s %+v; ", h.peer.Name, status.Phase, status.Reason, status.Report)
		}
	}

	return text
}
