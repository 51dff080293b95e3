package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

// order moves the service stock to version 2.
var order = schema.RolloutOrder{Service: "stock", Target: "2", DurationMs: 12000, OrderVersion: schema.StoreVersion{Version: 7}}

// versioned returns a backend server of a version.
func versioned(id, version string) schema.Registration {
	of := registration(id)
	of.Version, of.Slots = version, 4

	return of
}

// rolloutPlacer returns the placer of the only serving host with the given orders.
func rolloutPlacer(declared schema.Declared, orders ...schema.RolloutOrder) *placement.Placer {
	declared.Rollouts = orders
	placer := newPlacer(schema.Declared{})
	placer.Options.Rollout = rollout.Limits{Share: 0.1, Slack: 50, Within: 5 * time.Second}
	placer.Step(begin, placement.DeclaredChanged{Declared: declared})
	placer.Step(begin, placement.Ticked{})

	return placer
}

// recorded returns the event that the store has a state of an order.
func recorded(of schema.RolloutOrder, state schema.RolloutState) placement.Event {
	return placement.RolloutRecorded{Service: of.Service, OrderVersion: of.OrderVersion, State: state}
}

// sendsByServer makes calls, one every 10 ms, that end at once with an answer, and returns
// the number of sends to each backend server.
func sendsByServer(placer *placement.Placer, from time.Time, calls int, answer func(server string) placement.Result) map[string]int {
	sends := map[string]int{}
	for i := range calls {
		now := from.Add(time.Duration(i) * 10 * time.Millisecond)
		placer.Step(now, placement.Ticked{})
		actions := call(placer, now, placement.CallID(now.UnixNano()))
		for {
			send, ok := firstOf[placement.Send](actions)
			if !ok {
				break
			}
			sends[send.Server]++
			actions = placer.Step(now, placement.AttemptEnded{Attempt: send.Attempt, Result: answer(send.Server), Load: &placement.Load{Pace: 1}})
		}
	}

	return sends
}

func succeeds(string) placement.Result { return placement.Whole{Status: 200} }

// Guards against calls that run on a version that no order allows, and against versions that
// get no calls although the order allows them.
func TestRolloutSides(t *testing.T) {
	both := []schema.Registration{versioned("a", "1"), versioned("b", "2")}
	completed, rolledBack, running := schema.RolloutStateCompleted, schema.RolloutStateRolledBack, schema.RolloutStateRunning
	second := order
	second.OrderVersion.Version = 9
	declare := func(orders ...schema.RolloutOrder) placement.Event {
		declared := declaration(schema.Route{Idempotent: true}, both...)
		declared.Rollouts = orders

		return placement.DeclaredChanged{Declared: declared}
	}
	report := func(state schema.RolloutState, isRecorded bool) placement.Event {
		return placement.LoadsReceived{Host: "other", Rollouts: []schema.RolloutReport{{
			ServiceHash: placement.Hash("stock"), OrderVersion: order.OrderVersion, State: state, Recorded: isRecorded,
		}}}
	}
	tests := map[string]struct {
		orders []schema.RolloutOrder
		events []placement.Event
		// least and most bound the sends to version 2 of 200 calls.
		least, most int
		// others says that version 1 gets calls.
		others bool
	}{
		"no order":                          {least: 1, most: 199, others: true},
		"an order whose state is unknown":   {orders: []schema.RolloutOrder{order}, others: true},
		"a running order":                   {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, running)}, least: 7, most: 10, others: true},
		"a store that fails":                {orders: []schema.RolloutOrder{order}, events: []placement.Event{placement.RolloutRecorded{Service: "stock", OrderVersion: schema.StoreVersion{Version: 7}, Failed: true}}, others: true},
		"the state of another order":        {orders: []schema.RolloutOrder{second}, events: []placement.Event{recorded(order, running)}, others: true},
		"a report that it runs":             {orders: []schema.RolloutOrder{order}, events: []placement.Event{report(running, true)}, least: 7, most: 10, others: true},
		"a report that does not know":       {orders: []schema.RolloutOrder{order}, events: []placement.Event{report(running, false)}, others: true},
		"a completed order":                 {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, completed)}, least: 200, most: 200},
		"a report of completion":            {orders: []schema.RolloutOrder{order}, events: []placement.Event{report(completed, true)}, least: 200, most: 200},
		"an order that was rolled back":     {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, rolledBack)}, others: true},
		"a report of a rollback":            {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, running), report(rolledBack, false)}, others: true},
		"a store that prevails":             {orders: []schema.RolloutOrder{order}, events: []placement.Event{report(rolledBack, false), recorded(order, completed)}, least: 200, most: 200},
		"a final state that is contested":   {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, completed), report(rolledBack, false)}, least: 200, most: 200},
		"an order withdrawn while running":  {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, running), declare()}, others: true},
		"an order withdrawn after rollback": {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, rolledBack), declare()}, others: true},
		"an order withdrawn when completed": {orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, completed), declare()}, least: 1, most: 199, others: true},
		"a second order begins anew": {
			orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, rolledBack), declare(second)}, others: true,
		},
		"a second order that runs": {
			orders: []schema.RolloutOrder{order}, events: []placement.Event{recorded(order, rolledBack), declare(second), recorded(second, running)}, least: 7, most: 10, others: true,
		},
		"an unknown target": {
			orders: []schema.RolloutOrder{{Service: "stock", Target: "3", DurationMs: 12000, OrderVersion: schema.StoreVersion{Version: 7}}},
			events: []placement.Event{recorded(order, running)}, least: 1, most: 199, others: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := rolloutPlacer(declaration(schema.Route{Idempotent: true}, both...), test.orders...)
			for _, event := range test.events {
				placer.Step(begin, event)
			}
			sends := sendsByServer(placer, begin.Add(10*time.Millisecond), 200, succeeds)
			assert.Assert(t, sends["b"] >= test.least && sends["b"] <= test.most, "%v", sends)
			assert.Equal(t, sends["a"] > 0, test.others, "%v", sends)
			assert.Equal(t, sends["a"]+sends["b"], 200)
		})
	}
}

