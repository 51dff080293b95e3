package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// firstWork is the share of a route's latency objective that a call is expected
	// to take until calls were answered.
	firstWork = 0.4
	// firstSize is the length in bytes that an answer is expected to have until
	// calls were answered.
	firstSize = 8 << 10
	// workWeight is the share of the newest answer in the smoothed work and size.
	workWeight = 0.05
)

// Route is a declared route with what was learnt of its calls.
type Route struct {
	schema.Route
	// Work is the smoothed duration of a call on an idle backend server at usual
	// pace.
	Work time.Duration
	// Size is the smoothed length of an answer in bytes.
	Size float64

	// uncontendedWork is the smoothed duration on backend servers with a free slot at usual
	// pace, from so many answers.
	uncontendedWork    time.Duration
	uncontendedAnswers int
	callerTimeouts     *CallerTimeouts
	credits            []int
}

// newRoute returns a route whose calls were not seen yet.
func newRoute(declared schema.Route) *Route {
	return &Route{
		Route:          declared,
		Work:           time.Duration(firstWork * float64(declared.TargetMs) * float64(time.Millisecond)),
		Size:           firstSize,
		callerTimeouts: NewCallerTimeouts(),
		credits:        make([]int, len(declared.Targets)),
	}
}

// Target returns the latency objective.
func (r *Route) Target() time.Duration {
	return time.Duration(r.TargetMs) * time.Millisecond
}

// Timeout returns the longest time that a call may be kept waiting.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// next returns the service for the next call, by smooth weighted round robin.
func (r *Route) next() string {
	best, total := 0, 0
	for i, target := range r.Targets {
		r.credits[i] += target.Weight
		total += target.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total

	return r.Targets[best].Service
}

// learn adopts what an answer showed.
func (r *Route) learn(work time.Duration, size int) {
	r.Work += time.Duration(workWeight * float64(work-r.Work))
	r.Size += workWeight * (float64(size) - r.Size)
}

// learnUncontended adopts how long a call lasted on a backend server with a free slot.
func (r *Route) learnUncontended(duration time.Duration) {
	r.uncontendedAnswers++
	r.uncontendedWork += time.Duration(max(workWeight, 1/float64(r.uncontendedAnswers)) * float64(duration-r.uncontendedWork))
}

// routes finds the route of a call. The lists are sorted by falling length of
// the prefix.
type routes map[string][]*Route

// newRoutes returns the declared routes with what was learnt of them before.
func newRoutes(declared []schema.Route, before routes) routes {
	known := map[string]*Route{}
	for _, list := range before {
		for _, route := range list {
			known[route.Name] = route
		}
	}
	made := routes{}
	for _, entry := range declared {
		route := newRoute(entry)
		if old, ok := known[entry.Name]; ok {
			route.Work, route.Size, route.callerTimeouts = old.Work, old.Size, old.callerTimeouts
			route.uncontendedWork, route.uncontendedAnswers = old.uncontendedWork, old.uncontendedAnswers
		}
		made[entry.HostName] = append(made[entry.HostName], route)
	}
	for _, list := range made {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}

	return made
}

// match returns the route with the longest prefix of the path, or nil.
func (r routes) match(hostName, path string) *Route {
	for _, route := range r[hostName] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}

	return nil
}
