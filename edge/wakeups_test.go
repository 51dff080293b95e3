package edge

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// TestEarliestSignal takes the ticks of a process that was held up, in milliseconds,
// and the time at which it handles a signal.
func TestEarliestSignal(t *testing.T) {
	type tick struct{ at, nextDue int }
	tests := map[string]struct {
		ticks    []tick
		handled  int
		earliest int
	}{
		"no tick yet":                           {handled: 100, earliest: 100},
		"on time":                               {ticks: []tick{{0, 50}, {50, 100}}, handled: 70, earliest: 70},
		"behind the tick that is due":           {ticks: []tick{{0, 50}}, handled: 900, earliest: 50},
		"just after the first tick for long":    {ticks: []tick{{0, 50}, {900, 950}}, handled: 905, earliest: 50},
		"some time after the first for long":    {ticks: []tick{{0, 50}, {900, 950}}, handled: 940, earliest: 50},
		"long after it":                         {ticks: []tick{{0, 50}, {900, 950}, {950, 1000}, {1000, 1050}}, handled: 1010, earliest: 1010},
		"ticks that are a little late":          {ticks: []tick{{0, 50}, {90, 140}, {180, 230}}, handled: 200, earliest: 200},
		"held up again before it could tick on": {ticks: []tick{{0, 50}, {900, 950}}, handled: 2000, earliest: 950},
	}
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w wakeups
			for _, tick := range test.ticks {
				w.ticked(at(tick.at), at(tick.nextDue))
			}
			assert.Equal(t, w.lastWakeup().EarliestSignal(at(test.handled)), at(test.earliest))
		})
	}
}

// Guards against a host that is killed with calls in flight because it counts its
// grace period from when it handled SIGTERM, which it did late.
func TestAPlannedStopCountsFromASignalThatIsHandledLate(t *testing.T) {
	const grace = 2 * time.Second
	tests := map[string]time.Duration{
		"in time":              0,
		"by 0.8 s":             800 * time.Millisecond,
		"by most of the grace": 1900 * time.Millisecond,
	}
	for name, delay := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			h := New(schema.EdgeSettings{Senders: 1}, Site{Name: "h", DataCentre: "north"}, Adapter{}, eventlog.New(logrus.NewEntry(logger)))
			h.grace.Store(int64(grace))
			sentAt := time.Now().Add(-delay)
			h.wakeups.ticked(sentAt.Add(-controlTickInterval), sentAt)
			interrupted, interrupt := context.WithCancel(t.Context())
			interrupt()
			ended := make(chan error, 1)
			go func() { ended <- h.runStop(t.Context(), interrupted, func() {}) }()
			input, err := h.changes.Take(t.Context())
			assert.NilError(t, err)
			begun := input.(PlacementEvent).Event.(placement.StopBegun)
			assert.Assert(t, begun.OnlyHostUntil.Before(sentAt.Add(onlyHostTime+time.Millisecond)))
			query, err := h.changes.Take(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, query.(OpenCallsQuery).Reply.Offer(OpenCalls{}) == nil)
			var stopped *StoppedError
			assert.Assert(t, errors.As(<-ended, &stopped))
			// The calls are concluded before the exit, and have time for that in any case.
			latest := sentAt.Add(grace)
			if delay > grace*9/10 {
				latest = sentAt.Add(delay + grace/deliveryDivisor + 100*time.Millisecond)
			}
			assert.Assert(t, time.Now().Before(latest), "the stop ended %s after the signal", time.Since(sentAt))
		})
	}
}
