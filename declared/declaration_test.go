package declared_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/schema"
)

// routesNamed returns a route for each name; the timeout is part of its content.
func routesNamed(timeout int, names ...string) []schema.Route {
	routes := make([]schema.Route, 0, len(names))
	for _, name := range names {
		routes = append(routes, schema.Route{Name: name, HostName: "shop.example", Prefix: "/" + name + "/", TimeoutMs: timeout})
	}

	return routes
}

// declare returns a replica that read a series of declarations from the store.
func declare(declarations ...schema.Declaration) *declared.Replica {
	replica := declared.NewReplica(declared.DefaultBound)
	for _, declaration := range declarations {
		replica.Step(start, declared.OrdersRead{At: storeVersion(declaration.Version), Declarations: []schema.Declaration{declaration}})
	}

	return replica
}

// announce returns the beacon of a peer.
func announce(peer *declared.Replica) declared.PeerStateReceived {
	return declared.PeerStateReceived{Name: "peer", Address: "10.0.0.9:1", Hash: peer.Hash, OrdersAt: peer.Declared.OrdersAt, RegistrationsAt: peer.Declared.RegistrationsAt}
}

// fetchFrom lets a replica learn of a peer's state and answers its fetches. It returns the
// fetches and the answers.
func fetchFrom(replica, peer *declared.Replica) (fetches []declared.Fetch, answers []schema.DeclaredAnswer) {
	for actions := replica.Step(start, announce(peer)); ; {
		position := slices.IndexFunc(actions, func(action declared.Action) bool { _, ok := action.(declared.Fetch); return ok })
		if position < 0 || len(fetches) == 4 {
			return fetches, answers
		}
		fetch := actions[position].(declared.Fetch)
		answer := peer.Answer(start, schema.DeclaredRequest{Version: fetch.Version, RegistrationsAt: fetch.RegistrationsAt, TakesChanges: true})
		fetches, answers = append(fetches, fetch), append(answers, answer)
		actions = replica.Step(start, declared.PeerAnswered{Answer: answer})
	}
}

// Guards against a declaration that is sent whole to every host because a single entry of
// it changed.
func TestOnlyTheChangesOfADeclarationAreSent(t *testing.T) {
	known := schema.Declaration{
		Version: 4, Routes: routesNamed(1, "a", "b", "c"), Services: []schema.ServiceRule{{Name: "s"}},
		Tenants: []schema.Tenant{{Name: "acme", KeyDigests: []string{"1"}}, {Name: "zenith"}},
	}
	with := func(change func(*schema.Declaration)) []schema.Declaration {
		next := known
		next.Version = 7
		change(&next)

		return []schema.Declaration{known, next}
	}
	tests := map[string]struct {
		peer                             []schema.Declaration
		routes, services, tenants, after int
		gone                             []string
	}{
		"a route changes": {
			peer: with(func(next *schema.Declaration) {
				next.Routes = slices.Concat(routesNamed(1, "a"), routesNamed(2, "b"), routesNamed(1, "c"))
			}),
			routes: 1, after: 4,
		},
		"a route is added": {peer: with(func(next *schema.Declaration) { next.Routes = routesNamed(1, "a", "aa", "b", "c") }), routes: 1, after: 4},
		"a route is dropped": {
			peer: with(func(next *schema.Declaration) { next.Routes = routesNamed(1, "a", "c") }), after: 4, gone: []string{"route/b"},
		},
		"a service changes": {peer: with(func(next *schema.Declaration) { next.Services = []schema.ServiceRule{{Name: "s", ColdMs: 3}} }), services: 1, after: 4},
		"a key is added": {peer: with(func(next *schema.Declaration) {
			next.Tenants = []schema.Tenant{{Name: "acme", KeyDigests: []string{"1", "2"}}, {Name: "zenith"}}
		}), tenants: 1, after: 4},
		"a tenant is dropped": {
			peer: with(func(next *schema.Declaration) { next.Tenants = next.Tenants[1:] }), after: 4, gone: []string{"tenant/acme"},
		},
		"a limit changes":       {peer: with(func(next *schema.Declaration) { next.Limits.BodyBytes = 9 }), after: 4},
		"the history is short":  {peer: with(func(*schema.Declaration) {})[1:], routes: 3, services: 1, tenants: 2},
		"a name is there twice": {peer: with(func(next *schema.Declaration) { next.Routes = routesNamed(1, "a", "a", "b") }), routes: 3, services: 1, tenants: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer, replica := declare(test.peer...), declare(known)
			fetches, answers := fetchFrom(replica, peer)
			assert.Equal(t, len(fetches), 1)
			answer := answers[0]
			assert.DeepEqual(t, []int{len(answer.Declaration.Routes), len(answer.Declaration.Services), len(answer.Declaration.Tenants), answer.DeclarationAfter},
				[]int{test.routes, test.services, test.tenants, test.after})
			assert.DeepEqual(t, answer.DeclarationGone, test.gone)
			assert.DeepEqual(t, replica.Declared.Declaration, peer.Declared.Declaration)
			whole := peer.Answer(start, schema.DeclaredRequest{Version: known.Version})
			assert.DeepEqual(t, whole.Declaration, peer.Declared.Declaration) // a host of an earlier release
		})
	}
}

