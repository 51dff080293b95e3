package dispatch_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

func TestStoppedDutyRepliesAndCancels(t *testing.T) {
	duty := newDuty()
	duty.Step(startTime, dispatch.Route{Routes: duty.Router.Routes.WithConfiguration(declare(1, schema.DataCentreStateIn, schema.DataCentreStateOut))})
	running, queued := call(duty), call(duty)
	attempt, ok := duty.Attempts.Poll()
	assert.Assert(t, ok)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	assert.ErrorIs(t, duty.Run(ctx), context.Canceled)
	assert.ErrorIs(t, attempt.Context.Err(), context.Canceled)
	for name, reply := range map[string]*ring.Ring[dispatch.Reply]{"running": running, "queued": queued} {
		t.Run(name, func(t *testing.T) {
			got, ok := reply.Poll()
			assert.Assert(t, ok)
			assert.DeepEqual(t, got, dispatch.Reply(dispatch.Finished{Outcome: caller.Unknown{Reason: caller.ReasonStopping}}))
		})
	}
}
