package rollout_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

// batch is a number of equal answers, of which every nth is bad.
type batch struct {
	answer rollout.Answered
	count  int
	badNth int
	slow   bool
	after  time.Duration
}

// feed passes batches to the rollout of the only host and returns its phase afterwards.
func feed(of schema.RolloutOrder, batches []batch) rollout.Phase {
	r := rollout.New(begin, of, "a", limits, []string{"a"})
	r.Step(begin, rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 100}})
	r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
	now := begin
	for _, b := range batches {
		for range b.after / step {
			now = now.Add(step)
			r.Step(now, rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 100}})
		}
		for i := range b.count {
			answer := b.answer
			bad := b.badNth > 0 && i%b.badNth == 0
			answer.Failed, answer.Slow = bad && !b.slow, bad && b.slow
			r.Step(now, answer)
		}
	}
	now = now.Add(step)
	r.Step(now, rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 100}})

	return r.Phase()
}

// Guards against verdicts from too few answers, and against bad versions that are hidden by
// many good answers: earlier ones, or those to the calls of other routes.
func TestEvidence(t *testing.T) {
	target := rollout.Answered{Route: 1, Target: true}
	others := rollout.Answered{Route: 1}
	cold := rollout.Answered{Route: 1, Target: true, Cold: true}
	second := rollout.Answered{Route: 2, Target: true}
	secondOthers := rollout.Answered{Route: 2}
	longer := order(10 * time.Minute)
	tests := map[string]struct {
		order   schema.RolloutOrder
		batches []batch
		phase   rollout.Phase
	}{
		"three failures are too few":             {order: longer, batches: []batch{{answer: others, count: 100}, {answer: target, count: 3, badNth: 1}}, phase: rollout.PhaseObserving},
		"four failures of ten":                   {order: longer, batches: []batch{{answer: others, count: 100}, {answer: target, count: 6}, {answer: target, count: 4, badNth: 1}}, phase: rollout.PhaseRolledBack},
		"four slow answers of ten":               {order: longer, batches: []batch{{answer: others, count: 100}, {answer: target, count: 6}, {answer: target, count: 4, badNth: 1, slow: true}}, phase: rollout.PhaseRolledBack},
		"slow answers of cold servers":           {order: longer, batches: []batch{{answer: others, count: 100}, {answer: cold, count: 40, badNth: 2, slow: true}}, phase: rollout.PhaseObserving},
		"failures of cold servers":               {order: longer, batches: []batch{{answer: others, count: 100}, {answer: cold, count: 40, badNth: 2}}, phase: rollout.PhaseRolledBack},
		"cold answers do not hide slow ones":     {order: longer, batches: []batch{{answer: others, count: 100}, {answer: cold, count: 300}, {answer: target, count: 12, badNth: 3, slow: true}}, phase: rollout.PhaseRolledBack},
		"others that fail as often":              {order: longer, batches: []batch{{answer: others, count: 200, badNth: 5}, {answer: target, count: 40, badNth: 5}}, phase: rollout.PhaseObserving},
		"others that fail later as often":        {order: longer, batches: []batch{{answer: others, count: 9000}, {answer: target, count: 500}, {answer: others, count: 200, badNth: 4, after: 10 * time.Second}, {answer: target, count: 24, badNth: 4}}, phase: rollout.PhaseObserving},
		"failures after many good answers":       {order: longer, batches: []batch{{answer: others, count: 9000}, {answer: target, count: 3000}, {answer: others, count: 100, after: 10 * time.Second}, {answer: target, count: 24, badNth: 3}}, phase: rollout.PhaseRolledBack},
		"failures on a route among many answers": {order: longer, batches: []batch{{answer: others, count: 9000}, {answer: secondOthers, count: 100}, {answer: target, count: 3000}, {answer: second, count: 16, badNth: 2}}, phase: rollout.PhaseRolledBack},
		"few failures on a route among many answers": {order: longer, batches: append([]batch{{answer: others, count: 9000}, {answer: secondOthers, count: 100}, {answer: target, count: 3000}},
			slices.Repeat([]batch{{answer: second, count: 2, badNth: 2, after: 2 * time.Second}}, 10)...), phase: rollout.PhaseRolledBack},
		"enough good answers in time":             {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 40}, {after: 8 * time.Second}}, phase: rollout.PhaseRamping},
		"enough good answers too early":           {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 40}, {after: 7 * time.Second}}, phase: rollout.PhaseObserving},
		"too few answers for the traffic":         {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 20}, {after: 8 * time.Second}}, phase: rollout.PhaseObserving},
		"a route without answers":                 {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 40}, {answer: secondOthers, count: 100}, {after: 8 * time.Second}}, phase: rollout.PhaseObserving},
		"a route with a few calls":                {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 40}, {answer: secondOthers, count: 3}, {after: 8 * time.Second}}, phase: rollout.PhaseRamping},
		"suspicious answers":                      {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 36, badNth: 12}, {after: 8 * time.Second}}, phase: rollout.PhaseObserving},
		"suspicious answers until the deadline":   {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 36, badNth: 12}, {after: 13 * time.Second}}, phase: rollout.PhaseRolledBack},
		"suspicious answers on a route":           {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {answer: target, count: 600}, {answer: secondOthers, count: 100}, {answer: second, count: 36, badNth: 12}, {after: 8 * time.Second}}, phase: rollout.PhaseObserving},
		"no answers of the target until the end":  {order: order(12 * time.Second), batches: []batch{{answer: others, count: 900}, {after: 13 * time.Second}}, phase: rollout.PhaseRolledBack},
		"no traffic at all until the deadline":    {order: order(12 * time.Second), batches: []batch{{after: 13 * time.Second}}, phase: rollout.PhaseRolledBack},
		"one failure among many that are bad too": {order: longer, batches: []batch{{answer: others, count: 100, badNth: 2}, {answer: target, count: 10, badNth: 2}}, phase: rollout.PhaseObserving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, feed(test.order, test.batches), test.phase)
		})
	}
}

