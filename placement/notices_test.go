package placement_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// sendsToA counts the calls and probes sent to the backend server a in a time of
// calls that arrive every 10 ms and end at once.
func sendsToA(placer *placement.Placer, from, until time.Time) (calls, probes int) {
	for now := from; now.Before(until); now = now.Add(10 * time.Millisecond) {
		actions := append([]placement.Action(nil), placer.Step(now, placement.Ticked{})...)
		actions = append(actions, call(placer, now, placement.CallID(now.UnixNano()))...)
		for _, action := range actions {
			switch action := action.(type) {
			case placement.Send:
				if action.Server == "a" {
					calls++
				}
				placer.Step(now, placement.AttemptEnded{Attempt: action.Attempt, Result: placement.Whole{Status: 200}, Load: &placement.Load{Pace: 1}})
			case placement.Probe:
				if action.Server == "a" {
					probes++
				}
				placer.Step(now, placement.ProbeEnded{Server: action.Server, Answered: true, Healthy: true, Load: &placement.Load{Pace: 1}})
			case placement.Cancel, placement.Finish, placement.ServerStatusChanged, placement.RecordRollout, placement.RolloutChanged, placement.RefusalsOutdated:
			}
		}
	}

	return calls, probes
}

// Guards against calls that reach a backend server after this host passed on its
// announcement that it leaves.
func TestLeavingServerReceivesNoCalls(t *testing.T) {
	declared := declaration(schema.Route{Idempotent: true}, registration("a"), registration("b"))
	answer := func(placer *placement.Placer, result placement.Result) {
		for id := placement.CallID(1); ; id++ {
			send, _ := firstOf[placement.Send](call(placer, begin, id))
			if send.Server == "a" {
				placer.Step(begin, placement.AttemptEnded{Attempt: send.Attempt, Result: result, Notice: placement.Notice{Leaving: true}})

				return
			}
		}
	}
	tests := map[string]func(placer *placement.Placer){
		"stated in an answer":        func(placer *placement.Placer) { answer(placer, placement.Whole{Status: 200}) },
		"stated in a failed answer":  func(placer *placement.Placer) { answer(placer, placement.Whole{Status: 500}) },
		"stated in a refusal":        func(placer *placement.Placer) { answer(placer, placement.Refused{}) },
		"stated in a truncated body": func(placer *placement.Placer) { answer(placer, placement.Cut{}) },
		"stated in a probe": func(placer *placement.Placer) {
			placer.Step(begin, placement.ProbeEnded{Server: "a", Answered: true, Notice: placement.Notice{Leaving: true}})
		},
		"reported by another host": func(placer *placement.Placer) {
			placer.Step(begin, placement.LoadsReceived{Host: "other", Leaving: []schema.LeavingServer{{ServerHash: placement.Hash("a")}}})
		},
		"registered again without a new start": func(placer *placement.Placer) {
			answer(placer, placement.Whole{Status: 200})
			gone := declaration(schema.Route{Idempotent: true}, registration("b"))
			placer.Step(begin, placement.DeclaredChanged{Declared: gone})
			placer.Step(begin, placement.DeclaredChanged{Declared: declared})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declared)
			leave(placer)
			calls, probes := sendsToA(placer, begin.Add(10*time.Millisecond), begin.Add(4*time.Second))
			assert.Equal(t, calls, 0)
			assert.Equal(t, probes, 0)

			restarted := registration("a")
			restarted.StartedMs = 1
			placer.Step(begin.Add(4*time.Second), placement.DeclaredChanged{Declared: declaration(schema.Route{Idempotent: true}, restarted, registration("b"))})
			calls, _ = sendsToA(placer, begin.Add(4*time.Second), begin.Add(6*time.Second))
			assert.Assert(t, calls > 0, "a later start gets no calls")
		})
	}
}

func TestLastLeavingServerIsUsedForAShortTimeOnly(t *testing.T) {
	placer := newPlacer(declaration(schema.Route{}, registration("a")))
	placer.Step(begin, placement.ProbeEnded{Server: "a", Answered: true, Notice: placement.Notice{Leaving: true}})
	_, sent := firstOf[placement.Send](call(placer, begin.Add(500*time.Millisecond), 1))
	assert.Assert(t, sent)
	calls, _ := sendsToA(placer, begin.Add(1010*time.Millisecond), begin.Add(3*time.Second))
	assert.Equal(t, calls, 0)
}

func TestLeavingServersAreReportedToOtherHosts(t *testing.T) {
	placer := newPlacer(declaration(schema.Route{}, registration("a"), registration("b")))
	placer.Step(begin, placement.ProbeEnded{Server: "a", Answered: true, Notice: placement.Notice{Leaving: true}})
	placer.Step(begin, placement.LoadsReceived{Host: "other", Leaving: []schema.LeavingServer{{ServerHash: placement.Hash("b")}}})
	assert.DeepEqual(t, placer.Leaving(begin.Add(time.Second)), []schema.LeavingServer{{ServerHash: placement.Hash("a")}})
	assert.Equal(t, len(placer.Leaving(begin.Add(4*time.Second))), 0)
}

// Guards against calls, retries, hedges and probes to a backend server that has
// answered 503 with Retry-After.
func TestPausedServerReceivesNothing(t *testing.T) {
	placer := newPlacer(declaration(schema.Route{Idempotent: true}, registration("a"), registration("b")))
	placer.Step(begin, placement.ProbeEnded{Server: "a", Answered: true, Notice: placement.Notice{Pause: 2 * time.Second}})
	calls, probes := sendsToA(placer, begin.Add(10*time.Millisecond), begin.Add(2*time.Second))
	assert.Equal(t, calls, 0)
	assert.Equal(t, probes, 0)
	calls, _ = sendsToA(placer, begin.Add(2*time.Second), begin.Add(4*time.Second))
	assert.Assert(t, calls > 0, "no calls after the pause")
}

