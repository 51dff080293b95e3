package placement_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tenant"
)

// confirmed is an instant that is late enough for a confirmation to count, although the
// placers of these tests begin with a step long after their first one.
var confirmed = begin.Add(200 * time.Millisecond)

// keyOf returns the digest of a key.
func keyOf(key string) string {
	return tenant.Digest([]byte(key))
}

// withTenants adds two tenants and a public route under /public/ to a declared state. The
// limit of the tenant "odd" could not be read, and two tenants hold the key "shared".
func withTenants(declared schema.Declared) schema.Declared {
	public := declared.Declaration.Routes[0]
	public.Name, public.Prefix, public.Public, public.Priority = "open", "/public/", true, 7
	declared.Declaration.Routes = append(declared.Declaration.Routes, public)
	declared.Declaration.Tenants = []schema.Tenant{
		{Name: "acme", KeyDigests: []string{keyOf("a1"), keyOf("shared")}, Priority: 2},
		{Name: "base", KeyDigests: []string{keyOf("b1"), keyOf("shared")}, Priority: -1},
		{Name: "last", KeyDigests: []string{keyOf("l1")}, Priority: 9},
		{Name: "odd", KeyDigests: []string{keyOf("o1")}, Priority: -1, Unreadable: true},
	}

	return declared
}

// currentUntil returns the event that confirms the declaration at an instant.
func currentUntil(at, until time.Time) placement.CurrencyChanged {
	return placement.CurrencyChanged{Current: true, ConfirmedAt: at, Until: until}
}

// callWith passes the arrival of a call with a key to the placer and returns its
// actions.
func callWith(placer *placement.Placer, at time.Time, id placement.CallID, path, key string) []placement.Action {
	arrived := placement.CallArrived{Call: id, HostName: "a.example", Path: path, Wait: 2 * time.Second}
	if key != "" {
		arrived.KeyDigest = keyOf(key)
	}

	return placer.Step(at, arrived)
}

// Guards against calls that run without the key of a tenant or as another tenant, and
// against the claim that a key is invalid by a host that cannot know.
func TestKeys(t *testing.T) {
	current := []placement.Event{currentUntil(confirmed, begin.Add(time.Minute))}
	announced := []placement.Event{current[0], placement.CurrencyChanged{ConfirmedAt: confirmed, Until: begin.Add(time.Minute)}}
	expired := []placement.Event{currentUntil(confirmed, confirmed.Add(-time.Millisecond))}
	incomplete := func(declaration *schema.Declaration) { declaration.TenantsIncomplete = true }
	noTenants := func(declaration *schema.Declaration) { declaration.Tenants = nil }
	onlyIncomplete := func(declaration *schema.Declaration) { declaration.Tenants, declaration.TenantsIncomplete = nil, true }
	const private, public = "/x/1", "/public/1"
	tests := map[string]struct {
		change     func(*schema.Declaration)
		events     []placement.Event
		failClosed bool
		path, key  string
		outcome    placement.Outcome // nil: the call is sent
		reason     placement.Reason  // of an outcome NotRun
		tenant     string
		withoutKey bool
	}{
		"key of a tenant":       {events: current, path: private, key: "a1", tenant: "acme"},
		"key of another tenant": {events: current, path: private, key: "b1", tenant: "base"},
		"unknown key":           {events: current, path: private, key: "x", outcome: placement.Unauthorised{Reason: placement.ReasonUnknownKey}},
		"no key":                {events: current, path: private, outcome: placement.Unauthorised{Reason: placement.ReasonNoKey}},
		"key of two tenants":    {events: current, path: private, key: "shared", reason: placement.ReasonKeyUndecided},
		"key of a tenant whose limit is unreadable":                 {events: current, path: private, key: "o1", reason: placement.ReasonTenantUnreadable, tenant: "odd"},
		"unknown key and an incomplete list":                        {change: incomplete, events: current, path: private, key: "x", reason: placement.ReasonKeyUndecided},
		"no key and an incomplete list":                             {change: incomplete, events: current, path: private, outcome: placement.Unauthorised{Reason: placement.ReasonNoKey}},
		"no tenant could be read":                                   {change: onlyIncomplete, events: current, path: private, key: "a1", reason: placement.ReasonKeyUndecided},
		"no key on a public route":                                  {events: current, path: public},
		"unknown key on a public route":                             {events: current, path: public, key: "x"},
		"key of a tenant on a public route":                         {events: current, path: public, key: "a1", tenant: "acme"},
		"key of two tenants on a public route":                      {events: current, path: public, key: "shared"},
		"key of an unreadable tenant on a public route":             {events: current, path: public, key: "o1", reason: placement.ReasonTenantUnreadable, tenant: "odd"},
		"unknown key on an outdated host":                           {events: announced, path: private, key: "x", reason: placement.ReasonOutdated},
		"no key on an outdated host":                                {events: announced, path: private, reason: placement.ReasonOutdated},
		"known key on an outdated host":                             {events: announced, path: private, key: "a1", tenant: "acme"},
		"known key on an outdated host that fails closed":           {failClosed: true, events: announced, path: private, key: "a1", reason: placement.ReasonOutdated, tenant: "acme"},
		"known key on a public route of a host that fails closed":   {failClosed: true, events: announced, path: public, key: "a1"},
		"known key on a current host that fails closed":             {failClosed: true, events: current, path: private, key: "a1", tenant: "acme"},
		"unknown key on a host without confirmation for too long":   {events: expired, path: private, key: "x", reason: placement.ReasonOutdated},
		"known key on a host without confirmation for too long":     {events: expired, path: private, key: "a1", tenant: "acme"},
		"unknown key on a host whose declaration was not confirmed": {path: private, key: "x", reason: placement.ReasonOutdated},
		"no key on a public route of an outdated host":              {events: announced, path: public},
		"no route":                                  {events: current, path: "", outcome: placement.NoRoute{}},
		"no route on an outdated host":              {events: announced, path: "", reason: placement.ReasonOutdated},
		"key without tenants in the declaration":    {change: noTenants, path: private, key: "a1", withoutKey: true},
		"no key without tenants in the declaration": {change: noTenants, path: private, withoutKey: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := withTenants(declaration(schema.Route{}, registration("a")))
			if test.change != nil {
				test.change(&declared.Declaration)
			}
			placer := newPlacer(declared)
			placer.Options.FailClosed = test.failClosed
			for _, event := range test.events {
				placer.Step(confirmed, event)
			}
			actions := callWith(placer, confirmed, 1, test.path, test.key)
			finish, ended := firstOf[placement.Finish](actions)
			if test.outcome == nil && test.reason == "" {
				send, sent := firstOf[placement.Send](actions)
				assert.Assert(t, sent && !ended, "%#v", actions)
				assert.Equal(t, send.Tenant, test.tenant)
				assert.Equal(t, send.Keys, !test.withoutKey)
				actions = placer.Step(confirmed, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Whole{Status: 200}})
				finish, _ = firstOf[placement.Finish](actions)
				assert.Equal(t, finish.Tenant, test.tenant)

				return
			}
			assert.Assert(t, ended && len(actions) == 1, "%#v", actions)
			assert.Equal(t, finish.Tenant, test.tenant)
			assert.Equal(t, placer.Open(), 0)
			if test.outcome != nil {
				assert.DeepEqual(t, finish.Outcome, test.outcome)

				return
			}
			refused, ok := finish.Outcome.(placement.NotRun)
			assert.Assert(t, ok, "%#v", finish.Outcome)
			assert.Equal(t, refused.Reason, test.reason)
			assert.Assert(t, refused.RetryAfter > 0 && refused.RetryAfter <= time.Second)
		})
	}
}