// order returns an order of the given duration.
func order(duration time.Duration) schema.RolloutOrder {
	return schema.RolloutOrder{Service: "stock", Target: "2", DurationMs: int(duration.Milliseconds()), OrderVersion: schema.StoreVersion{Version: 7}}
}

// Guards against evidence that is lost when a host restarts, and counted twice when reports
// are repeated: the failures of two incarnations together are enough, those of one are not.
func TestEvidenceOfRestartedHosts(t *testing.T) {
	report := func(answers, failures int) rollout.Event {
		return rollout.Reported{Host: "b", Report: schema.RolloutReport{
			OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning, Recorded: true,
			Evidence: []schema.RolloutEvidence{{RouteHash: 1, TargetAnswers: answers, TargetFailures: failures, OtherAnswers: 10 * answers}},
		}}
	}
	tests := map[string]struct {
		reports []rollout.Event
		phase   rollout.Phase
	}{
		"repeated reports":   {reports: []rollout.Event{report(8, 2), report(8, 2), report(9, 2)}, phase: rollout.PhaseObserving},
		"two incarnations":   {reports: []rollout.Event{report(8, 2), report(3, 2)}, phase: rollout.PhaseRolledBack},
		"one that grows":     {reports: []rollout.Event{report(8, 2), report(12, 4)}, phase: rollout.PhaseRolledBack},
		"another order's":    {reports: []rollout.Event{report(8, 2), rollout.Reported{Host: "c", Report: schema.RolloutReport{OrderVersion: schema.StoreVersion{Version: 6}, State: schema.RolloutStateRolledBack, Recorded: true}}}, phase: rollout.PhaseObserving},
		"a rollback, of one": {reports: []rollout.Event{rollout.Reported{Host: "c", Report: schema.RolloutReport{OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRolledBack}}}, phase: rollout.PhaseRolledBack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout.New(begin, order(time.Minute), "a", limits, []string{"a", "b", "c"})
			r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
			for _, event := range test.reports {
				r.Step(begin, event)
			}
			assert.Equal(t, r.Phase(), test.phase)
		})
	}
}

