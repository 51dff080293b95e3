package placement_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// routed returns a declared state with a version whose routes have the given prefixes.
func routed(version int, prefixes ...string) schema.Declared {
	declared := declaration(schema.Route{}, registration("a"))
	template := declared.Declaration.Routes[0]
	declared.Declaration.Version, declared.Declaration.Routes = version, nil
	for _, prefix := range prefixes {
		route := template
		route.Name, route.Prefix = prefix, prefix
		declared.Declaration.Routes = append(declared.Declaration.Routes, route)
	}

	return declared
}

// keyed returns a declared state with the tenant acme, which holds keys, and a public
// route.
func keyed(version int, keys ...string) schema.Declared {
	declared := withTenants(declaration(schema.Route{}, registration("a")))
	declared.Declaration.Version = version
	digests := make([]string, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, keyOf(key))
	}
	declared.Declaration.Tenants = []schema.Tenant{{Name: "acme", KeyDigests: digests, Priority: -1}}

	return declared
}

// advance passes time at a host whose declaration is confirmed again and again.
func advance(placer *placement.Placer, now time.Time, length time.Duration) time.Time {
	const step = 100 * time.Millisecond
	for end := now.Add(length); now.Before(end); {
		now = now.Add(step)
		placer.Step(now, currentUntil(now, now.Add(time.Minute)))
	}

	return now
}

// placerWith returns a placer that adopted declared states at intervals of a second, the
// last one 300 ms before the returned time.
func placerWith(states ...schema.Declared) (*placement.Placer, time.Time) {
	placer, now := newPlacer(states[0]), begin
	for _, declared := range states[1:] {
		now = advance(placer, now, time.Second)
		placer.Step(now, placement.DeclaredChanged{Declared: declared})
	}

	return placer, advance(placer, now, 300*time.Millisecond)
}

// Guards against a refusal that does not tell whether the route or the key was withdrawn
// just before.
func TestRefusalsTellWhatWasWithdrawn(t *testing.T) {
	withdrawn := func(routes, keys int) placement.Refusal {
		return placement.Refusal{Withdrawn: true, WithdrawnFor: 300 * time.Millisecond, Routes: routes, Keys: keys}
	}
	registered := routed(2, "/b/")
	registered.Registrations = append(registered.Registrations, registration("b"))
	tests := map[string]struct {
		states []schema.Declared
		path   string
		key    string
		want   placement.Refusal
	}{
		"first declaration":             {states: []schema.Declared{routed(1, "/b/")}, path: "/a/1", want: placement.Refusal{Routes: 1}},
		"no declaration has the route":  {states: []schema.Declared{routed(1, "/b/"), routed(2, "/b/")}, path: "/a/1", want: placement.Refusal{Routes: 1}},
		"withdrawn route":               {states: []schema.Declared{routed(1, "/a/", "/b/"), routed(2, "/b/")}, path: "/a/1", want: withdrawn(1, 0)},
		"route withdrawn earlier":       {states: []schema.Declared{routed(1, "/a/"), routed(2, "/b/"), routed(3, "/b/", "/c/")}, path: "/a/1", want: placement.Refusal{Routes: 2}},
		"first declaration with keys":   {states: []schema.Declared{keyed(1, "k1")}, path: "/x/1", key: "k2", want: placement.Refusal{Routes: 2, Keys: 1}},
		"no declaration has the key":    {states: []schema.Declared{keyed(1, "k1"), keyed(2, "k1")}, path: "/x/1", key: "k2", want: placement.Refusal{Routes: 2, Keys: 1}},
		"withdrawn key":                 {states: []schema.Declared{keyed(1, "k1", "k2"), keyed(2, "k1")}, path: "/x/1", key: "k2", want: withdrawn(2, 1)},
		"keys were not needed before":   {states: []schema.Declared{routed(1, "/"), keyed(2, "k1")}, path: "/x/1", key: "k2", want: withdrawn(2, 1)},
		"no key, none was needed":       {states: []schema.Declared{routed(1, "/"), keyed(2, "k1")}, path: "/x/1", want: withdrawn(2, 1)},
		"no key, it was needed as well": {states: []schema.Declared{keyed(1, "k1"), keyed(2, "k1")}, path: "/x/1", want: placement.Refusal{Routes: 2, Keys: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer, now := placerWith(test.states...)
			finish, ended := firstOf[placement.Finish](callWith(placer, now, 1, test.path, test.key))
			assert.Assert(t, ended)
			assert.DeepEqual(t, finish.Refusal, test.want)
		})
	}
	t.Run("another change does not hide it", func(t *testing.T) {
		placer, now := placerWith(routed(1, "/a/", "/b/"), routed(2, "/b/"))
		placer.Step(now, placement.DeclaredChanged{Declared: registered})
		finish, _ := firstOf[placement.Finish](callWith(placer, now, 1, "/a/1", ""))
		assert.DeepEqual(t, finish.Refusal, withdrawn(1, 0))
	})
}

