package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

func TestHedgeOfSlowCall(t *testing.T) {
	tests := map[string]struct {
		warm    int
		options backend.Options
		call    caller.Call
		prepare func(d *driver)
		wait    time.Duration
		want    bool
	}{
		"slower than the percentile":         {warm: 100, call: caller.Call{Idempotent: true}, wait: 6 * time.Millisecond, want: true},
		"not slower than the percentile yet": {warm: 100, call: caller.Call{Idempotent: true}, wait: 4 * time.Millisecond},
		"not idempotent":                     {warm: 100, wait: 100 * time.Millisecond},
		"too few answers for an estimate":    {warm: 10, call: caller.Call{Idempotent: true}, wait: 100 * time.Millisecond},
		"budget below one hedge":             {warm: 30, call: caller.Call{Idempotent: true}, wait: 100 * time.Millisecond},
		"hedging disabled":                   {warm: 100, options: backend.Options{WithoutHedge: true}, call: caller.Call{Idempotent: true}, wait: 100 * time.Millisecond},
		"nested call":                        {warm: 100, call: caller.Call{Idempotent: true, Depth: 3}, wait: 6 * time.Millisecond, want: true},
		"no other slot is free": {
			warm: 100, call: caller.Call{Idempotent: true}, wait: 100 * time.Millisecond,
			prepare: func(d *driver) {
				for range 7 {
					d.placeCall(caller.Call{Deadline: d.now.Add(time.Second)})
				}
			},
		},
		"the answer is being delivered": {
			warm: 100, call: caller.Call{Idempotent: true}, wait: 100 * time.Millisecond,
			prepare: func(d *driver) {
				d.step(backend.AttemptAnswering{Attempt: d.started[len(d.started)-1].Attempt})
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.options.QueueLength = 16
			d := newDriver(t, test.options)
			d.declare(4, "a", "b")
			d.serve(test.warm, quick)
			test.call.Deadline = d.now.Add(time.Second)
			d.placeCall(test.call)
			if test.prepare != nil {
				test.prepare(d)
			}
			d.tick(test.wait)
			assert.Equal(t, d.started[len(d.started)-1].Hedge, test.want)
		})
	}
}

func TestFirstAnswerWins(t *testing.T) {
	tests := map[string]struct {
		first, second         int
		firstEnds, secondEnds backend.Result
		want                  caller.Outcome
		cancelled             bool
	}{
		"answer of the first attempt":                   {0, 1, answered, backend.Cancelled{}, caller.Answered{}, true},
		"answer of the hedge":                           {1, 0, answered, backend.Cancelled{}, caller.Answered{}, true},
		"answers of both":                               {1, 0, answered, answered, caller.Answered{}, true},
		"answer of the hedge after a shed":              {0, 1, backend.Shed{}, answered, caller.Answered{}, false},
		"answer of the first attempt after a cut hedge": {1, 0, backend.Cut{}, answered, caller.Answered{}, false},
		"no answer after two time-outs":                 {0, 1, backend.TimedOut{}, backend.TimedOut{}, caller.Unknown{Reason: caller.ReasonDeadline}, false},
		"no answer after a shed and a cut":              {0, 1, backend.Shed{}, backend.Cut{}, caller.Unknown{Reason: caller.ReasonCut}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(4, "a", "b")
			d.serve(100, quick)
			d.place()
			d.tick(10 * time.Millisecond)
			pair := len(d.started) - 2
			assert.Assert(t, d.started[pair+1].Hedge)
			assert.Assert(t, d.started[pair].Address != d.started[pair+1].Address)
			d.end(pair+test.first, time.Millisecond, test.firstEnds)
			if test.cancelled {
				assert.Assert(t, cmp.DeepEqual(d.cancels, []backend.AttemptID{d.started[pair+test.second].Attempt}))
			}
			d.end(pair+test.second, time.Millisecond, test.secondEnds)
			assert.DeepEqual(t, d.outcomes[d.lastCall], test.want)
			assert.Equal(t, d.server("a").InFlight+d.server("b").InFlight, 0)
		})
	}
}

func TestStreamedAnswerCancelsOtherAttempt(t *testing.T) {
	tests := map[string]struct{ begins, other int }{
		"answer of the first attempt": {0, 1},
		"answer of the hedge":         {1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(4, "a", "b")
			d.serve(100, quick)
			d.place()
			d.tick(10 * time.Millisecond)
			pair := len(d.started) - 2
			d.step(backend.AttemptAnswering{Attempt: d.started[pair+test.begins].Attempt})
			assert.DeepEqual(t, d.cancels, []backend.AttemptID{d.started[pair+test.other].Attempt})
			d.step(backend.AttemptAnswering{Attempt: d.started[pair+test.other].Attempt})
			d.end(pair+test.other, time.Millisecond, answered)
			assert.Assert(t, d.outcomes[d.lastCall] == nil, "a late answer ended the call")
			d.end(pair+test.begins, time.Millisecond, answered)
			assert.DeepEqual(t, d.outcomes[d.lastCall], caller.Outcome(caller.Answered{}))
		})
	}
}

func TestRetryOfCutAnswerByDepth(t *testing.T) {
	tests := map[string]struct {
		call   caller.Call
		result backend.Result
		want   bool
	}{
		"cut, outermost and idempotent": {call: caller.Call{Idempotent: true}, result: backend.Cut{}, want: true},
		"cut, nested and idempotent":    {call: caller.Call{Idempotent: true, Depth: 1}, result: backend.Cut{}},
		"cut and not idempotent":        {result: backend.Cut{}},
		"shed and nested": {
			call: caller.Call{Idempotent: true, Depth: 16}, result: backend.Shed{}, want: true,
		},
		"unsent because of a local limit": {result: backend.Unsent{Local: true}, want: true},
		"shed and not idempotent":         {result: backend.Shed{}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(4, "a", "b")
			test.call.Deadline = d.now.Add(time.Second)
			d.placeCall(test.call)
			d.end(0, time.Millisecond, test.result)
			assert.Equal(t, len(d.started) == 2, test.want)
			assert.Equal(t, len(d.outcomes) == 0, test.want)
		})
	}
}