// Guards against a bad version that gets more calls from a host which cannot know of a
// rollback, and against hosts on both sides of a partition that both go on.
func TestPartitions(t *testing.T) {
	running := schema.RolloutReport{OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning, Recorded: true, ShareMilli: 50}
	tests := map[string]struct {
		host    string
		members []string
		heard   []string
		store   bool
		sends   bool
	}{
		"the only host":                         {host: "a", members: []string{"a"}, sends: true},
		"hears all":                             {host: "a", members: []string{"a", "b", "c"}, heard: []string{"b", "c"}, sends: true},
		"hears most":                            {host: "c", members: []string{"a", "b", "c"}, heard: []string{"b"}, sends: true},
		"hears nobody":                          {host: "a", members: []string{"a", "b", "c"}},
		"hears nobody but the store":            {host: "a", members: []string{"a", "b", "c"}, store: true, sends: true},
		"hears one of three":                    {host: "a", members: []string{"a", "b", "c", "d", "e"}, heard: []string{"b"}},
		"of two halves, the one with the first": {host: "b", members: []string{"a", "b", "c", "d"}, heard: []string{"a"}, sends: true},
		"of two halves, the one without it":     {host: "c", members: []string{"a", "b", "c", "d"}, heard: []string{"d"}},
		"hears hosts that never served":         {host: "a", members: []string{"a", "b", "c"}, heard: []string{"x", "y"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout.New(begin, order(time.Minute), test.host, limits, test.members)
			load := rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 10}}
			r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
			now := begin
			for now.Sub(begin) < 4*time.Second {
				now = now.Add(step)
				for _, name := range test.heard {
					r.Step(now, rollout.Reported{Host: name, Report: running})
				}
				for _, action := range r.Step(now, load) {
					if record, ok := action.(rollout.Record); ok {
						r.Step(now, rollout.Recorded{State: record.State, Failed: !test.store})
					}
				}
			}
			assert.Equal(t, r.Share() > 0, test.sends)
			// Lost hosts count although they serve no more.
			serving := slices.DeleteFunc(slices.Clone(test.members), func(name string) bool {
				return name != test.host && !slices.Contains(test.heard, name)
			})
			r.Step(now, rollout.ServingChanged{Hosts: serving})
			r.Step(now, load)
			assert.Equal(t, r.Share() > 0, test.sends)
		})
	}
}

// Guards against a host that was frozen and sends calls to a version that was rolled back
// meanwhile: nothing that it heard before the freeze counts.
func TestResumedHostSendsNothing(t *testing.T) {
	r := rollout.New(begin, order(time.Minute), "a", limits, []string{"a", "b", "c"})
	load := rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 10}}
	report := rollout.Reported{Host: "b", Report: schema.RolloutReport{OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning, Recorded: true}}
	r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
	r.Step(begin, report)
	r.Step(begin, load)
	assert.Assert(t, r.Share() > 0)
	now := begin.Add(time.Second)
	r.Step(now, rollout.Resumed{})
	r.Step(now, load)
	assert.Equal(t, r.Share(), 0.0)
	r.Step(now, report)
	assert.Assert(t, r.Share() > 0)
}

// Guards against two final states: the one that the store has stands.
func TestFinalStates(t *testing.T) {
	completed, rolledBack := schema.RolloutStateCompleted, schema.RolloutStateRolledBack
	report := func(state schema.RolloutState, recorded bool) rollout.Event {
		return rollout.Reported{Host: "b", Report: schema.RolloutReport{OrderVersion: schema.StoreVersion{Version: 7}, State: state, Recorded: recorded}}
	}
	tests := map[string]struct {
		events []rollout.Event
		phase  rollout.Phase
	}{
		"the store replaces what was believed":          {events: []rollout.Event{report(rolledBack, false), rollout.Recorded{State: completed}}, phase: rollout.PhaseCompleted},
		"a recorded report replaces what was believed":  {events: []rollout.Event{report(rolledBack, false), report(completed, true)}, phase: rollout.PhaseCompleted},
		"a belief does not replace the store's":         {events: []rollout.Event{rollout.Recorded{State: completed}, report(rolledBack, false)}, phase: rollout.PhaseCompleted},
		"a report does not replace the store's":         {events: []rollout.Event{rollout.Recorded{State: completed}, report(rolledBack, true)}, phase: rollout.PhaseCompleted},
		"completion that is not recorded means nothing": {events: []rollout.Event{report(completed, false)}, phase: rollout.PhaseUnknown},
		"a failed write means nothing":                  {events: []rollout.Event{rollout.Recorded{State: completed, Failed: true}}, phase: rollout.PhaseUnknown},
		"a late result of an earlier request":           {events: []rollout.Event{report(rolledBack, false), rollout.Recorded{State: schema.RolloutStateRunning}}, phase: rollout.PhaseRolledBack},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout.New(begin, order(time.Minute), "a", limits, []string{"a", "b"})
			for _, event := range test.events {
				r.Step(begin, event)
			}
			assert.Equal(t, r.Phase(), test.phase)
		})
	}
}

