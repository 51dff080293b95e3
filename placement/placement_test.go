package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// begin is the start time of the tests.
var begin = time.Unix(1000, 0)

// registration returns a backend server in the host's data centre.
func registration(id string) schema.Registration {
	return schema.Registration{ID: id, Service: "stock", Address: "10.0.0.1:80", DataCentre: "north", Slots: 2}
}

// declaration returns a declared state with one route and the given backend
// servers.
func declaration(route schema.Route, servers ...schema.Registration) schema.Declared {
	route.Name, route.HostName = "lookup", "a.example"
	if route.Prefix == "" {
		route.Prefix = "/"
	}
	if route.Targets == nil {
		route.Targets = []schema.RouteTarget{{Service: "stock", Weight: 1}}
	}
	if route.MaxAttempts == 0 {
		route.MaxAttempts = 2
	}
	route.TargetMs, route.TimeoutMs = 400, 1000

	return schema.Declared{OrdersAt: schema.StoreVersion{Version: 1}, RegistrationsAt: schema.StoreVersion{Version: 1}, Registrations: servers, Declaration: schema.Declaration{
		Version: 1, Routes: []schema.Route{route},
		Services: []schema.ServiceRule{{Name: "stock", HealthPath: "/health", ColdMs: 3000, ColdPerSecond: 5}},
	}}
}

// newPlacer returns the placer of the only serving host, in the data centre
// north, which started long enough ago to have its share of the budget's slack.
func newPlacer(declared schema.Declared) *placement.Placer {
	placer := placement.New(placement.Options{
		Host: "host", DataCentre: "north", Budget: retryBudget, ProbeInterval: 100 * time.Millisecond, CrossingCost: 0.015,
	})
	placer.Step(begin.Add(-retryBudget.Window), placement.Ticked{})
	placer.Step(begin, placement.PeersChanged{Peers: placement.Peers{Hosts: 1, Serving: []placement.Peer{{Name: "host", DataCentre: "north"}}}})
	placer.Step(begin, placement.DeclaredChanged{Declared: declared})

	return placer
}

// call passes the arrival of a call to the placer and returns its actions.
func call(placer *placement.Placer, at time.Time, id placement.CallID) []placement.Action {
	return placer.Step(at, placement.CallArrived{Call: id, HostName: "a.example", Path: "/x/1", Wait: 2 * time.Second})
}

// firstOf returns the first action of a type.
func firstOf[T placement.Action](actions []placement.Action) (T, bool) {
	for _, action := range actions {
		if found, ok := action.(T); ok {
			return found, true
		}
	}
	var none T

	return none, false
}

func TestOutcomes(t *testing.T) {
	idempotent := schema.Route{Idempotent: true}
	tests := map[string]struct {
		route   schema.Route
		results []placement.Result
		sends   int
		outcome placement.Outcome
	}{
		"a complete answer ends the call": {
			route: idempotent, results: []placement.Result{placement.Whole{Status: 200}}, sends: 1, outcome: placement.Answered{Attempt: 1},
		},
		"a call that may run twice is retried after a failure": {
			route: idempotent, results: []placement.Result{placement.Whole{Status: 500}, placement.Whole{Status: 200}}, sends: 2, outcome: placement.Answered{Attempt: 2},
		},
		"a failed answer is delivered when no other attempt succeeds": {
			route: idempotent, results: []placement.Result{placement.Whole{Status: 500}, placement.Cut{}}, sends: 2, outcome: placement.Answered{Attempt: 1},
		},
		"a call that may run once is not retried after it may have run": {
			results: []placement.Result{placement.Cut{}}, sends: 1, outcome: placement.Unknown{Reason: placement.ReasonCut},
		},
		"a call that may run once is not retried after its attempt was cancelled": {
			results: []placement.Result{placement.Cancelled{}}, sends: 1, outcome: placement.Unknown{Reason: placement.ReasonCut},
		},
		"a failure of a call that may run once is delivered": {
			results: []placement.Result{placement.Whole{Status: 500}}, sends: 1, outcome: placement.Answered{Attempt: 1},
		},
		"a refused call is retried on another backend server": {
			results: []placement.Result{placement.Refused{}, placement.Whole{Status: 200}}, sends: 2, outcome: placement.Answered{Attempt: 2},
		},
		"a misdirected call is retried": {
			results: []placement.Result{placement.Misdirected{}, placement.Whole{Status: 200}}, sends: 2, outcome: placement.Answered{Attempt: 2},
		},
		"a lost answer of a call that may run twice makes its outcome unknown": {
			route: idempotent, results: []placement.Result{placement.Cut{}, placement.Refused{}}, sends: 2, outcome: placement.Unknown{Reason: placement.ReasonRefused},
		},
		"an attempt that never left this host does not count": {
			route: schema.Route{MaxAttempts: 1}, results: []placement.Result{placement.Unsent{}, placement.Whole{Status: 200}}, sends: 1, outcome: placement.Answered{Attempt: 2},
		},
		"a route bounds the attempts": {
			route: schema.Route{Idempotent: true, MaxAttempts: 1}, results: []placement.Result{placement.Cut{}}, sends: 1, outcome: placement.Unknown{Reason: placement.ReasonCut},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(test.route, registration("a"), registration("b"), registration("c")))
			actions := call(placer, begin, 1)
			for _, result := range test.results {
				send, ok := firstOf[placement.Send](actions)
				assert.Assert(t, ok, "no attempt was sent")
				actions = placer.Step(begin.Add(20*time.Millisecond), placement.AttemptEnded{Attempt: send.Attempt, Result: result})
			}
			finish, ok := firstOf[placement.Finish](actions)
			assert.Assert(t, ok, "the call did not end")
			assert.DeepEqual(t, finish.Outcome, test.outcome)
			assert.Equal(t, finish.Sends, test.sends)
			assert.Equal(t, placer.Open(), 0)
		})
	}
}

