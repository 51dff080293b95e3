package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against calls that run before their turn although they may not be repeated, and
// against a deferred call that leaves traces, such as a share of the retry budget.
func TestCallsAhead(t *testing.T) {
	tests := map[string]struct {
		declared schema.Declared
		outcome  placement.Outcome
	}{
		"idempotent route":             {declared: declaration(schema.Route{Idempotent: true}, registration("a"))},
		"route that is not idempotent": {declared: declaration(schema.Route{}, registration("a")), outcome: placement.Deferred{}},
		"no route":                     {declared: declaration(schema.Route{Idempotent: true, Prefix: "/y/"}, registration("a")), outcome: placement.Deferred{}},
		"unreadable route":             {declared: declaration(schema.Route{Idempotent: true, Targets: []schema.RouteTarget{}}, registration("a")), outcome: placement.Deferred{}},
		"no declaration":               {outcome: placement.Deferred{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(test.declared)
			at := begin.Add(10 * time.Millisecond)
			before := placer.Dump(at)
			actions := placer.Step(at, placement.CallArrived{Call: 1, HostName: "a.example", Path: "/x/1", Wait: time.Second, Ahead: true})
			if test.outcome == nil {
				_, sent := firstOf[placement.Send](actions)
				assert.Assert(t, sent)

				return
			}
			assert.DeepEqual(t, actions, []placement.Action{placement.Finish{Call: 1, Outcome: test.outcome}})
			assert.Equal(t, placer.Open(), 0)
			assert.DeepEqual(t, placer.Dump(at), before)
		})
	}
}
