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
	// The membership must detect every freeze that the duty detects, because the
	// duty waits for its confirmation. Both must detect a freeze before other hosts
	// take over.
	assert.Assert(t, peer.FreezeThreshold < dispatch.FreezeThreshold)
	assert.Assert(t, dispatch.FreezeThreshold < peer.TakeoverAfter)
	const longFreeze = time.Minute
	tests := map[string]struct {
		freeze  time.Duration
		inputs  []dispatch.Input
		refused bool
	}{
		"freeze equal to the threshold":            {freeze: dispatch.FreezeThreshold},
		"freeze above the threshold":               {freeze: longFreeze, refused: true},
		"confirmed before the freeze":              {freeze: longFreeze, inputs: []dispatch.Input{dispatch.Confirm{At: startTime}}, refused: true},
		"confirmed after the freeze":               {freeze: longFreeze, inputs: []dispatch.Input{dispatch.Confirm{At: startTime.Add(longFreeze + 1)}}},
		"isolated":                                 {inputs: []dispatch.Input{dispatch.Isolate{Isolated: true}}, refused: true},
		"isolated and reconnected":                 {inputs: []dispatch.Input{dispatch.Isolate{Isolated: true}, dispatch.Isolate{}}},
		"confirmed after the freeze, but isolated": {freeze: longFreeze, refused: true, inputs: []dispatch.Input{dispatch.Isolate{Isolated: true}, dispatch.Confirm{At: startTime.Add(longFreeze + 1)}}},
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