func TestRefusalsAreTrue(t *testing.T) {
	placer := newPlacer(declaration(schema.Route{}, registration("a"), registration("b")))
	actions := call(placer, begin, 1)
	for range 2 {
		send, ok := firstOf[placement.Send](actions)
		assert.Assert(t, ok)
		actions = placer.Step(begin, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Refused{}})
	}
	finish, _ := firstOf[placement.Finish](actions)
	refused, ok := finish.Outcome.(placement.NotRun)
	assert.Assert(t, ok, "%#v", finish.Outcome)
	assert.Equal(t, refused.Reason, placement.ReasonRefused)
	assert.Assert(t, refused.RetryAfter > 0)
}

func TestServerChoice(t *testing.T) {
	far := func(id string) schema.Registration {
		other := registration(id)
		other.DataCentre = "south"

		return other
	}
	draining := registration("b")
	draining.Draining = true
	cold := registration("b")
	cold.ColdLeftMs = 3000
	pace := func(id string, pace float64) placement.Event {
		return placement.ProbeEnded{Server: id, Answered: true, Healthy: true, Load: &placement.Load{Pace: pace}}
	}
	lost := placement.ProbeEnded{Server: "a"}
	tests := map[string]struct {
		servers   []schema.Registration
		evacuated []string
		events    []placement.Event
		goes      string
	}{
		"the faster one":                         {servers: []schema.Registration{registration("a"), registration("b")}, events: []placement.Event{pace("a", 7), pace("b", 1)}, goes: "b"},
		"the one of this data centre":            {servers: []schema.Registration{far("a"), registration("b")}, events: []placement.Event{pace("a", 1), pace("b", 1.1)}, goes: "b"},
		"another data centre when it is quicker": {servers: []schema.Registration{far("a"), registration("b")}, events: []placement.Event{pace("a", 1), pace("b", 9)}, goes: "a"},
		"not a draining one":                     {servers: []schema.Registration{registration("a"), draining}, events: []placement.Event{pace("a", 1.3)}, goes: "a"},
		"not one of an evacuated data centre":    {servers: []schema.Registration{far("a"), registration("b")}, evacuated: []string{"south"}, events: []placement.Event{pace("b", 1.3)}, goes: "b"},
		"a warm one rather than a cold one":      {servers: []schema.Registration{registration("a"), cold}, events: []placement.Event{pace("a", 1.5)}, goes: "a"},
		"not one that missed two probes":         {servers: []schema.Registration{registration("a"), registration("b")}, events: []placement.Event{pace("b", 1.3), lost, lost}, goes: "b"},
		"the one with fewer attempts in flight": {
			servers: []schema.Registration{registration("a"), registration("b")},
			events:  []placement.Event{pace("a", 1), pace("b", 1), placement.LoadsReceived{Host: "other", Loads: []schema.ServerLoad{{ServerHash: placement.Hash("a"), InFlight: 2, AgeMs: -1}}}},
			goes:    "b",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := declaration(schema.Route{}, test.servers...)
			declared.Evacuated = test.evacuated
			placer := newPlacer(declared)
			for _, event := range test.events {
				placer.Step(begin, event)
			}
			send, ok := firstOf[placement.Send](call(placer, begin, 1))
			assert.Assert(t, ok)
			assert.Equal(t, send.Server, test.goes)
		})
	}
}