// Guards against retries and hedges that double the exposure, and against a failing version
// that is not found because its backend servers are ejected.
func TestFailingTargetIsRolledBack(t *testing.T) {
	tests := map[string]struct {
		answer func(server string) placement.Result
		rolled bool
	}{
		"server errors":      {answer: failsOn("b", placement.Whole{Status: 500}), rolled: true},
		"lost answers":       {answer: failsOn("b", placement.Cut{}), rolled: true},
		"refusals":           {answer: failsOn("b", placement.Refused{})},
		"misdirected calls":  {answer: failsOn("b", placement.Misdirected{})},
		"unsent calls":       {answer: failsOn("b", placement.Unsent{})},
		"failures of others": {answer: failsOn("a", placement.Whole{Status: 500})},
		"all answers":        {answer: succeeds},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := declaration(schema.Route{Idempotent: true}, versioned("a", "1"), versioned("a2", "1"), versioned("b", "2"))
			placer := rolloutPlacer(declared, order)
			placer.Step(begin, recorded(order, schema.RolloutStateRunning))
			sends := sendsByServer(placer, begin.Add(10*time.Millisecond), 700, test.answer)
			state := placer.Rollouts(begin.Add(7 * time.Second))[0].State
			assert.Equal(t, state == schema.RolloutStateRolledBack, test.rolled, "%s %v", state, sends)
			assert.Assert(t, sends["b"] <= 60, "%v", sends)
		})
	}
}

func failsOn(server string, result placement.Result) func(string) placement.Result {
	return func(on string) placement.Result {
		if on == server {
			return result
		}

		return placement.Whole{Status: 200}
	}
}

// Guards against retries that add to the exposure beyond the share of the first attempts.
func TestRetriesAvoidTheTarget(t *testing.T) {
	declared := declaration(schema.Route{Idempotent: true}, versioned("a", "1"), versioned("a2", "1"), versioned("b", "2"))
	placer := rolloutPlacer(declared, order)
	placer.Step(begin, recorded(order, schema.RolloutStateRunning))
	retries := 0
	for i := range 400 {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		placer.Step(now, placement.Ticked{})
		send, _ := firstOf[placement.Send](call(placer, now, placement.CallID(i+1)))
		result := placement.Whole{Status: 200}
		if send.Server != "b" && i%2 == 0 {
			result.Status = 500
		}
		actions := placer.Step(now, placement.AttemptEnded{Attempt: send.Attempt, Result: result, Load: &placement.Load{Pace: 1}})
		if again, retried := firstOf[placement.Send](actions); retried {
			retries++
			assert.Assert(t, again.Server != "b", "call %d", i)
			placer.Step(now, placement.AttemptEnded{Attempt: again.Attempt, Result: placement.Whole{Status: 200}, Load: &placement.Load{Pace: 1}})
		}
	}
	assert.Assert(t, retries > 20, "%d retries", retries)
}

