package backend_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

// TestMain fixes the seed and size of the randomised tests unless flags
// override them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "200", "rapid.nofailfile": "true",
	} {
		if set := flag.Lookup(name); set.Value.String() == set.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Options of the modelled pool.
const (
	modelHosts     = 3
	modelQueue     = 8
	modelProbeRate = 50_000
	// rounding is the tolerance for rounding errors of summed fractions.
	rounding = 1e-6
)

// modelCall is the state of a call in the model.
type modelCall struct {
	idempotent bool
	delivered  bool
	mayHaveRun bool
	running    int
	attempts   int
}

// model tracks the state of a pool independently and checks the pool's actions
// against it.
type model struct {
	t        *rapid.T
	pool     *backend.Pool
	now      time.Time
	last     caller.CallID
	open     map[caller.CallID]*modelCall
	declared map[string]backend.Declared
	attempts map[backend.AttemptID]backend.StartAttempt
	inFlight map[string]int
	probing  map[string]bool
	probes   map[string]int
	// earned is the number of probes that each backend server may have received.
	earned float64
	shares int
	// placed, extraAttempts and hedges count calls, attempts beyond the first of a
	// call, and hedges.
	placed, extraAttempts, hedges int
	// retryFloor is the number of retries permitted in addition to the share.
	retryFloor float64
}

// newModel returns the model of a new pool.
func newModel(t *rapid.T) *model {
	disciplines := []backend.Discipline{backend.FirstInFirstOut{}, backend.LastInFirstOut{}, backend.ControlledDelay{}}

	return &model{
		t: t,
		pool: backend.NewPool(backend.Options{
			QueueLength: modelQueue, Hosts: modelHosts, Seed: 1, Discipline: rapid.SampledFrom(disciplines).Draw(t, "discipline"),
		}),
		now:      time.Unix(1000, 0),
		open:     map[caller.CallID]*modelCall{},
		declared: map[string]backend.Declared{},
		attempts: map[backend.AttemptID]backend.StartAttempt{},
		inFlight: map[string]int{},
		probing:  map[string]bool{},
		probes:   map[string]int{},
		shares:   1,
	}
}

// step passes an event to the pool and checks the resulting actions.
func (m *model) step(event backend.Event) {
	for _, action := range m.pool.Step(m.now, event) {
		switch action := action.(type) {
		case backend.StartAttempt:
			m.started(action)
		case backend.CancelAttempt:
			assert.Assert(m.t, m.attempts[action.Attempt].Attempt != 0, "an attempt was cancelled after it had ended")
		case backend.DeliverAnswer:
			call := m.open[action.Call]
			assert.Assert(m.t, call != nil && !call.delivered, "an answer was delivered twice or after the end of the call")
			call.delivered = true
		case backend.EndCall:
			m.ended(action)
		case backend.SeekRoom:
		case backend.MoveCall:
			call := m.open[action.Call.ID]
			assert.Assert(m.t, call != nil && call.attempts == 0, "a call was moved after it had ended or started")
			delete(m.open, action.Call.ID)
		case backend.StartProbe:
			m.probed(action)
		case backend.Violation:
			m.t.Fatalf("%s: %s", action.Invariant, action.Detail)
		}
	}
}

// started checks a started attempt.
func (m *model) started(action backend.StartAttempt) {
	call, server := m.open[action.Call], m.declared[action.Address]
	assert.Assert(m.t, call != nil, "an attempt was started for an ended call")
	assert.Assert(m.t, server.Slots > 0 && !server.Leaving, "an attempt was started on a backend server that is not serving")
	assert.Assert(m.t, call.idempotent || !call.mayHaveRun && call.running == 0, "a call that is not idempotent may run twice")
	assert.Assert(m.t, !call.delivered, "an attempt was started for a call that is being answered")
	assert.Equal(m.t, action.Hedge, call.running > 0)
	m.attempts[action.Attempt] = action
	m.inFlight[action.Address]++
	assert.Assert(m.t, m.inFlight[action.Address] <= server.Slots, "more attempts are in flight than slots")
	if call.attempts > 0 {
		m.extraAttempts++
	}
	if action.Hedge {
		m.hedges++
	}
	call.running++
	call.attempts++
}

// ended checks an ended call.
func (m *model) ended(action backend.EndCall) {
	call := m.open[action.Call]
	assert.Assert(m.t, call != nil, "call %d ended twice", action.Call)
	if _, refused := action.Outcome.(caller.NotRun); refused {
		assert.Assert(m.t, !call.mayHaveRun && call.running == 0, "call %d ended as not_run but may have run", action.Call)
	}
	delete(m.open, action.Call)
}

// probed checks a started probe.
func (m *model) probed(action backend.StartProbe) {
	server := m.declared[action.Address]
	assert.Assert(m.t, server.Slots > 0 && !server.Leaving && !m.probing[action.Address])
	assert.Equal(m.t, m.inFlight[action.Address], 0)
	m.probing[action.Address] = true
	m.probes[action.Address]++
}

// spill reports spare capacity of another cell.
func (m *model) spill(t *rapid.T) {
	room := backend.Room{Address: "192.0.2.99:80", Free: rapid.IntRange(0, 3).Draw(t, "free")}
	m.step(backend.RoomFound{Cell: rapid.SampledFrom(modelCells).Draw(t, "cell"), Room: room})
}

// place places calls of several callers.
func (m *model) place(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "calls") {
		m.last++
		call := caller.Call{
			ID:         m.last,
			Caller:     rapid.SampledFrom([]string{"rose-belle", "moka", "quatre-bornes"}).Draw(t, "caller"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Depth:      rapid.IntRange(0, 1).Draw(t, "depth"),
			Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline_ms")) * time.Millisecond),
		}
		m.open[m.last] = &modelCall{idempotent: call.Idempotent}
		m.placed++
		m.step(backend.CallPlaced{Call: call, Cell: rapid.SampledFrom(modelCells).Draw(t, "cell")})
	}
}

// serve runs successful calls one after the other.
func (m *model) serve(t *rapid.T) {
	key := rapid.SampledFrom(modelCells).Draw(t, "cell")
	for range 50 {
		m.last++
		m.open[m.last] = &modelCall{idempotent: true}
		m.placed++
		m.step(backend.CallPlaced{Cell: key, Call: caller.Call{
			ID: m.last, Caller: "moka", Idempotent: true, Deadline: m.now.Add(time.Second),
		}})
		m.advance(time.Millisecond)
		for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
			if m.attempts[id].Call == m.last {
				m.endAttempt(id, answered)
			}
		}
	}
}