func TestCallsWithoutServer(t *testing.T) {
	draining := registration("a")
	draining.Draining = true
	tests := map[string]struct {
		declared schema.Declared
		path     string
		outcome  placement.Outcome
	}{
		"nothing is declared yet": {
			path: "/x/", outcome: placement.NotRun{Reason: placement.ReasonNotReady, RetryAfter: 500 * time.Millisecond},
		},
		"no route matches": {
			declared: declaration(schema.Route{Prefix: "/y/"}, registration("a")), path: "/x/", outcome: placement.NoRoute{},
		},
		"all backend servers drain": {
			declared: declaration(schema.Route{}, draining), path: "/x/", outcome: placement.NotRun{Reason: placement.ReasonNoServer, RetryAfter: time.Second},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(test.declared)
			placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
			actions := placer.Step(confirmed, placement.CallArrived{Call: 1, HostName: "a.example", Path: test.path, Wait: time.Second})
			if _, ended := firstOf[placement.Finish](actions); !ended {
				actions = placer.Step(confirmed.Add(60*time.Millisecond), placement.Ticked{})
			}
			finish, ok := firstOf[placement.Finish](actions)
			assert.Assert(t, ok)
			if refused, is := finish.Outcome.(placement.NotRun); is {
				assert.Equal(t, refused.Reason, test.outcome.(placement.NotRun).Reason)
				assert.Assert(t, refused.RetryAfter > 0)

				return
			}
			assert.DeepEqual(t, finish.Outcome, test.outcome)
		})
	}
}

func TestTimeouts(t *testing.T) {
	tests := map[string]struct {
		sent    bool
		outcome placement.Outcome
	}{
		"a call that was sent may have run":          {sent: true, outcome: placement.Unknown{Reason: placement.ReasonTimeout}},
		"a call that was not sent is refused before": {outcome: placement.NotRun{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := []schema.Registration{registration("a")}
			if !test.sent {
				servers = nil
			}
			placer := newPlacer(declaration(schema.Route{}, servers...))
			actions := call(placer, begin, 1)
			for at := time.Duration(0); at < 1200*time.Millisecond && placer.Open() > 0; at += 10 * time.Millisecond {
				actions = placer.Step(begin.Add(at), placement.Ticked{})
			}
			finish, ok := firstOf[placement.Finish](actions)
			assert.Assert(t, ok)
			assert.Assert(t, finish.Took <= 1060*time.Millisecond, "ended after %s", finish.Took)
			if _, refused := test.outcome.(placement.NotRun); refused {
				_, is := finish.Outcome.(placement.NotRun)
				assert.Assert(t, is, "%#v", finish.Outcome)

				return
			}
			assert.DeepEqual(t, finish.Outcome, test.outcome)
		})
	}
}

func TestCallerDisconnects(t *testing.T) {
	tests := map[string]struct {
		route   schema.Route
		result  placement.Result
		outcome placement.Outcome
	}{
		"an attempt that may be repeated is cancelled":     {route: schema.Route{Idempotent: true}, outcome: placement.Abandoned{}},
		"one that may not be repeated is answered":         {result: placement.Whole{Status: 200}, outcome: placement.Answered{Attempt: 1}},
		"one that may not be repeated is cut":              {result: placement.Cut{}, outcome: placement.Unknown{Reason: placement.ReasonCut}},
		"one that may not be repeated is refused":          {result: placement.Refused{}, outcome: placement.NotRun{Reason: placement.ReasonRefused}},
		"one that may not be repeated cannot be sent":      {result: placement.Unsent{}, outcome: placement.NotRun{Reason: placement.ReasonUnreachable}},
		"one that may not be repeated reaches its timeout": {outcome: placement.Unknown{Reason: placement.ReasonTimeout}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.route.MaxAttempts = 3
			placer := newPlacer(declaration(test.route, registration("a"), registration("b")))
			sent, _ := firstOf[placement.Send](call(placer, begin, 1))
			actions := placer.Step(begin.Add(time.Millisecond), placement.CallerLeft{Call: 1})
			_, cancelled := firstOf[placement.Cancel](actions)
			_, finished := firstOf[placement.Finish](actions)
			assert.Equal(t, cancelled, test.route.Idempotent)
			assert.Equal(t, finished, test.route.Idempotent)
			switch {
			case finished:
			case test.result != nil:
				actions = placer.Step(begin.Add(2*time.Millisecond), placement.AttemptEnded{Attempt: sent.Attempt, Result: test.result})
			default:
				actions = placer.Step(begin.Add(time.Hour), placement.Ticked{})
			}
			_, sentAgain := firstOf[placement.Send](actions)
			assert.Assert(t, !sentAgain, "the call was sent again after its caller had left")
			finish, ended := firstOf[placement.Finish](actions)
			assert.Assert(t, ended)
			if refused, ok := finish.Outcome.(placement.NotRun); ok {
				finish.Outcome = placement.NotRun{Reason: refused.Reason}
			}
			assert.DeepEqual(t, finish.Outcome, test.outcome)
		})
	}
}

