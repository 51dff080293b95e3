package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against a call that is sent although its deadline passed before it arrived, such
// as one that waited for its turn on its connection: its outcome would be unknown.
func TestCallThatArrivesAfterItsDeadlineIsNotRun(t *testing.T) {
	tests := map[string]struct {
		elapsed time.Duration
		sent    bool
	}{
		"at once":                        {sent: true},
		"late":                           {elapsed: 500 * time.Millisecond, sent: true},
		"after the timeout of the route": {elapsed: 1100 * time.Millisecond},
		"after the caller's deadline":    {elapsed: 2500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(schema.Route{}, registration("a")))
			actions := placer.Step(begin, placement.CallArrived{Call: 1, HostName: "a.example", Path: "/x/1", Wait: 2 * time.Second, Elapsed: test.elapsed})
			_, sent := firstOf[placement.Send](actions)
			assert.Equal(t, sent, test.sent)
			finish, ended := firstOf[placement.Finish](actions)
			assert.Equal(t, ended, !test.sent)
			if ended {
				refused, notRun := finish.Outcome.(placement.NotRun)
				assert.Assert(t, notRun, "%#v", finish.Outcome)
				assert.Equal(t, refused.Reason, placement.ReasonTimeout)
			}
		})
	}
}