// Guards against callers that wait for their deadline, or return together, while
// all backend servers of a service have asked for a pause.
func TestCallsAreRefusedWhileAllServersPause(t *testing.T) {
	placer := newPlacer(declaration(schema.Route{}, registration("a"), registration("b")))
	placer.Step(begin, placement.ProbeEnded{Server: "a", Answered: true, Notice: placement.Notice{Pause: 3 * time.Second}})
	placer.Step(begin, placement.ProbeEnded{Server: "b", Answered: true, Notice: placement.Notice{Pause: 2 * time.Second}})
	delays := map[time.Duration]bool{}
	for id := range placement.CallID(20) {
		finish, ended := firstOf[placement.Finish](call(placer, begin, id+1))
		assert.Assert(t, ended, "the call waits")
		refused, is := finish.Outcome.(placement.NotRun)
		assert.Assert(t, is)
		assert.Equal(t, refused.Reason, placement.ReasonPaused)
		assert.Assert(t, refused.RetryAfter >= 2*time.Second && refused.RetryAfter <= 2500*time.Millisecond, "%s", refused.RetryAfter)
		delays[refused.RetryAfter] = true
	}
	assert.Assert(t, len(delays) > 10, "callers return together")
}

// noticeModel is what backend servers have stated, as the model of TestNoticesHold.
type noticeModel struct {
	starts       map[string]int
	left, paused map[string]time.Time
}

// registered returns the declared state with the current starts.
func (m *noticeModel) registered() schema.Declared {
	list := make([]schema.Registration, 0, len(m.starts))
	for _, name := range []string{"a", "b", "c"} {
		next := registration(name)
		next.StartedMs = m.starts[name]
		list = append(list, next)
	}

	return declaration(schema.Route{Idempotent: true}, list...)
}

// change makes one backend server leave, pause, restart or register again.
func (m *noticeModel) change(placer *placement.Placer, now time.Time, name string, event, waitMs int) {
	switch event {
	case 0:
		placer.Step(now, placement.ProbeEnded{Server: name, Answered: true, Notice: placement.Notice{Leaving: true}})
		if m.left[name].IsZero() {
			m.left[name] = now
		}
	case 1:
		wait := time.Duration(waitMs) * time.Millisecond
		placer.Step(now, placement.ProbeEnded{Server: name, Answered: true, Notice: placement.Notice{Pause: wait}})
		if until := now.Add(wait); until.After(m.paused[name]) {
			m.paused[name] = until
		}
	case 2:
		m.starts[name]++
		delete(m.left, name)
		delete(m.paused, name)
		placer.Step(now, placement.DeclaredChanged{Declared: m.registered()})
	default:
		placer.Step(now, placement.DeclaredChanged{Declared: declaration(schema.Route{Idempotent: true})})
		placer.Step(now, placement.DeclaredChanged{Declared: m.registered()})
	}
}

// check returns the time since the notice that a send breaks, or 0.
func (m *noticeModel) check(now time.Time, server string) time.Duration {
	if at := m.left[server]; !at.IsZero() && now.Sub(at) > time.Second {
		return now.Sub(at)
	}

	return max(m.paused[server].Sub(now), 0)
}

// TestNoticesHold sends calls while backend servers leave, pause, restart and
// register again in any order.
func TestNoticesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &noticeModel{starts: map[string]int{}, left: map[string]time.Time{}, paused: map[string]time.Time{}}
		placer := newPlacer(model.registered())
		now := begin
		for range 150 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			if event := rapid.IntRange(0, 20).Draw(t, "event"); event < 4 {
				model.change(placer, now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"), event, rapid.IntRange(1, 3000).Draw(t, "wait"))

				continue
			}
			actions := slices.Clone(placer.Step(now, placement.Ticked{}))
			actions = append(actions, call(placer, now, placement.CallID(now.UnixNano()))...)
			for _, action := range actions {
				send, is := action.(placement.Send)
				if !is {
					continue
				}
				if broken := model.check(now, send.Server); broken > 0 {
					t.Fatalf("%s was sent a call, off by %s", send.Server, broken)
				}
				placer.Step(now, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}})
			}
		}
	})
}

// Guards against callers that are told a route does not exist, or are served by an
// older service, because the route could not be read.
func TestUnreadableRoutes(t *testing.T) {
	tests := map[string]struct {
		change func(*schema.Declaration)
		want   placement.Outcome
	}{
		"route without targets": {
			change: func(d *schema.Declaration) { d.Routes[0].Targets = []schema.RouteTarget{} },
			want:   placement.NotRun{Reason: placement.ReasonUnreadable, RetryAfter: time.Second},
		},
		"some route is unknown": {
			change: func(d *schema.Declaration) { d.Routes, d.Incomplete = nil, true },
			want:   placement.NotRun{Reason: placement.ReasonUnreadable, RetryAfter: time.Second},
		},
		"all routes are known": {
			change: func(d *schema.Declaration) { d.Routes = nil },
			want:   placement.NoRoute{},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			state := declaration(schema.Route{}, registration("a"))
			test.change(&state.Declaration)
			placer := newPlacer(state)
			placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
			finish, ended := firstOf[placement.Finish](call(placer, confirmed, 1))
			assert.Assert(t, ended)
			assert.DeepEqual(t, finish.Outcome, test.want)
		})
	}
}