func TestTargetsShareCallsByWeight(t *testing.T) {
	second := registration("b")
	second.Service = "other"
	declared := declaration(schema.Route{Targets: []schema.RouteTarget{{Service: "stock", Weight: 90}, {Service: "other", Weight: 10}}}, registration("a"), second)
	placer := newPlacer(declared)
	counts := map[string]int{}
	for id := range placement.CallID(200) {
		at := begin.Add(time.Duration(id) * 50 * time.Millisecond)
		send, ok := firstOf[placement.Send](call(placer, at, id+1))
		assert.Assert(t, ok)
		counts[send.Server]++
		placer.Step(at, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}})
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 180, "b": 20})
}

// The backend servers of a data centre that returns from an evacuation may have
// restarted meanwhile. Sending them calls at the full rate at once would overload
// them.
func TestReturnOfADataCentreIsCold(t *testing.T) {
	declared := declaration(schema.Route{}, registration("a"))
	declared.Evacuated = []string{"north"}
	placer := newPlacer(declared)
	declared.Evacuated = nil
	at := begin.Add(time.Second)
	placer.Step(at, placement.DeclaredChanged{Declared: declared})
	sends := 0
	for id := range placement.CallID(40) {
		if send, ok := firstOf[placement.Send](call(placer, at.Add(time.Duration(id)*25*time.Millisecond), id+1)); ok {
			sends++
			placer.Step(at, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}})
		}
	}
	assert.Assert(t, sends > 0 && sends <= 6, "%d calls in a second", sends)
}

func TestRetryAfter(t *testing.T) {
	tests := map[string]struct {
		servers     []schema.Registration
		refused     int
		taken       int
		least, most time.Duration
	}{
		"a short delay when the call can still be in time": {
			servers: []schema.Registration{registration("a"), registration("b"), registration("c"), registration("d")}, refused: 2, least: 10 * time.Millisecond, most: 160 * time.Millisecond,
		},
		"a third of the remaining time when it cannot": {
			servers: []schema.Registration{registration("a")}, taken: 4, least: 450 * time.Millisecond, most: 600 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(declaration(schema.Route{}, test.servers...))
			placer.Step(begin, placement.LoadsReceived{Host: "other", Loads: []schema.ServerLoad{{ServerHash: placement.Hash("a"), InFlight: test.taken, AgeMs: -1}}})
			actions := call(placer, begin, 1)
			for range test.refused {
				send, ok := firstOf[placement.Send](actions)
				assert.Assert(t, ok)
				actions = placer.Step(begin.Add(5*time.Millisecond), placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Refused{}})
			}
			for at := 10 * time.Millisecond; placer.Open() > 0; at += 10 * time.Millisecond {
				actions = placer.Step(begin.Add(at), placement.Ticked{})
			}
			finish, ok := firstOf[placement.Finish](actions)
			assert.Assert(t, ok)
			refused, ok := finish.Outcome.(placement.NotRun)
			assert.Assert(t, ok, "%#v", finish.Outcome)
			assert.Assert(t, refused.RetryAfter >= test.least && refused.RetryAfter <= test.most, "%s", refused.RetryAfter)
		})
	}
}

func TestCallsPreferBackendServersThatThisHostMeasures(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for first := range ids {
		servers := make([]schema.Registration, 0, len(ids))
		for i := range ids {
			servers = append(servers, registration(ids[(first+i)%len(ids)]))
		}
		placer := newPlacer(declaration(schema.Route{Idempotent: true}, servers...))
		placer.Step(begin, placement.PeersChanged{Peers: placement.Peers{Hosts: 2, Serving: []placement.Peer{
			{Name: "host", DataCentre: "north"}, {Name: "mate", DataCentre: "north"},
		}}})
		measured := map[string]bool{}
		for _, state := range placer.Dump(begin).BackendServers {
			measured[state.Registration.ID] = state.Measured
		}
		send, ok := firstOf[placement.Send](call(placer, begin, 1))
		assert.Assert(t, ok)
		assert.Assert(t, measured[send.Server], "a call went to %s of %v", send.Server, measured)
	}
}
