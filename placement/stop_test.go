package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// The usual work of a route without answered calls is 160 ms, the timeout 1 s.
func TestAStoppingHostAdmitsCallsThatEndInTime(t *testing.T) {
	tests := map[string]struct {
		// until is the time from the arrival until open calls are concluded, and onlyHost
		// that until which callers may know no other host.
		until, onlyHost time.Duration
		wait            time.Duration
		sent            bool
	}{
		"timeout before the end":                        {until: 1100 * time.Millisecond, wait: 2 * time.Second, sent: true},
		"timeout after the end":                         {until: 1030 * time.Millisecond, wait: 2 * time.Second},
		"caller's deadline before the end":              {until: 600 * time.Millisecond, wait: 500 * time.Millisecond, sent: true},
		"caller's deadline after the end":               {until: 500 * time.Millisecond, wait: 500 * time.Millisecond},
		"likely to end while this may be the only host": {until: 1300 * time.Millisecond, onlyHost: time.Millisecond, wait: 2 * time.Second, sent: true},
		"may take too long for that":                    {until: 1000 * time.Millisecond, onlyHost: time.Millisecond, wait: 2 * time.Second},
		"after the end":                                 {until: -time.Millisecond, onlyHost: -2 * time.Second, wait: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(schema.Route{}, registration("a")))
			at := begin.Add(10 * time.Millisecond)
			placer.Step(at, placement.StopBegun{WorkUntil: at.Add(test.until), OnlyHostUntil: at.Add(test.onlyHost)})
			actions := placer.Step(at, placement.CallArrived{Call: 1, HostName: "a.example", Path: "/x/1", Wait: test.wait})
			_, sent := firstOf[placement.Send](actions)
			assert.Equal(t, sent, test.sent)
			ended, finished := firstOf[placement.Finish](actions)
			assert.Equal(t, finished, !test.sent)
			if finished {
				refused := ended.Outcome.(placement.NotRun)
				assert.Equal(t, refused.Reason, placement.ReasonStopping)
				assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter < 200*time.Millisecond, "%s", refused.RetryAfter)
			}
		})
	}
}

func TestAStoppingHostConcludesOpenCalls(t *testing.T) {
	tests := map[string]struct {
		servers []schema.Registration
		results []placement.Result
		outcome placement.Outcome
	}{
		"in flight":                       {servers: []schema.Registration{registration("a")}, outcome: placement.Unknown{Reason: placement.ReasonStopping}},
		"refused before, not sent again":  {servers: []schema.Registration{registration("a"), registration("b")}, results: []placement.Result{placement.Refused{}}, outcome: placement.NotRun{Reason: placement.ReasonRefused}},
		"cut before, not sent again":      {servers: []schema.Registration{registration("a"), registration("b")}, results: []placement.Result{placement.Cut{}}, outcome: placement.Unknown{Reason: placement.ReasonCut}},
		"failed answer before, delivered": {servers: []schema.Registration{registration("a"), registration("b")}, results: []placement.Result{placement.Whole{Status: 500}}, outcome: placement.Answered{Attempt: 1}},
		"queued":                          {outcome: placement.NotRun{Reason: placement.ReasonStopping}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(schema.Route{Idempotent: true, MaxAttempts: 3}, test.servers...))
			at := begin.Add(10 * time.Millisecond)
			call(placer, at, 1)
			until := at.Add(30 * time.Millisecond)
			actions := placer.Step(at, placement.StopBegun{WorkUntil: until})
			for i, result := range test.results {
				actions = placer.Step(at, placement.AttemptEnded{Attempt: placement.AttemptID(i + 1), Result: result})
			}
			ended, finished := firstOf[placement.Finish](actions)
			if !finished {
				ended, finished = firstOf[placement.Finish](placer.Step(until, placement.Ticked{}))
			}
			assert.Assert(t, finished)
			if refused, ok := ended.Outcome.(placement.NotRun); ok {
				refused.RetryAfter = 0
				ended.Outcome = refused
			}
			assert.Equal(t, ended.Outcome, test.outcome)
			assert.Equal(t, placer.Open(), 0)
		})
	}
}