// modelCells are the cells in which calls are placed.
var modelCells = []caller.Cell{
	{Service: "catalogue", DataCentre: "mu-north"},
	{Service: "orders", DataCentre: "mu-north"},
}

// change replaces the cells and backend servers by random ones.
func (m *model) change(t *rapid.T) {
	cells := map[caller.Cell][]backend.Declared{}
	m.declared = map[string]backend.Declared{}
	for _, key := range modelCells {
		if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
			continue
		}
		if m.pool.Cells[key] == nil {
			m.retryFloor += 100
		}
		cells[key] = nil
		for _, suffix := range []string{"a", "b", "c", "d"}[:rapid.IntRange(0, 4).Draw(t, "servers")] {
			server := backend.Declared{
				Address:        key.Service + "-" + suffix,
				Slots:          rapid.IntRange(0, 4).Draw(t, "slots"),
				Leaving:        rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
				ProbeRateMilli: modelProbeRate,
			}
			cells[key] = append(cells[key], server)
			m.declared[server.Address] = server
		}
	}
	m.step(backend.CellsChanged{Cells: cells})
}

// results are the possible results of attempts. Most are successful.
var results = []backend.Result{
	answered, answered, answered, answered, answered, answered, answered, answered,
	backend.Whole{Status: 500}, backend.Shed{}, backend.Unsent{}, backend.Unsent{Local: true},
	backend.Cut{}, backend.TimedOut{}, backend.Cancelled{},
}

// finish ends some of the attempts in flight.
func (m *model) finish(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "attempts") {
		if len(m.attempts) == 0 {
			return
		}
		ids := slices.Sorted(maps.Keys(m.attempts))
		m.endAttempt(rapid.SampledFrom(ids).Draw(t, "attempt"), rapid.SampledFrom(results).Draw(t, "result"))
	}
}

// fail ends all attempts in flight with the same error.
func (m *model) fail(t *rapid.T) {
	result := rapid.SampledFrom([]backend.Result{backend.Shed{}, backend.Cut{}, backend.Whole{Status: 503}}).Draw(t, "result")
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		m.endAttempt(id, result)
	}
}

