package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

// driver passes events to a pool and records the resulting actions.
type driver struct {
	t        *testing.T
	pool     *backend.Pool
	now      time.Time
	lastCall caller.CallID
	started  []backend.StartAttempt
	cancels  []backend.AttemptID
	probes   []backend.StartProbe
	seeks    []backend.SeekRoom
	moves    []backend.MoveCall
	outcomes map[caller.CallID]caller.Outcome
}

// newDriver returns a driver of a pool without cells.
func newDriver(t *testing.T, options backend.Options) *driver {
	t.Helper()

	return &driver{
		t: t, pool: backend.NewPool(options), now: time.Unix(1000, 0), outcomes: map[caller.CallID]caller.Outcome{},
	}
}

// step passes an event to the pool and fails the test on a broken invariant.
func (d *driver) step(event backend.Event) {
	d.t.Helper()
	for _, action := range d.pool.Step(d.now, event) {
		switch action := action.(type) {
		case backend.StartAttempt:
			d.started = append(d.started, action)
		case backend.CancelAttempt:
			d.cancels = append(d.cancels, action.Attempt)
		case backend.DeliverAnswer:
		case backend.StartProbe:
			d.probes = append(d.probes, action)
		case backend.SeekRoom:
			d.seeks = append(d.seeks, action)
		case backend.MoveCall:
			d.moves = append(d.moves, action)
		case backend.EndCall:
			_, ended := d.outcomes[action.Call]
			assert.Assert(d.t, !ended, "call %d ended twice", action.Call)
			d.outcomes[action.Call] = action.Outcome
		case backend.Violation:
			d.t.Fatalf("%s: %s", action.Invariant, action.Detail)
		}
	}
}

// place places an idempotent call with a deadline in one second.
func (d *driver) place() {
	d.t.Helper()
	d.placeCall(caller.Call{Caller: "rose-belle", Idempotent: true, Deadline: d.now.Add(time.Second)})
}

// placeCall places a call with the next id.
func (d *driver) placeCall(call caller.Call) {
	d.t.Helper()
	d.lastCall++
	call.ID = d.lastCall
	d.step(backend.CallPlaced{Cell: cell, Call: call})
}

// serve runs calls one after the other. The function gives the duration and the
// result of an attempt on a backend server.
func (d *driver) serve(calls int, run func(address string) (time.Duration, backend.Result)) {
	d.t.Helper()
	for range calls {
		d.place()
		for index := len(d.started) - 1; index < len(d.started); index++ {
			took, result := run(d.started[index].Address)
			d.end(index, took, result)
		}
	}
}

// fill keeps all permitted slots busy with calls that succeed in 5 ms, which
// raises the limit of cold backend servers.
func (d *driver) fill(rounds int) {
	d.t.Helper()
	for range rounds {
		first := len(d.started)
		for _, server := range d.pool.Cells[cell].Servers {
			for range server.Limit() {
				d.place()
			}
		}
		d.now = d.now.Add(5 * time.Millisecond)
		for index := first; index < len(d.started); index++ {
			d.end(index, 0, answered)
		}
	}
}

// tick advances the clock and sends a Ticked event.
func (d *driver) tick(elapsed time.Duration) {
	d.t.Helper()
	d.now = d.now.Add(elapsed)
	d.step(backend.Ticked{})
}

// count returns the number of attempts started on a backend server.
func (d *driver) count(address string) int {
	count := 0
	for _, attempt := range d.started {
		if attempt.Address == address {
			count++
		}
	}

	return count
}

// server returns the state of a backend server.
func (d *driver) server(address string) *backend.Server {
	for _, server := range d.pool.Cells[cell].Servers {
		if server.Address == address {
			return server
		}
	}

	return nil
}

// end advances the clock and ends the attempt with the given index.
func (d *driver) end(index int, after time.Duration, result backend.Result) {
	d.t.Helper()
	d.now = d.now.Add(after)
	d.step(backend.AttemptEnded{Attempt: d.started[index].Attempt, Result: result})
}