// Guards against a good version that is rolled back because one of its backend servers died
// with several calls in flight.
func TestDyingServerIsNoBadVersion(t *testing.T) {
	declared := declaration(schema.Route{Idempotent: true}, versioned("a", "1"), versioned("b", "2"))
	placer := rolloutPlacer(declared, order)
	placer.Step(begin, recorded(order, schema.RolloutStateRunning))
	now := begin
	var lost []placement.AttemptID
	for i := 0; len(lost) < 4; i++ {
		now = now.Add(10 * time.Millisecond)
		send, ok := firstOf[placement.Send](call(placer, now, placement.CallID(i+1)))
		assert.Assert(t, ok)
		if send.Server == "b" {
			lost = append(lost, send.Attempt)
		} else {
			placer.Step(now, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}, Load: &placement.Load{Pace: 1}})
		}
	}
	for _, attempt := range lost {
		placer.Step(now, placement.AttemptEnded{Attempt: attempt, Result: placement.Cut{}})
	}
	assert.Equal(t, placer.Rollouts(now)[0].State, schema.RolloutStateRunning)
}

// Guards against verdicts from attempts that began before the order.
func TestEarlierAttemptsAreNoEvidence(t *testing.T) {
	declared := declaration(schema.Route{}, versioned("b", "2"), versioned("b2", "2"))
	placer := rolloutPlacer(declared)
	attempts := make([]placement.AttemptID, 0, 8)
	for i := range 8 {
		send, ok := firstOf[placement.Send](call(placer, begin, placement.CallID(i+1)))
		assert.Assert(t, ok)
		attempts = append(attempts, send.Attempt)
	}
	declared.Rollouts = []schema.RolloutOrder{order}
	now := begin.Add(10 * time.Millisecond)
	placer.Step(now, placement.DeclaredChanged{Declared: declared})
	placer.Step(now, recorded(order, schema.RolloutStateRunning))
	for _, attempt := range attempts {
		placer.Step(now, placement.AttemptEnded{Attempt: attempt, Result: placement.Whole{Status: 500}})
	}
	assert.Equal(t, placer.Rollouts(now)[0].State, schema.RolloutStateRunning)
}

// Guards against calls that wait for a slot of the target while the others have free ones.
func TestFullTargetGetsNoCalls(t *testing.T) {
	declared := declaration(schema.Route{}, versioned("a", "1"), versioned("b", "2"))
	placer := rolloutPlacer(declared, order)
	placer.Step(begin, recorded(order, schema.RolloutStateRunning))
	sends := 0
	for i := range 150 {
		now := begin.Add(time.Duration(i) * time.Millisecond)
		send, _ := firstOf[placement.Send](call(placer, now, placement.CallID(i+1)))
		if send.Server == "b" {
			sends++
		} else {
			placer.Step(now, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}, Load: &placement.Load{Pace: 1}})
		}
	}
	assert.Equal(t, sends, 4)
}

// Guards against calls that are queued for slots, or counted as servable, of backend servers
// that a rollout keeps them from.
func TestWithheldServersAreNoCapacity(t *testing.T) {
	declared := declaration(schema.Route{Idempotent: true}, versioned("b", "2"), versioned("b2", "2"))
	placer := rolloutPlacer(declared, order)
	placer.Step(begin, recorded(order, schema.RolloutStateRolledBack))
	actions := append([]placement.Action(nil), call(placer, begin, 1)...)
	actions = append(actions, placer.Step(begin.Add(60*time.Millisecond), placement.Ticked{})...)
	finish, ok := firstOf[placement.Finish](actions)
	assert.Assert(t, ok, "%v", actions)
	assert.Equal(t, finish.Outcome.(placement.NotRun).Reason, placement.ReasonNoServer)
	assert.Equal(t, finish.Slots, 0)
}

