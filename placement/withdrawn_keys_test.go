package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against a call that is sent with a key which was withdrawn while the call waited
// for a slot, a confirmation of the state, or a second attempt.
func TestKeyWithdrawnWhileACallWaits(t *testing.T) {
	acme := func(keys ...string) []schema.Tenant {
		tenant := schema.Tenant{Name: "acme", Priority: -1}
		for _, key := range keys {
			tenant.KeyDigests = append(tenant.KeyDigests, keyOf(key))
		}

		return []schema.Tenant{tenant, {Name: "base", KeyDigests: []string{keyOf("b1")}, Priority: -1}}
	}
	unknown := placement.Unauthorised{Reason: placement.ReasonUnknownKey}
	tests := map[string]struct {
		path    string
		tenants []schema.Tenant
		// outdated says that the host knows of a newer declaration than the second one.
		outdated bool
		outcome  placement.Outcome // nil: the call is sent
		reason   placement.Reason  // of an outcome NotRun
		tenant   string
	}{
		"still held":                         {path: "/x/1", tenants: acme("a1", "a2"), tenant: "acme"},
		"withdrawn":                          {path: "/x/1", tenants: acme("a2"), outcome: unknown},
		"withdrawn, on an outdated host":     {path: "/x/1", tenants: acme("a2"), outdated: true, reason: placement.ReasonOutdated},
		"withdrawn, on a public route":       {path: "/public/1", tenants: acme("a2")},
		"of another tenant":                  {path: "/x/1", tenants: []schema.Tenant{{Name: "base", KeyDigests: []string{keyOf("a1")}}}, reason: placement.ReasonOutdated},
		"of two tenants":                     {path: "/x/1", tenants: append(acme("a1"), schema.Tenant{Name: "c", KeyDigests: []string{keyOf("a1")}}), reason: placement.ReasonKeyUndecided},
		"the declaration has no tenants now": {path: "/x/1", tenant: "acme"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := withTenants(declaration(schema.Route{}, registration("a")))
			placer := newPlacer(declared)
			placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
			placer.Step(confirmed, placement.Resumed{})
			assert.Equal(t, len(callWith(placer, confirmed, 1, test.path, "a1")), 0)
			if test.outdated {
				placer.Step(confirmed, placement.CurrencyChanged{ConfirmedAt: confirmed, Until: begin.Add(time.Minute)})
			}
			declared.Declaration.Version, declared.Declaration.Tenants = 2, test.tenants
			actions := append([]placement.Action(nil), placer.Step(confirmed, placement.DeclaredChanged{Declared: declared})...)
			actions = append(actions, placer.Step(confirmed, placement.StateConfirmed{})...)
			actions = append(actions, placer.Step(confirmed.Add(10*time.Millisecond), placement.Ticked{})...)
			send, sent := firstOf[placement.Send](actions)
			assert.Equal(t, sent, test.outcome == nil && test.reason == "", "%#v", actions)
			assert.Equal(t, send.Tenant, test.tenant)
			finish, _ := firstOf[placement.Finish](actions)
			if test.reason != "" {
				refused, _ := finish.Outcome.(placement.NotRun)
				assert.Equal(t, refused.Reason, test.reason)
				assert.Assert(t, refused.RetryAfter > 0)
			} else {
				assert.DeepEqual(t, finish.Outcome, test.outcome)
			}
		})
	}
}

// Guards against a second attempt of a call whose key was withdrawn during the first.
func TestNoSecondAttemptWithAWithdrawnKey(t *testing.T) {
	tests := map[string]struct {
		result  placement.Result
		unknown bool
	}{
		"refused":  {result: placement.Refused{}},
		"not sent": {result: placement.Unsent{Local: true}},
		"cut":      {result: placement.Cut{}, unknown: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			declared := withTenants(declaration(schema.Route{Idempotent: true}, registration("a"), registration("b")))
			placer := newPlacer(declared)
			placer.Step(confirmed, currentUntil(confirmed, begin.Add(time.Minute)))
			first, sent := firstOf[placement.Send](callWith(placer, confirmed, 1, "/x/1", "a1"))
			assert.Assert(t, sent)
			declared.Declaration.Version, declared.Declaration.Tenants = 2, []schema.Tenant{{Name: "acme", KeyDigests: []string{keyOf("a2")}}}
			assert.Equal(t, len(placer.Step(confirmed, placement.DeclaredChanged{Declared: declared})), 0, "the attempt in flight goes on")
			actions := placer.Step(confirmed, placement.AttemptEnded{Attempt: first.Attempt, Result: test.result})
			_, again := firstOf[placement.Send](actions)
			assert.Assert(t, !again)
			finish, _ := firstOf[placement.Finish](actions)
			_, unknown := finish.Outcome.(placement.Unknown)
			_, notRun := finish.Outcome.(placement.NotRun)
			assert.Assert(t, unknown == test.unknown && notRun == !test.unknown, "%#v", finish.Outcome)
		})
	}
}