// Guards against a step that the backend servers of the target cannot carry, and against
// hosts that take steps before the others.
func TestSteps(t *testing.T) {
	tests := map[string]struct {
		slots    int
		inFlight int
		other    int
		lost     bool
		phase    rollout.Phase
	}{
		"all report and the target carries it": {slots: 40, inFlight: 100, other: 50, phase: rollout.PhaseRamping},
		"the other host lags behind":           {slots: 40, inFlight: 100, other: 0, phase: rollout.PhaseObserving},
		"the target cannot carry it":           {slots: 15, inFlight: 100, other: 50, phase: rollout.PhaseObserving},
		"most hosts were lost":                 {slots: 40, inFlight: 100, other: 50, lost: true, phase: rollout.PhaseObserving},
		"no slot of the target is warm":        {slots: 0, inFlight: 0, other: 50, phase: rollout.PhaseObserving},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout.New(begin, order(10*time.Second), "a", limits, []string{"a", "b"})
			if test.lost {
				r.Step(begin, rollout.ServingChanged{Hosts: []string{"a", "b", "c", "d", "e"}})
				r.Step(begin, rollout.ServingChanged{Hosts: []string{"a", "b"}})
			}
			r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
			now := begin
			for now.Sub(begin) < 7*time.Second {
				now = now.Add(step)
				r.Step(now, rollout.Reported{Host: "b", Report: schema.RolloutReport{
					OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning, Recorded: true, ShareMilli: test.other,
					Evidence: []schema.RolloutEvidence{{RouteHash: 1, TargetAnswers: 50, OtherAnswers: 900}},
				}})
				for _, action := range r.Step(now, rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: test.slots, InFlight: test.inFlight}}) {
					if _, ok := action.(rollout.Record); ok {
						r.Step(now, rollout.Recorded{State: schema.RolloutStateRunning})
					}
				}
			}
			assert.Assert(t, r.Share() > 0)
			assert.Equal(t, r.Phase(), test.phase)
		})
	}
}

// Guards against a service that waits for hosts which have left by a planned stop.
func TestHostsThatLeave(t *testing.T) {
	r := rollout.New(begin, order(time.Minute), "c", limits, []string{"a", "b", "c"})
	r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
	running := schema.RolloutReport{OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning, Recorded: true}
	for _, name := range []string{"a", "b"} {
		r.Step(begin, rollout.Reported{Host: name, Report: running})
	}
	now := begin.Add(100 * time.Millisecond)
	r.Step(now, rollout.ServingChanged{Hosts: []string{"c"}})
	now = now.Add(time.Minute / 2)
	r.Step(now, rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 10}})
	assert.Assert(t, r.Share() > 0)
}

// Guards against completion while calls still run on the other versions, whose backend
// servers then stop at once.
func TestCompletion(t *testing.T) {
	tests := map[string]struct {
		otherShare, otherInFlight, inFlight int
		recorded                            bool
	}{
		"all moved":                   {otherShare: 1000, recorded: true},
		"another host has not moved":  {otherShare: 400},
		"another host has calls left": {otherShare: 1000, otherInFlight: 1},
		"this host has calls left":    {otherShare: 1000, inFlight: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := rollout.New(begin, order(10*time.Second), "a", limits, []string{"a", "b"})
			r.Step(begin, rollout.Recorded{State: schema.RolloutStateRunning})
			wanted := false
			for now := begin; now.Sub(begin) < 10*time.Second; now = now.Add(step) {
				r.Step(now, rollout.Reported{Host: "b", Report: schema.RolloutReport{
					OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning, Recorded: true, ShareMilli: test.otherShare, OtherInFlight: test.otherInFlight,
					Evidence: []schema.RolloutEvidence{{RouteHash: 1, TargetAnswers: 50, OtherAnswers: 900}},
				}})
				for _, action := range r.Step(now, rollout.Ticked{Load: rollout.Load{Registered: true, TargetSlots: 40, InFlight: 4, OtherInFlight: test.inFlight}}) {
					record, ok := action.(rollout.Record)
					wanted = wanted || ok && record.State == schema.RolloutStateCompleted
				}
			}
			assert.Equal(t, r.Phase(), rollout.PhaseMoved)
			assert.Equal(t, wanted, test.recorded)
		})
	}
}