// Guards against calls to the target after a freeze, during which it may have been rolled
// back, and against calls in a data centre that is evacuated.
func TestRolloutAfterFreezeAndEvacuation(t *testing.T) {
	declared := declaration(schema.Route{Idempotent: true}, versioned("a", "1"), versioned("b", "2"))
	running := recorded(order, schema.RolloutStateRunning)
	peers := func(names ...string) placement.Event {
		list := placement.Peers{Hosts: len(names)}
		for _, name := range names {
			list.Serving = append(list.Serving, placement.Peer{Name: name, DataCentre: "north"})
		}

		return placement.PeersChanged{Peers: list}
	}
	evacuated := declared
	evacuated.Rollouts, evacuated.Evacuated = []schema.RolloutOrder{order}, []string{"south"}
	far := versioned("b", "2")
	far.DataCentre = "south"
	evacuated.Registrations = []schema.Registration{versioned("a", "1"), far}
	tests := map[string]struct {
		events []placement.Event
		frozen time.Duration
		target bool
	}{
		"running":                             {events: []placement.Event{running}, target: true},
		"frozen, the only host":               {events: []placement.Event{running}, frozen: time.Second, target: true},
		"frozen, without reports of others":   {events: []placement.Event{peers("host", "other", "third"), running}, frozen: time.Second},
		"cut off from the others, with store": {events: []placement.Event{peers("host", "other", "third"), running}, target: true},
		"the target's data centre evacuated":  {events: []placement.Event{running, placement.DeclaredChanged{Declared: evacuated}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := rolloutPlacer(declared, order)
			for _, event := range test.events {
				placer.Step(begin, event)
			}
			// After a freeze all backend servers count as cold until a probe says otherwise.
			now := begin.Add(test.frozen)
			for _, at := range []time.Time{now, now.Add(50 * time.Millisecond)} {
				placer.Step(at, placement.Ticked{})
				for _, server := range []string{"a", "b"} {
					placer.Step(at.Add(10*time.Millisecond), placement.ProbeEnded{Server: server, Answered: true, Load: &placement.Load{Pace: 1}})
				}
			}
			sends := sendsByServer(placer, now.Add(110*time.Millisecond), 100, succeeds)
			assert.Equal(t, sends["b"] > 0, test.target, "%v", sends)
			assert.Assert(t, sends["a"] > 0)
		})
	}
}

// Guards against orders of several services that affect each other.
func TestRolloutsOfSeveralServices(t *testing.T) {
	other := order
	other.Service, other.OrderVersion.Version = "price", 8
	declared := declaration(schema.Route{Idempotent: true}, versioned("a", "1"), versioned("b", "2"))
	placer := rolloutPlacer(declared, order, other)
	placer.Step(begin, recorded(order, schema.RolloutStateCompleted))
	placer.Step(begin, recorded(other, schema.RolloutStateRolledBack))
	states := map[string]string{}
	for _, status := range placer.Dump(begin).Rollouts {
		states[status.Service] = status.Phase
	}
	assert.DeepEqual(t, states, map[string]string{"stock": "completed", "price": "rolled_back"})
	assert.Equal(t, len(placer.Rollouts(begin)), 2)
	assert.DeepEqual(t, sendsByServer(placer, begin.Add(10*time.Millisecond), 20, succeeds), map[string]int{"b": 20})
}

// Guards against orders whose state is not recorded, or not again after a failure.
func TestRolloutStatesAreRecorded(t *testing.T) {
	declared := declaration(schema.Route{Idempotent: true}, versioned("a", "1"))
	placer := rolloutPlacer(declared)
	declared.Rollouts = []schema.RolloutOrder{order}
	placer.Step(begin, placement.DeclaredChanged{Declared: declared})
	next := func(from, until time.Duration) (placement.RecordRollout, bool) {
		for at := from; at < until; at += 10 * time.Millisecond {
			if record, ok := firstOf[placement.RecordRollout](placer.Step(begin.Add(at), placement.Ticked{})); ok {
				return record, true
			}
		}

		return placement.RecordRollout{}, false
	}
	record, ok := next(0, 100*time.Millisecond)
	assert.Assert(t, ok)
	assert.DeepEqual(t, record, placement.RecordRollout{Service: "stock", Target: "2", OrderVersion: schema.StoreVersion{Version: 7}, State: schema.RolloutStateRunning})
	_, again := next(100*time.Millisecond, time.Second)
	assert.Assert(t, !again, "requested twice")
	placer.Step(begin.Add(time.Second), placement.RolloutRecorded{Service: "stock", OrderVersion: schema.StoreVersion{Version: 7}, Failed: true})
	_, again = next(time.Second, 2*time.Second)
	assert.Assert(t, again, "not repeated after a failure")
	placer.Step(begin.Add(2*time.Second), recorded(order, schema.RolloutStateRunning))
	record, ok = next(2*time.Second, 13*time.Second)
	assert.Assert(t, ok, "an order without backend servers of the target is not rolled back")
	assert.Equal(t, record.State, schema.RolloutStateRolledBack)
}