// endAttempt ends an attempt with the result.
func (m *model) endAttempt(id backend.AttemptID, result backend.Result) {
	ended := m.attempts[id]
	delete(m.attempts, id)
	m.inFlight[ended.Address]--
	if call := m.open[ended.Call]; call != nil {
		call.running--
		switch result.(type) {
		case backend.Whole, backend.Cut, backend.TimedOut, backend.Cancelled:
			call.mayHaveRun = true
		case backend.Shed, backend.Unsent:
		}
	}
	m.step(backend.AttemptEnded{Attempt: id, Result: result})
}

// advance advances the clock and the budgets.
func (m *model) advance(elapsed time.Duration) {
	m.now = m.now.Add(elapsed)
	m.retryFloor += 20 * elapsed.Seconds() * float64(len(modelCells))
	m.earned += modelProbeRate / 1000.0 * float64(m.shares) / modelHosts * elapsed.Seconds()
	m.step(backend.Ticked{})
}

// check checks the invariants that hold after every step.
func (m *model) check(t *rapid.T) {
	assert.Assert(t, float64(m.hedges) <= 0.03*float64(m.placed), "%d hedges of %d calls", m.hedges, m.placed)
	assert.Assert(t, float64(m.extraAttempts) <= 0.03*float64(m.placed)+m.retryFloor, "%d extra attempts of %d calls", m.extraAttempts, m.placed)
	for address, count := range m.probes {
		assert.Assert(t, float64(count) <= m.earned+rounding, "%d probes of %s with a budget of %f", count, address, m.earned)
	}
	for _, state := range m.pool.Cells {
		fresh := state.Queue.Len() - len(state.Queue.Retried())
		assert.Assert(t, fresh <= modelQueue, "%d calls wait", fresh)
		serving, ejected := 0, 0
		for _, server := range state.Servers {
			assert.Equal(t, server.InFlight, m.inFlight[server.Address])
			if server.Serving() {
				serving++
			}
			if server.Serving() && server.Ejected(m.now) {
				ejected++
			}
		}
		assert.Assert(t, ejected == 0 || ejected == 1 && serving > 1 || ejected <= serving/3, "%d of %d backend servers are ejected", ejected, serving)
	}
}

// drain ends all attempts and calls and checks that the pool is idle.
func (m *model) drain() {
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		m.endAttempt(id, backend.Cancelled{})
	}
	m.step(backend.CellsChanged{})
	for len(m.attempts) > 0 {
		m.endAttempt(slices.Min(slices.Collect(maps.Keys(m.attempts))), backend.Cancelled{})
	}
	m.advance(time.Second)
	assert.Equal(m.t, len(m.open), 0)
	assert.Assert(m.t, !m.pool.Busy())
}

func TestPoolInvariants(t *testing.T) {
	hedges, probes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.change(t)
		t.Repeat(map[string]func(*rapid.T){
			"place":  m.place,
			"serve":  m.serve,
			"fail":   m.fail,
			"spill":  m.spill,
			"finish": m.finish,
			"change": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					m.change(t)
				}
			},
			"advance": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ms")) * time.Millisecond)
			},
			"wait": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					m.advance(time.Duration(rapid.IntRange(1, 3).Draw(t, "s")) * time.Second)
				}
			},
			"cancel": func(t *rapid.T) {
				m.step(backend.CallCancelled{Call: caller.CallID(rapid.Uint64Range(1, uint64(m.last)+1).Draw(t, "call"))})
			},
			"answering": func(t *rapid.T) {
				if len(m.attempts) > 0 {
					m.step(backend.AttemptAnswering{
						Attempt: rapid.SampledFrom(slices.Sorted(maps.Keys(m.attempts))).Draw(t, "attempt"),
					})
				}
			},
			"share": func(t *rapid.T) {
				m.shares = rapid.IntRange(0, modelHosts).Draw(t, "shares")
				m.step(backend.SharesChanged{Held: m.shares})
			},
			"probed": func(t *rapid.T) {
				for _, address := range slices.Sorted(maps.Keys(m.probing)) {
					delete(m.probing, address)
					m.step(backend.ProbeEnded{Address: address, Healthy: rapid.Bool().Draw(t, "healthy")})
				}
			},
			"": m.check,
		})
		m.drain()
		hedges += m.hedges
		probes += len(m.probes)
	})
	t.Logf("%d hedges, %d backend servers probed", hedges, probes)
	assert.Assert(t, hedges > 0 && probes > 0, "the runs contained no hedges or no probes")
}
