package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// quotaSharers is the number of hosts by which a tenant without a burst has one token
// at each host: it is three quarters of the slack.
const quotaSharers = 15

// newQuotaPlacer returns the placer of one of several serving hosts with a tenant that
// has the key a1 and a limit, and a public route under /public/.
func newQuotaPlacer(sharers int, rate, burst float64, servers ...schema.Registration) *placement.Placer {
	declared := withTenants(declaration(schema.Route{Idempotent: true}, servers...))
	declared.Declaration.Tenants[0].RatePerSecond, declared.Declaration.Tenants[0].Burst = rate, burst
	placer := placement.New(placement.Options{
		Host: "host", DataCentre: "north", Budget: retryBudget, ProbeInterval: 100 * time.Millisecond, CrossingCost: 0.015,
		Tolerance: allotment.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20},
	})
	placer.Step(begin.Add(-retryBudget.Window), placement.Ticked{})
	placer.Step(begin, placement.PeersChanged{Peers: placement.Peers{
		Hosts: sharers, Sharers: sharers, Serving: []placement.Peer{{Name: "host", DataCentre: "north"}},
	}})
	placer.Step(begin, placement.DeclaredChanged{Declared: declared})
	placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Hour)))

	return placer
}

// refusedForQuota returns the outcome of a call that was refused because of the quota
// of its tenant, and whether that is so.
func refusedForQuota(actions []placement.Action) (placement.NotRun, bool) {
	finish, _ := firstOf[placement.Finish](actions)
	refused, ok := finish.Outcome.(placement.NotRun)

	return refused, ok && refused.Reason == placement.ReasonAllotment
}

// Guards against calls beyond the quota of a tenant that are run, that leave state
// behind, or that are refused without a usable retry delay.
func TestCallsBeyondTheQuota(t *testing.T) {
	tests := map[string]struct {
		path, key string
		refused   bool
	}{
		"the tenant":                          {path: "/x/1", key: "a1", refused: true},
		"the tenant on a public route":        {path: "/public/1", key: "a1", refused: true},
		"a tenant without a limit":            {path: "/x/1", key: "b1"},
		"no key on a public route":            {path: "/public/1"},
		"an unknown key on a public route":    {path: "/public/1", key: "x"},
		"a tenant's key on no declared route": {path: "", key: "a1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newQuotaPlacer(quotaSharers, quotaSharers, 0, registration("a"), registration("b"))
			_, sent := firstOf[placement.Send](callWith(placer, confirmed, 1, "/x/1", "a1"))
			assert.Assert(t, sent, "the first call is within the quota")
			open := placer.Open()
			actions := callWith(placer, confirmed, 2, test.path, test.key)
			refused, ok := refusedForQuota(actions)
			assert.Equal(t, ok, test.refused, "%#v", actions)
			if !test.refused {
				return
			}
			finish, _ := firstOf[placement.Finish](actions)
			assert.Assert(t, len(actions) == 1 && finish.Sends == 0 && finish.Tenant == "acme", "%#v", actions)
			assert.Assert(t, refused.RetryAfter >= 750*time.Millisecond && refused.RetryAfter <= 1250*time.Millisecond, "%v", refused.RetryAfter)
			assert.Equal(t, placer.Open(), open)
			for tick := range 11 {
				placer.Step(confirmed.Add(time.Duration(tick)*100*time.Millisecond), placement.Ticked{})
			}
			_, sent = firstOf[placement.Send](callWith(placer, confirmed.Add(1100*time.Millisecond), 3, "/x/1", "a1"))
			assert.Assert(t, sent, "a token has come")
		})
	}
}

