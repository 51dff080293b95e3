package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// initialWorkShare is the share of a route's latency objective that the
	// work of a call is assumed to take until calls have been answered.
	initialWorkShare = 0.4
	// initialSize is the assumed length of an answer in bytes until calls have
	// been answered.
	initialSize = 8 << 10
	// workWeight is the weight of the newest answer in the smoothed work and
	// size.
	workWeight = 0.05
)

// Route is a declared route and the statistics of its calls.
type Route struct {
	schema.Route
	// Work is the smoothed duration of a call on an idle backend server at the
	// usual pace.
	Work time.Duration
	// Size is the smoothed length of an answer in bytes.
	Size float64

	// uncontendedWork is the mean duration, at the usual pace, of calls on
	// backend servers with a free slot. Later answers are weighted by
	// workWeight.
	uncontendedWork    time.Duration
	uncontendedAnswers int
	callerTimeouts     *CallerTimeouts
	currentWeights     []int
}

// newRoute returns a route without observed calls.
func newRoute(declared schema.Route) *Route {
	return &Route{
		Route:          declared,
		Work:           time.Duration(initialWorkShare * float64(declared.TargetMs) * float64(time.Millisecond)),
		Size:           initialSize,
		callerTimeouts: NewCallerTimeouts(),
		currentWeights: make([]int, len(declared.Targets)),
	}
}

// Target returns the latency objective of the route.
func (r *Route) Target() time.Duration {
	return time.Duration(r.TargetMs) * time.Millisecond
}

// Timeout returns the longest time that a call may be kept waiting.
func (r *Route) Timeout() time.Duration {
	return time.Duration(r.TimeoutMs) * time.Millisecond
}

// nextService returns the service for the next call, by smooth weighted round
// robin.
func (r *Route) nextService() string {
	best, total := 0, 0
	for i, target := range r.Targets {
		r.currentWeights[i] += target.Weight
		total += target.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= total

	return r.Targets[best].Service
}

// observe updates the smoothed work and size from an answer.
func (r *Route) observe(work time.Duration, size int) {
	r.Work += time.Duration(workWeight * float64(work-r.Work))
	r.Size += workWeight * (float64(size) - r.Size)
}

// observeUncontended updates the smoothed duration from an answer of a backend
// server with a free slot.
func (r *Route) observeUncontended(duration time.Duration) {
	r.uncontendedAnswers++
	r.uncontendedWork += time.Duration(max(workWeight, 1/float64(r.uncontendedAnswers)) * float64(duration-r.uncontendedWork))
}

// routes holds the routes by canonical host name, each list sorted by descending length
// of the prefix.
type routes map[string][]*Route

// newRoutes returns the declared routes. A route whose name was declared before
// keeps the statistics of its calls.
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
		host := canonicalHost(entry.HostName)
		made[host] = append(made[host], route)
	}
	for _, list := range made {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}

	return made
}

// match returns the route with the longest prefix of the path, or nil.
func (r routes) match(hostName, path string) *Route {
	for _, route := range r[canonicalHost(hostName)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}

	return nil
}

// canonicalHost returns the spelling of a host name in which names are compared: in
// lower case, without the dot of the root.
func canonicalHost(name string) string {
	return strings.ToLower(strings.TrimSuffix(name, "."))
}
