package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxReportedRoutes bounds the routes in a report. The answers to the calls of further
	// routes are counted together.
	maxReportedRoutes = 64
	// otherRoutes stands for the routes beyond this bound.
	otherRoutes = 0
	// snapshotInterval is the time between two snapshots of the evidence.
	snapshotInterval = 500 * time.Millisecond
	// snapshots is the number of snapshots kept, which determines the period of the newest
	// answers: a version that turns bad late is not found in time among all answers.
	snapshots = 6
)

// evidence are the answers since an order began, as all hosts report them.
type evidence struct {
	// own are the answers that this host counted, by the hash of the route.
	own map[int]Counts
	// reported are the newest counts of each other host.
	reported map[string]map[int]Counts
	// all are the sums over all hosts, also over earlier incarnations of restarted ones.
	all map[int]Counts
	// total are the sums over all routes.
	total Counts
	// earlier are former values of all and total, the oldest first.
	earlier    []snapshot
	snapshotAt time.Time
}

// snapshot is the evidence at one time.
type snapshot struct {
	all   map[int]Counts
	total Counts
}

func newEvidence() *evidence {
	return &evidence{own: map[int]Counts{}, reported: map[string]map[int]Counts{}, all: map[int]Counts{}}
}

// count adds an answer that this host received.
func (e *evidence) count(answer Answered) {
	route := answer.Route
	if _, known := e.own[route]; !known && len(e.own) >= maxReportedRoutes-1 {
		route = otherRoutes
	}
	added := Answers{All: 1}
	switch {
	case answer.Failed:
		added.Failures = 1
	case answer.Slow && !answer.Cold:
		added.Slow = 1
	}
	if answer.Cold {
		added.Cold = 1
	}
	counts := Counts{Others: added}
	if answer.Target {
		counts = Counts{Target: added}
	}
	e.own[route] = e.own[route].plus(counts)
	e.add(route, counts)
}

// adopt replaces the counts of another host. Counts that are lower than before are those
// of a host that has restarted; the former ones are kept beside them.
func (e *evidence) adopt(host string, reported []schema.RolloutEvidence) {
	next, before := decode(reported), e.reported[host]
	restarted := false
	for route, counts := range before {
		restarted = restarted || next[route].below(counts)
	}
	for route, counts := range next {
		if !restarted {
			counts = counts.minus(before[route])
		}
		e.add(route, counts)
	}
	e.reported[host] = next
}

func (e *evidence) add(route int, counts Counts) {
	e.all[route] = e.all[route].plus(counts)
	e.total = e.total.plus(counts)
}

// snapshot keeps the present counts if the next snapshot is due.
func (e *evidence) snapshot(now time.Time) {
	if now.Sub(e.snapshotAt) < snapshotInterval {
		return
	}
	e.snapshotAt = now
	e.earlier = append(e.earlier, snapshot{all: maps.Clone(e.all), total: e.total})
	if len(e.earlier) > snapshots {
		e.earlier = slices.Delete(e.earlier, 0, 1)
	}
}

// bad returns why the target counts as bad, if it does: for one route or for all together,
// by all answers or the newest.
func (e *evidence) bad() (Reason, bool) {
	overall := e.total.Others
	if reason, is := bad(e.total.Target, ratesOf(overall), badProbability); is {
		return reason, true
	}
	for _, counts := range e.all {
		if reason, is := bad(counts.Target, ratesOf(counts.Others, overall), badProbability); is {
			return reason, true
		}
	}
	if len(e.earlier) == 0 {
		return "", false
	}
	from := e.earlier[0]
	recent := e.total.minus(from.total)
	if reason, is := bad(recent.Target, worse(ratesOf(recent.Others), ratesOf(overall)), recentBadProbability); is {
		return reason, true
	}
	for route, counts := range e.all {
		latest := counts.minus(from.all[route])
		others := worse(ratesOf(latest.Others, recent.Others), ratesOf(counts.Others, overall))
		if reason, is := bad(latest.Target, others, recentBadProbability); is {
			return reason, true
		}
	}

	return "", false
}

// worse returns the higher of two rates each: trouble of the whole service is no fault of
// the target.
func worse(a, b rates) rates {
	return rates{failures: max(a.failures, b.failures), slow: max(a.slow, b.slow)}
}

// good reports whether the answers suffice to send the target a larger share.
func (e *evidence) good(share float64) bool {
	if e.total.Target.All == 0 || !good(e.total.Target, ratesOf(e.total.Others), manyAnswers) {
		return false
	}
	for _, counts := range e.all {
		if counts.Target.All < requiredAnswers(counts.Target.All+counts.Others.All, share) {
			return false
		}
		if !good(counts.Target, ratesOf(counts.Others, e.total.Others), manyRouteAnswers) {
			return false
		}
	}

	return true
}

// report returns this host's own counts for the other hosts, sorted by route.
func (e *evidence) report() []schema.RolloutEvidence {
	list := make([]schema.RolloutEvidence, 0, len(e.own))
	for _, route := range slices.Sorted(maps.Keys(e.own)) {
		list = append(list, e.own[route].encode(route))
	}

	return list
}