// Guards against a quota that shrinks with calls that never reached a backend server,
// and against one that is not charged for those that did.
func TestTokenOfACallThatEnds(t *testing.T) {
	end := func(result placement.Result) func(*placement.Placer, time.Time, []placement.Action) {
		return func(placer *placement.Placer, at time.Time, actions []placement.Action) {
			for {
				send, sent := firstOf[placement.Send](actions)
				if !sent {
					return
				}
				actions = placer.Step(at, placement.AttemptEnded{Attempt: send.Attempt, Result: result})
			}
		}
	}
	none := func(*placement.Placer, time.Time, []placement.Action) {}
	tests := map[string]struct {
		servers []schema.Registration
		before  func(placer *placement.Placer)
		end     func(placer *placement.Placer, at time.Time, actions []placement.Action)
		kept    bool
	}{
		"in flight":                          {servers: []schema.Registration{registration("a")}, end: none, kept: true},
		"answered":                           {servers: []schema.Registration{registration("a")}, end: end(placement.Whole{Status: 200}), kept: true},
		"refused by the backend servers":     {servers: []schema.Registration{registration("a"), registration("b")}, end: end(placement.Refused{}), kept: true},
		"cut":                                {servers: []schema.Registration{registration("a")}, end: end(placement.Cut{}), kept: true},
		"did not leave the host":             {servers: []schema.Registration{registration("a"), registration("b"), registration("c"), registration("d")}, end: end(placement.Unsent{})},
		"did not leave the host, then did":   {servers: []schema.Registration{registration("a"), registration("b"), registration("c")}, kept: true, end: unsentThenAnswered},
		"caller left while it was in flight": {servers: []schema.Registration{registration("a")}, kept: true, end: leave},
		"caller left while it was queued":    {servers: []schema.Registration{registration("a")}, before: fillSlots, end: leave},
		"deadline passed while it was queued": {servers: []schema.Registration{registration("a")}, before: fillSlots, end: func(placer *placement.Placer, at time.Time, _ []placement.Action) {
			placer.Step(at.Add(300*time.Millisecond), placement.Ticked{})
		}},
		"no backend server": {end: func(placer *placement.Placer, at time.Time, _ []placement.Action) {
			placer.Step(at.Add(300*time.Millisecond), placement.Ticked{})
		}},
		"host stops": {servers: []schema.Registration{registration("a")}, before: func(placer *placement.Placer) {
			placer.Step(confirmed, placement.StopBegun{WorkUntil: confirmed})
		}, end: none},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newQuotaPlacer(quotaSharers, quotaSharers, 0, test.servers...)
			if test.before != nil {
				test.before(placer)
			}
			test.end(placer, confirmed, callWith(placer, confirmed, 1, "/x/1", "a1"))
			later := confirmed.Add(300 * time.Millisecond) // 0.3 tokens
			actions := callWith(placer, later, 2, "/x/1", "a1")
			_, refused := refusedForQuota(actions)
			assert.Equal(t, refused, test.kept)
			if _, ended := firstOf[placement.Finish](actions); !ended { // it has a token
				_, refused = refusedForQuota(callWith(placer, later, 3, "/x/1", "a1"))
				assert.Assert(t, refused, "one call returned more than one token")
			}
		})
	}
}

// Guards against a call that did not leave the host and frees the capacity which another
// call holds that waits.
func TestUnsentCallLeavesTheTokensOfOthers(t *testing.T) {
	placer := newQuotaPlacer(7, 7, 0, registration("a")) // 2.14 tokens, one a second
	send, _ := firstOf[placement.Send](callWith(placer, confirmed, 1, "/x/1", "a1"))
	callWith(placer, confirmed, 100, "/public/1", "")
	assert.Equal(t, len(callWith(placer, confirmed, 2, "/x/1", "a1")), 0, "no slot is free, so the call waits")
	finish, _ := firstOf[placement.Finish](placer.Step(confirmed, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Unsent{}}))
	assert.Equal(t, finish.Call, placement.CallID(1))
	later := confirmed.Add(450 * time.Millisecond)
	for range 2 {
		placer.Step(later, placement.PeersChanged{Peers: placement.Peers{Sharers: 7, Serving: []placement.Peer{{Name: "host"}}}})
		later = later.Add(450 * time.Millisecond)
	}
	_, refused := refusedForQuota(callWith(placer, later, 3, "/x/1", "a1"))
	assert.Assert(t, !refused)
	_, refused = refusedForQuota(callWith(placer, later, 4, "/x/1", "a1"))
	assert.Assert(t, refused, "two tokens beside the one that the second call holds")
}

