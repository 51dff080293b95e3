package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against calls to backend servers that left while the process was held up: a host
// that was stopped for 3.6 s sent calls which had waited by the state that it had before.
func TestAResumedProcessPlacesNothingUntilItsStateIsConfirmed(t *testing.T) {
	tests := map[string]struct {
		events []placement.Event
		after  time.Duration
		sends  bool
	}{
		"not held up":                   {sends: true},
		"resumed":                       {events: []placement.Event{placement.Resumed{}}},
		"resumed and confirmed":         {events: []placement.Event{placement.Resumed{}, placement.StateConfirmed{}}, sends: true},
		"resumed twice, confirmed once": {events: []placement.Event{placement.Resumed{}, placement.StateConfirmed{}, placement.Resumed{}}},
		"never confirmed":               {events: []placement.Event{placement.Resumed{}}, after: 3 * time.Second, sends: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(schema.Route{}, registration("a")))
			for _, event := range test.events {
				placer.Step(begin, event)
			}
			_, sent := firstOf[placement.Send](call(placer, begin.Add(test.after), 1))
			assert.Equal(t, sent, test.sends)
		})
	}
}

// Guards against calls that wait for a confirmation and are lost: they are sent once it
// comes, or refused as not run when they can't be in time any more.
func TestCallsWaitForTheConfirmation(t *testing.T) {
	tests := map[string]struct {
		confirmedAfter time.Duration
		sent           bool
	}{
		"in time":  {confirmedAfter: 50 * time.Millisecond, sent: true},
		"too late": {confirmedAfter: 900 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(schema.Route{}, registration("a")))
			placer.Step(begin, placement.Resumed{})
			actions := append([]placement.Action(nil), call(placer, begin, 1)...)
			for passed := time.Duration(0); passed < test.confirmedAfter; passed += 10 * time.Millisecond {
				actions = append(actions, placer.Step(begin.Add(passed), placement.Ticked{})...)
			}
			actions = append(actions, placer.Step(begin.Add(test.confirmedAfter), placement.StateConfirmed{})...)
			actions = append(actions, placer.Step(begin.Add(test.confirmedAfter), placement.Ticked{})...)
			_, sent := firstOf[placement.Send](actions)
			assert.Equal(t, sent, test.sent)
			if ended, refused := firstOf[placement.Finish](actions); refused {
				outcome, notRun := ended.Outcome.(placement.NotRun)
				assert.Assert(t, notRun && outcome.Reason == placement.ReasonNotReady, "%v", ended.Outcome)
			}
			_, refused := firstOf[placement.Finish](actions)
			assert.Equal(t, refused, !test.sent)
		})
	}
}
