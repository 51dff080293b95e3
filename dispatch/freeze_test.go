package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

func TestFrozenDutyRefusesUntilConfirmed(t *testing.T) {
	// A duty that was frozen waits for the membership, which notices the same
	// freeze by its smaller bound, and both do before others take over.
	assert.Assert(t, peer.FrozenAfter < dispatch.FreezeThreshold)
	assert.Assert(t, dispatch.FreezeThreshold < peer.TakeoverAfter)
	const longFreeze = time.Minute
	tests := map[string]struct {
		freeze  time.Duration
		inputs  []dispatch.Input
		refused bool
	}{
		"shorter than the bound":  {freeze: dispatch.FreezeThreshold},
		"longer":                  {freeze: longFreeze, refused: true},
		"confirmed before":        {freeze: longFreeze, inputs: []dispatch.Input{dispatch.Confirm{At: startTime}}, refused: true},
		"confirmed since":         {freeze: longFreeze, inputs: []dispatch.Input{dispatch.Confirm{At: startTime.Add(longFreeze + 1)}}},
		"isolated":                {inputs: []dispatch.Input{dispatch.Isolate{Isolated: true}}, refused: true},
		"isolated and back":       {inputs: []dispatch.Input{dispatch.Isolate{Isolated: true}, dispatch.Isolate{}}},
		"confirmed, but isolated": {freeze: longFreeze, refused: true, inputs: []dispatch.Input{dispatch.Isolate{Isolated: true}, dispatch.Confirm{At: startTime.Add(longFreeze + 1)}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			duty := newDuty()
			duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithConfiguration(declare(1, schema.DataCentreStateIn, schema.DataCentreStateOut))})
			resumed := startTime.Add(test.freeze)
			for _, input := range test.inputs {
				duty.Step(resumed, input)
			}
			reply := ring.New[dispatch.Reply]("reply", 1)
			duty.Step(resumed, dispatch.Call{
				Call:    caller.Call{ID: dispatch.NextCall(), Service: "catalogue", Deadline: resumed.Add(time.Minute)},
				Request: &dispatch.Request{Method: "POST", Target: "/"}, Reply: reply,
			})
			ended, refused := reply.Poll()
			assert.Equal(t, refused, test.refused)
			if refused {
				outcome := ended.(dispatch.Finished).Outcome.(caller.NotRun)
				assert.Equal(t, outcome.Reason, caller.ReasonNotReady)
			}
		})
	}
}