// declare declares the backend servers of the test cell.
func (d *driver) declare(slots int, addresses ...string) {
	d.t.Helper()
	servers := make([]backend.Declared, 0, len(addresses))
	for _, address := range addresses {
		servers = append(servers, backend.Declared{Address: address, Slots: slots})
	}
	d.step(backend.CellsChanged{Cells: map[caller.Cell][]backend.Declared{cell: servers}})
}

// answered is the result of a successful attempt.
var answered = backend.Whole{Status: 200}

// quick returns a successful result after 5 ms.
func quick(string) (time.Duration, backend.Result) {
	return 5 * time.Millisecond, answered
}

// cell is the cell of the tests.
var cell = caller.Cell{Service: "catalogue", DataCentre: "mu-north"}

func TestPoolKeepsTrackOfAttempts(t *testing.T) {
	tests := map[string]struct {
		run func(d *driver)
		// started is the total number of started attempts.
		started int
		// outcomes are the outcomes of the ended calls.
		outcomes map[caller.CallID]caller.Outcome
	}{
		"a backend server that leaves and returns keeps its attempts in flight": {
			run: func(d *driver) {
				d.declare(1, "a")
				d.place()
				d.declare(1)
				d.declare(1, "a")
				d.place()
			},
			started:  1,
			outcomes: map[caller.CallID]caller.Outcome{},
		},
		"a cell that is lost and regained keeps its attempts in flight": {
			run: func(d *driver) {
				d.declare(1, "a")
				d.place()
				d.step(backend.CellsChanged{})
				d.declare(1, "a")
				d.place()
			},
			started:  1,
			outcomes: map[caller.CallID]caller.Outcome{},
		},
		"a lost cell starts no attempts": {
			run: func(d *driver) {
				d.declare(1, "a", "b")
				d.place()
				d.step(backend.CellsChanged{})
				d.end(0, time.Millisecond, backend.Shed{})
			},
			started:  1,
			outcomes: map[caller.CallID]caller.Outcome{1: caller.NotRun{Reason: caller.ReasonMisdirected}},
		},
		"a retried call that must wait does not block others": {
			run: func(d *driver) {
				d.declare(1, "a", "b")
				d.place()
				d.place()
				d.end(0, time.Millisecond, backend.Shed{})
				d.place()
			},
			started:  3,
			outcomes: map[caller.CallID]caller.Outcome{},
		},
		"a call is rejected at once without backend servers": {
			run: func(d *driver) {
				d.declare(1)
				d.place()
			},
			outcomes: map[caller.CallID]caller.Outcome{1: caller.NotRun{Reason: caller.ReasonNoBackendServer}},
		},
		"a waiting call is rejected when every backend server leaves": {
			run: func(d *driver) {
				d.declare(1, "a")
				d.place()
				d.place()
				d.declare(1)
			},
			started:  1,
			outcomes: map[caller.CallID]caller.Outcome{2: caller.NotRun{Reason: caller.ReasonNoBackendServer}},
		},
		"a call whose answer is being delivered is not retried": {
			run: func(d *driver) {
				d.declare(1, "a", "b")
				d.place()
				d.step(backend.AttemptAnswering{Attempt: d.started[0].Attempt})
				d.end(0, time.Millisecond, backend.Shed{})
			},
			started:  1,
			outcomes: map[caller.CallID]caller.Outcome{1: caller.Unknown{Reason: caller.ReasonShed}},
		},
		"a call past its deadline is not started": {
			run: func(d *driver) {
				d.declare(1, "a")
				d.step(backend.CallPlaced{Cell: cell, Call: caller.Call{ID: 1, Deadline: d.now}})
			},
			outcomes: map[caller.CallID]caller.Outcome{1: caller.NotRun{Reason: caller.ReasonDeadline}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16, Hosts: 1})
			test.run(d)
			assert.Equal(t, len(d.started), test.started)
			assert.DeepEqual(t, d.outcomes, test.outcomes)
		})
	}
}
