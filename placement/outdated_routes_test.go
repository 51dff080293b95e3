package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against calls that are rejected for good because this host has not received the
// declaration that adds their route.
func TestOutdatedHostsDoNotDenyAddedRoutes(t *testing.T) {
	until := begin.Add(time.Minute)
	announced := placement.CurrencyChanged{ConfirmedAt: confirmed, Until: until}
	incomplete := func(declaration *schema.Declaration) { declaration.Incomplete = true }
	tests := map[string]struct {
		change func(*schema.Declaration)
		events []placement.Event
		// wait is the time from the last event to the call.
		wait   time.Duration
		denied bool
		reason placement.Reason
	}{
		"the newest declaration":                        {events: []placement.Event{currentUntil(confirmed, until)}, denied: true},
		"a declaration that nobody has confirmed":       {reason: placement.ReasonOutdated},
		"another host has announced a newer one":        {events: []placement.Event{currentUntil(confirmed, until), announced}, reason: placement.ReasonOutdated},
		"a confirmation from too long ago":              {events: []placement.Event{currentUntil(confirmed, confirmed.Add(200*time.Millisecond))}, wait: 300 * time.Millisecond, reason: placement.ReasonOutdated},
		"a confirmation from before a freeze":           {events: []placement.Event{currentUntil(confirmed, until)}, wait: time.Second, reason: placement.ReasonOutdated},
		"an incomplete declaration":                     {change: incomplete, events: []placement.Event{currentUntil(confirmed, until)}, reason: placement.ReasonUnreadable},
		"an incomplete declaration that is not current": {change: incomplete, reason: placement.ReasonUnreadable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := declaration(schema.Route{Prefix: "/old/"}, registration("a"))
			if test.change != nil {
				test.change(&declared.Declaration)
			}
			placer := newPlacer(declared)
			for _, event := range test.events {
				placer.Step(confirmed, event)
			}
			finish, ended := firstOf[placement.Finish](call(placer, confirmed.Add(test.wait), 1))
			assert.Assert(t, ended)
			assert.Equal(t, finish.Version, 1)
			if test.denied {
				assert.DeepEqual(t, finish.Outcome, placement.NoRoute{})

				return
			}
			refused, ok := finish.Outcome.(placement.NotRun)
			assert.Assert(t, ok, "%#v", finish.Outcome)
			assert.Equal(t, refused.Reason, test.reason)
			assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter <= time.Second)
		})
	}
}
