package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
)

// manyRoutes returns routes of a large declaration.
func manyRoutes(count int, generation string) []schema.Route {
	routes := make([]schema.Route, 0, count)
	for i := range count {
		routes = append(routes, schema.Route{
			Name: fmt.Sprintf("route-%s-%05d", generation, i), HostName: "shop.example", Prefix: fmt.Sprintf("/%s%05d/", generation, i),
			TimeoutMs: 1200, TargetMs: 300, MaxAttempts: 2, Targets: []schema.RouteTarget{{Service: "stock", Weight: 1000}},
		})
	}

	return routes
}

// Guards against hosts that serve by an outdated declaration because it is large: every
// host fetched the whole of it from the same few hosts, each fetch was cut off after a
// fixed time and begun anew from the first byte.
func TestLargeDeclarationsAreInForceInTime(t *testing.T) {
	const routes = 2800
	tests := map[string]struct {
		hosts int
		// change returns the routes of the next declaration.
		change func(before []schema.Route) []schema.Route
		// changes is the number of changes, which follow each other by gap.
		changes int
		gap     time.Duration
		// cut is how the readers lose the store just before the last change.
		cut simulatedCut
	}{
		"one route changes": {hosts: 121, changes: 1, change: func(before []schema.Route) []schema.Route {
			changed := append([]schema.Route(nil), before...)
			changed[routes/2].TimeoutMs++

			return changed
		}},
		"1,400 routes are added": {hosts: 121, changes: 1, change: func(before []schema.Route) []schema.Route {
			return append(manyRoutes(routes/2, "added"), before...)
		}},
		"all routes are replaced": {hosts: 121, changes: 1, change: func([]schema.Route) []schema.Route {
			return manyRoutes(routes, "new")
		}},
		"all routes are replaced, few hosts": {hosts: 12, changes: 1, change: func([]schema.Route) []schema.Route {
			return manyRoutes(routes, "new")
		}},
		"changes follow each other": {hosts: 121, changes: 6, gap: 400 * time.Millisecond, change: func(before []schema.Route) []schema.Route {
			return append(manyRoutes(10, fmt.Sprint("added", len(before))), before...)
		}},
		"readers get no answers": {hosts: 121, changes: 1, cut: cutSilent, change: func(before []schema.Route) []schema.Route {
			return append(manyRoutes(routes/2, "added"), before...)
		}},
		"readers are refused": {hosts: 121, changes: 1, cut: cutRejected, change: func([]schema.Route) []schema.Route {
			return manyRoutes(routes, "new")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(test.hosts, 4, 1)
			s.limitLinks(12)
			s.routes = manyRoutes(routes, "old")
			s.declare()
			s.run(10 * time.Second)
			assert.Equal(t, len(s.outdatedSince(s.declaration.Version)), 0, "before the change, %.1f MB wasted: %v", s.wasted/1e6, s.outdatedSince(s.declaration.Version))
			for range test.changes - 1 {
				s.routes = test.change(s.routes)
				s.declare()
				s.run(test.gap)
			}
			for _, host := range s.readers() {
				host.cut = test.cut
			}
			s.routes = test.change(s.routes)
			s.declare()
			s.assertInForce(t, "after the last change")
		})
	}
}