// Guards against a host that keeps a declaration which differs from that of all others,
// because a peer's changes do not fit its own.
func TestChangesThatDoNotFitAreReplacedByTheWhole(t *testing.T) {
	first := schema.Declaration{Version: 4, Routes: routesNamed(1, "a", "b")}
	second := schema.Declaration{Version: 5, Routes: routesNamed(1, "a", "b", "c")}
	other := schema.Declaration{Version: 4, Routes: routesNamed(9, "a", "b")}
	peer, replica := declare(first, second), declare(other)
	fetches, answers := fetchFrom(replica, peer)
	assert.Equal(t, len(fetches), 2)
	assert.Equal(t, fetches[0].Version, 4)
	assert.Equal(t, fetches[1].Version, 0)
	assert.Equal(t, answers[1].DeclarationAfter, 0)
	assert.DeepEqual(t, replica.Declared.Declaration, second)
}

// Guards against changes that apply to a declaration which was replaced while they were on
// their way.
func TestChangesOfAReplacedDeclarationAreNotApplied(t *testing.T) {
	first := schema.Declaration{Version: 4, Routes: routesNamed(1, "a")}
	second := schema.Declaration{Version: 5, Routes: routesNamed(1, "b")}
	third := schema.Declaration{Version: 6, Routes: routesNamed(1, "b", "c")}
	peer, replica := declare(first, second, third), declare(first)
	replica.Step(start, announce(peer))
	late := peer.Answer(start, schema.DeclaredRequest{Version: 4, TakesChanges: true})
	replica.Step(start, declared.OrdersRead{At: storeVersion(5), Declarations: []schema.Declaration{second}})
	actions := replica.Step(start, declared.PeerAnswered{Answer: late})
	assert.DeepEqual(t, replica.Declared.Declaration, second)
	assert.Assert(t, slices.ContainsFunc(actions, func(action declared.Action) bool {
		fetch, ok := action.(declared.Fetch)

		return ok && fetch.Version == 5
	}), "%v", actions)
}

// drawRoutes returns routes of which each is left out or has one of two contents.
func drawRoutes(t *rapid.T) []schema.Route {
	var routes []schema.Route
	for name := range 6 {
		if content := rapid.IntRange(0, 2).Draw(t, "route"); content > 0 {
			routes = append(routes, routesNamed(content, fmt.Sprint("r", name))...)
		}
	}

	return routes
}

// Guards against replicas that differ after changes which cross, skip versions or undo each
// other.
func TestReplicasThatFetchChangesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*declared.Replica{declare(), declare(), declare(), declare()}
		for version := range rapid.IntRange(2, 12).Draw(t, "versions") {
			version++
			declaration := schema.Declaration{Version: version, Routes: drawRoutes(t)}
			replicas[0].Step(start, declared.OrdersRead{At: storeVersion(version), Declarations: []schema.Declaration{declaration}})
			for i := 1; i < len(replicas); i++ {
				if rapid.Bool().Draw(t, "fetches") {
					from := replicas[rapid.IntRange(0, i-1).Draw(t, "from")]
					fetchFrom(replicas[i], from)
					fetched, newest := replicas[i].Declared.Declaration, from.Declared.Declaration
					assert.Assert(t, fetched.Version >= newest.Version)
					if fetched.Version == newest.Version {
						assert.DeepEqual(t, fetched, newest)
					}
				}
			}
		}
	})
}