// Guards against a waiting call that ends with 401 and does not tell that its key was
// withdrawn while it waited.
func TestAKeyWithdrawnFromAWaitingCallIsTold(t *testing.T) {
	placer, now := placerWith(keyed(1, "k1", "k2"))
	placer.Step(now, placement.Resumed{})
	assert.Equal(t, len(callWith(placer, now, 1, "/x/1", "k2")), 0)
	finish, ended := firstOf[placement.Finish](placer.Step(now, placement.DeclaredChanged{Declared: keyed(2, "k1")}))
	assert.Assert(t, ended)
	assert.DeepEqual(t, finish.Outcome, placement.Outcome(placement.Unauthorised{Reason: placement.ReasonUnknownKey}))
	assert.DeepEqual(t, finish.Refusal, placement.Refusal{Withdrawn: true, Routes: 2, Keys: 1})
}

// Guards against calls that a late host refuses and that look like rightly refused ones.
func TestANewerDeclarationTellsWhichRefusalsWereOutdated(t *testing.T) {
	type refused struct{ path, key string }
	long := "/a/" + strings.Repeat("p", 4000)
	tests := map[string]struct {
		first, second schema.Declared
		calls         []refused
		want          placement.RefusalsOutdated
	}{
		"added route": {
			first: routed(1, "/b/"), second: routed(2, "/a/", "/b/"), calls: []refused{{path: "/a/1"}, {path: "/c/1"}, {path: "/a/2"}, {path: "/b/1"}},
			want: placement.RefusalsOutdated{Version: 2, Routes: 2, Oldest: 4 * time.Second, Newest: 2 * time.Second},
		},
		"long path":        {first: routed(1, "/b/"), second: routed(2, "/a/"), calls: []refused{{path: long}}, want: placement.RefusalsOutdated{Version: 2, Routes: 1, Oldest: time.Second, Newest: time.Second}},
		"no added route":   {first: routed(1, "/b/"), second: routed(2, "/d/"), calls: []refused{{path: "/a/1"}}},
		"the same version": {first: routed(1, "/b/"), second: routed(1, "/a/", "/b/"), calls: []refused{{path: "/a/1"}}},
		"added key": {
			first: keyed(1, "k1"), second: keyed(2, "k1", "k2"), calls: []refused{{path: "/x/1", key: "k2"}, {path: "/x/1", key: "k3"}, {path: "/x/1", key: "k2"}},
			want: placement.RefusalsOutdated{Version: 2, Keys: 2, Oldest: 3 * time.Second, Newest: time.Second},
		},
		"keys are not needed any more": {
			first: keyed(1, "k1"), second: routed(2, "/"), calls: []refused{{path: "/x/1", key: "k3"}},
			want: placement.RefusalsOutdated{Version: 2, Keys: 1, Oldest: time.Second, Newest: time.Second},
		},
		"no key": {first: keyed(1, "k1"), second: keyed(2, "k1", "k2"), calls: []refused{{path: "/x/1"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			placer, now := placerWith(test.first)
			for i, next := range test.calls {
				callWith(placer, now, placement.CallID(i+1), next.path, next.key)
				now = advance(placer, now, time.Second)
			}
			outdated, _ := firstOf[placement.RefusalsOutdated](placer.Step(now, placement.DeclaredChanged{Declared: test.second}))
			assert.DeepEqual(t, outdated, test.want)
			third := test.second
			third.Declaration.Version = 3
			_, again := firstOf[placement.RefusalsOutdated](placer.Step(now, placement.DeclaredChanged{Declared: third}))
			assert.Assert(t, !again || test.want.Version == 0, "each refused call counts once")
		})
	}
}

// Guards against memory that grows with the number of refused calls, and against a list
// that keeps the oldest of them.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	const kept, refused = 256, 1000
	placer, now := placerWith(routed(1, "/b/"))
	for i := range refused {
		callWith(placer, now.Add(time.Duration(i)*time.Millisecond), placement.CallID(i+1), fmt.Sprintf("/a/%d", i), "")
	}
	now = now.Add(refused * time.Millisecond)
	outdated, _ := firstOf[placement.RefusalsOutdated](placer.Step(now, placement.DeclaredChanged{Declared: routed(2, "/a/")}))
	assert.DeepEqual(t, outdated, placement.RefusalsOutdated{Version: 2, Routes: kept, Oldest: kept * time.Millisecond, Newest: time.Millisecond})
}

// BenchmarkRefusedCalls measures a call that no route matches, with two declarations of
// many routes.
func BenchmarkRefusedCalls(b *testing.B) {
	prefixes := make([]string, 0, 100)
	for i := range cap(prefixes) {
		prefixes = append(prefixes, fmt.Sprintf("/%d/", i))
	}
	placer, now := placerWith(routed(1, prefixes...), routed(2, prefixes...))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		callWith(placer, now, placement.CallID(i+1), "/a/b/c", "")
	}
}