// unsentThenAnswered ends the first attempt of a call as unsent and the second as
// answered.
func unsentThenAnswered(placer *placement.Placer, at time.Time, actions []placement.Action) {
	send, _ := firstOf[placement.Send](actions)
	send, _ = firstOf[placement.Send](placer.Step(at, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Unsent{}}))
	placer.Step(at, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}})
}

// leave disconnects the caller of the first call.
func leave(placer *placement.Placer, at time.Time, _ []placement.Action) {
	placer.Step(at, placement.CallerLeft{Call: 1})
}

// fillSlots takes all slots with calls without a tenant.
func fillSlots(placer *placement.Placer) {
	for id := placement.CallID(100); id < 104; id++ {
		callWith(placer, confirmed, id, "/public/1", "")
	}
}

// Guards against shares that do not follow the number of hosts, the declaration or a
// freeze.
func TestQuotaFollowsWhatTheHostKnows(t *testing.T) {
	peers := func(sharers int, serving ...placement.Peer) placement.Event {
		return placement.PeersChanged{Peers: placement.Peers{Hosts: sharers, Sharers: sharers, Serving: serving}}
	}
	self := placement.Peer{Name: "host", DataCentre: "north"}
	wide := registration("a")
	wide.Slots = 200 // no call waits and holds its token
	limit := func(rate, burst float64) placement.Event {
		declared := withTenants(declaration(schema.Route{Idempotent: true}, wide))
		declared.Declaration.Version = 2
		declared.Declaration.Tenants[0].RatePerSecond, declared.Declaration.Tenants[0].Burst = rate, burst

		return placement.DeclaredChanged{Declared: declared}
	}
	tests := map[string]struct {
		events []placement.Event
		// used is the number of calls before those that are counted.
		used  int
		at    time.Duration
		calls int
	}{
		"three hosts":                    {calls: 12},
		"two more hosts":                 {events: []placement.Event{peers(5, self)}, calls: 7},
		"a host that does not serve":     {events: []placement.Event{peers(4)}, calls: 4},
		"a lower limit":                  {events: []placement.Event{limit(100, 0)}, calls: 5},
		"no limit":                       {events: []placement.Event{limit(0, 0)}, calls: 50},
		"used up":                        {used: 12, calls: 0},
		"used up, a moment ago":          {used: 12, at: 300 * time.Millisecond, calls: 10},
		"used up, and frozen ever since": {used: 12, at: 800 * time.Millisecond, calls: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newQuotaPlacer(3, 100, 20, wide)
			for _, event := range test.events {
				placer.Step(confirmed, event)
			}
			calls := 0
			for id := range test.used {
				callWith(placer, confirmed, placement.CallID(1000+id), "/x/1", "a1")
			}
			for id := placement.CallID(1); id <= 50; id++ {
				if _, refused := refusedForQuota(callWith(placer, confirmed.Add(test.at), id, "/x/1", "a1")); !refused {
					calls++
				}
			}
			assert.Equal(t, calls, test.calls)
		})
	}
}

// Guards against a tenant with a small limit that gets no calls because its share at
// each host is less than one call.
func TestSmallQuotaOfManyHosts(t *testing.T) {
	const hosts = 8
	placers := make([]*placement.Placer, hosts)
	for i := range placers {
		placers[i] = newQuotaPlacer(hosts, 2, 2, registration("a"))
	}
	for i := range 80 { // two calls a second, at one host after the other
		at := confirmed.Add(time.Duration(i) * 500 * time.Millisecond)
		for _, placer := range placers {
			for tick := range 5 {
				placer.Step(at.Add(time.Duration(tick*100)*time.Millisecond), placement.Ticked{})
			}
		}
		at = at.Add(450 * time.Millisecond)
		send, sent := firstOf[placement.Send](callWith(placers[i%hosts], at, placement.CallID(i+1), "/x/1", "a1"))
		assert.Assert(t, sent, "call %d", i)
		placers[i%hosts].Step(at, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}})
	}
}