// Guards against a host that rejects, after a freeze, a key that was declared meanwhile:
// what it knows may be old, and what arrives in the first moments may have waited in its
// sockets.
func TestKeysAfterAFreeze(t *testing.T) {
	resumed := confirmed.Add(700 * time.Millisecond)
	until := begin.Add(time.Minute)
	tests := map[string]struct {
		events []placement.Event
		judged bool
	}{
		"no confirmation since":               {},
		"confirmation that waited":            {events: []placement.Event{currentUntil(resumed.Add(10*time.Millisecond), until)}},
		"confirmation from before the freeze": {events: []placement.Event{currentUntil(confirmed, until)}},
		"confirmation since":                  {events: []placement.Event{currentUntil(resumed.Add(150*time.Millisecond), until)}, judged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(withTenants(declaration(schema.Route{}, registration("a"))))
			placer.Step(confirmed, currentUntil(confirmed, until))
			finish, _ := firstOf[placement.Finish](callWith(placer, resumed, 1, "/x/1", "x"))
			refused, _ := finish.Outcome.(placement.NotRun)
			assert.Equal(t, refused.Reason, placement.ReasonOutdated)
			at := resumed.Add(200 * time.Millisecond)
			for _, event := range test.events {
				placer.Step(at, event)
			}
			finish, _ = firstOf[placement.Finish](callWith(placer, at, 2, "/x/1", "x"))
			_, judged := finish.Outcome.(placement.Unauthorised)
			assert.Equal(t, judged, test.judged, "%#v", finish.Outcome)
			_, sent := firstOf[placement.Send](callWith(placer, at, 3, "/x/1", "a1"))
			assert.Assert(t, sent, "a known key stopped working")
		})
	}
}

// Guards against a withdrawn key that stays in use: the keys follow the declaration.
func TestKeysFollowTheDeclaration(t *testing.T) {
	declared := withTenants(declaration(schema.Route{}, registration("a"), registration("b"), registration("c")))
	placer := newPlacer(declared)
	placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
	_, sent := firstOf[placement.Send](callWith(placer, confirmed, 1, "/x/1", "a1"))
	assert.Assert(t, sent)

	declared.Declaration.Version = 2
	declared.Declaration.Tenants = []schema.Tenant{{Name: "acme", KeyDigests: []string{keyOf("a2")}, Priority: -1}}
	placer.Step(confirmed, placement.DeclaredChanged{Declared: declared})
	finish, _ := firstOf[placement.Finish](callWith(placer, confirmed, 2, "/x/1", "a1"))
	assert.DeepEqual(t, finish.Outcome, placement.Outcome(placement.Unauthorised{Reason: placement.ReasonUnknownKey}))
	send, sent := firstOf[placement.Send](callWith(placer, confirmed, 3, "/x/1", "a2"))
	assert.Assert(t, sent)
	assert.Equal(t, send.Tenant, "acme")
}

