package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

// placeFor places calls of one caller whose deadlines are the given time away.
func (d *driver) placeFor(name string, calls int, left time.Duration) {
	d.t.Helper()
	for range calls {
		d.placeCall(caller.Call{Caller: name, Idempotent: true, Deadline: d.now.Add(left)})
	}
}

func TestQueueIsFairToCallers(t *testing.T) {
	tests := map[string]struct {
		discipline backend.Discipline
		place      func(d *driver)
		// started are the first calls in the order of their start.
		started []caller.CallID
		// dropped are the calls that end as not_run.
		dropped []caller.CallID
	}{
		"one caller's calls in order": {
			place: func(d *driver) { d.placeFor("moka", 4, time.Second) }, started: []caller.CallID{1, 2, 3, 4},
		},
		"one caller's newest call first": {
			discipline: backend.LastInFirstOut{},
			place:      func(d *driver) { d.placeFor("moka", 4, time.Second) }, started: []caller.CallID{1, 4, 3, 2},
		},
		"a burst of one caller does not starve another": {
			place: func(d *driver) {
				d.placeFor("moka", 10, time.Second)
				d.placeFor("rose-belle", 2, time.Second)
			},
			started: []caller.CallID{1, 2, 11, 3, 12, 4},
		},
		"a full queue drops calls of the caller with the most": {
			place: func(d *driver) {
				d.placeFor("moka", 17, time.Second)
				d.placeFor("rose-belle", 2, time.Second)
			},
			started: []caller.CallID{1, 2, 18, 3, 19, 4}, dropped: []caller.CallID{16, 17},
		},
		"a full queue rejects further calls of a single caller": {
			place:   func(d *driver) { d.placeFor("moka", 19, time.Second) },
			started: []caller.CallID{1, 2, 3}, dropped: []caller.CallID{18, 19},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16, Discipline: test.discipline})
			d.declare(1, "a")
			test.place(d)
			var started []caller.CallID
			for index := 0; index < len(d.started) && index < len(test.started); index++ {
				started = append(started, d.started[index].Call)
				d.end(index, 5*time.Millisecond, answered)
			}
			assert.DeepEqual(t, started, test.started)
			for _, id := range test.dropped {
				assert.DeepEqual(t, d.outcomes[id], caller.NotRun{Reason: caller.ReasonOverloaded})
			}
		})
	}
}

// A queue counts as standing after 100 medians. The latency summary rounds the
// 5 ms of an answer to 5.1 ms, so that 103 of 200 calls start before the others
// are dropped.
func TestStandingQueueDropsCalls(t *testing.T) {
	tests := map[string]struct {
		discipline backend.Discipline
		calls      int
		started    int
	}{
		"a burst is served completely":          {calls: 15, started: 15},
		"a standing queue drops old calls":      {calls: 200, started: 103},
		"first in, first out serves every call": {discipline: backend.FirstInFirstOut{}, calls: 60, started: 60},
		"last in, first out serves every call":  {discipline: backend.LastInFirstOut{}, calls: 60, started: 60},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 256, Discipline: test.discipline})
			d.declare(1, "a")
			d.serve(40, quick)
			d.placeFor("moka", test.calls, 10*time.Second)
			for index := 40; index < len(d.started); index++ {
				d.end(index, 5*time.Millisecond, answered)
			}
			assert.Equal(t, len(d.started)-40, test.started)
			assert.Equal(t, len(d.outcomes), 40+test.calls)
			d.place()
			assert.Equal(t, d.started[len(d.started)-1].Call, d.lastCall)
		})
	}
}

func TestCallThatWouldMissItsDeadline(t *testing.T) {
	tests := map[string]struct {
		waiting int
		left    time.Duration
		refused bool
	}{
		"enough time":                                {waiting: 4, left: 100 * time.Millisecond},
		"too many waiting calls":                     {waiting: 15, left: 50 * time.Millisecond, refused: true},
		"less time than the quickest answers take":   {left: 3 * time.Millisecond, refused: true},
		"just enough time with an empty queue":       {left: 6 * time.Millisecond},
		"just too little time with one waiting call": {waiting: 1, left: 6 * time.Millisecond, refused: true},
		"no time left":                               {left: 0, refused: true},
		"a long queue and a distant deadline":        {waiting: 15, left: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(1, "a")
			d.serve(40, quick)
			d.placeFor("moka", test.waiting, time.Second)
			d.placeFor("moka", 1, test.left)
			outcome, refused := d.outcomes[d.lastCall]
			assert.Equal(t, refused, test.refused)
			if refused {
				assert.DeepEqual(t, outcome, caller.NotRun{Reason: caller.ReasonDeadline})
			}
		})
	}
}