// Guards against a key that is forwarded because the declaration lost its tenants while
// the call waited.
func TestKeyOfACallThatWaited(t *testing.T) {
	declared := withTenants(declaration(schema.Route{MaxAttempts: 2}, registration("a"), registration("b")))
	placer := newPlacer(declared)
	placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
	send, _ := firstOf[placement.Send](callWith(placer, confirmed, 1, "/x/1", "a1"))
	declared.Declaration.Version, declared.Declaration.Tenants = 2, nil
	placer.Step(confirmed, placement.DeclaredChanged{Declared: declared})
	again, sent := firstOf[placement.Send](placer.Step(confirmed, placement.AttemptEnded{Attempt: send.Attempt, Result: placement.Refused{}}))
	assert.Assert(t, sent)
	assert.Assert(t, again.Keys)
	assert.Equal(t, again.Tenant, "acme")
}

// Guards against queued calls that are sent in the order of their routes although the
// ranks of their tenants differ.
func TestQueueOrderFollowsTheRankOfTheTenant(t *testing.T) {
	tests := map[string]struct {
		calls [][2]string // path and key in order of arrival
		first placement.CallID
	}{
		"the tenant's rank precedes":        {calls: [][2]string{{"/x/1", "b1"}, {"/x/1", "a1"}}, first: 12},
		"the tenant's rank replaces":        {calls: [][2]string{{"/public/1", ""}, {"/public/1", "a1"}}, first: 12},
		"the route's rank without a tenant": {calls: [][2]string{{"/public/1", ""}, {"/x/1", "b1"}}, first: 12},
		"the tenant's lower rank replaces":  {calls: [][2]string{{"/x/1", "l1"}, {"/public/1", ""}}, first: 12},
		"the order of arrival":              {calls: [][2]string{{"/x/1", "a1"}, {"/public/1", "a1"}}, first: 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer := newPlacer(withTenants(declaration(schema.Route{Priority: 5}, registration("a"))))
			placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
			running := map[placement.CallID]placement.AttemptID{}
			for id := placement.CallID(1); id <= 2; id++ {
				send, sent := firstOf[placement.Send](callWith(placer, confirmed, id, "/x/1", "a1"))
				assert.Assert(t, sent)
				running[id] = send.Attempt
			}
			for i, next := range test.calls {
				actions := callWith(placer, confirmed.Add(time.Duration(i+1)*time.Millisecond), placement.CallID(11+i), next[0], next[1])
				assert.Equal(t, len(actions), 0, "call %d is not queued: %#v", 11+i, actions)
			}
			at := confirmed.Add(10 * time.Millisecond)
			send, sent := firstOf[placement.Send](placer.Step(at, placement.AttemptEnded{Attempt: running[1], Result: placement.Whole{Status: 200}}))
			assert.Assert(t, sent)
			assert.Equal(t, send.Call, test.first)
		})
	}
}

// Guards against a call that is refused because of queued calls that are sent after it.
func TestQueuedCallsOfLowerRankDoNotCount(t *testing.T) {
	placer := newPlacer(withTenants(declaration(schema.Route{}, registration("a"))))
	placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
	const low, urgent = 40, placement.CallID(100)
	for id := range placement.CallID(low) {
		callWith(placer, confirmed, id+1, "/x/1", "l1")
	}
	callWith(placer, confirmed.Add(time.Millisecond), urgent, "/x/1", "a1")
	refused := map[placement.CallID]bool{}
	for _, action := range placer.Step(confirmed.Add(80*time.Millisecond), placement.Ticked{}) {
		if finish, ok := action.(placement.Finish); ok {
			refused[finish.Call] = true
		}
	}
	assert.Assert(t, len(refused) > 0, "the queue is too short for this test")
	assert.Assert(t, !refused[urgent])
}

// Guards against a dump that contains what identifies a key.
func TestDumpHasNoDigests(t *testing.T) {
	declared := withTenants(declaration(schema.Route{}, registration("a")))
	placer := newPlacer(declared)
	content, err := json.Marshal(placer.Dump(confirmed))
	assert.NilError(t, err)
	for _, declaredTenant := range declared.Declaration.Tenants {
		assert.Assert(t, strings.Contains(string(content), `"`+declaredTenant.Name+`"`))
		for _, digest := range declaredTenant.KeyDigests {
			assert.Assert(t, !strings.Contains(string(content), digest))
		}
	}
	_, sent := firstOf[placement.Send](callWith(placer, confirmed, 1, "/x/1", "a1"))
	assert.Assert(t, sent, "the dump removed the keys in use")
}
