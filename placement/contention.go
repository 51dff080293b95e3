package placement

import (
	"math"
	"time"
)

const (
	// contentionThreshold is the share of taken slots from which some backend servers
	// slow down.
	contentionThreshold = 0.8
	// initialContentionFactor is how much longer work is taken to last from there on until
	// answers told.
	initialContentionFactor = 1.3
	// minContendedAnswers is the number of answers that tell: work varies by a third, so
	// their mean is known to a tenth, and a loss that matters is 1.4 times the work.
	minContendedAnswers = 12
	// minUncontendedAnswers is the number of answers of other backend servers that they are
	// compared with.
	minUncontendedAnswers = 6
	// contentionWeight is the share of the newest answer in what was learnt.
	contentionWeight = 0.02
	// minContendedTime is the share of its time for which a send ran beside others in
	// all slots to count as crowded, maxUncontendedTime that to count as not.
	minContendedTime   = 0.7
	maxUncontendedTime = 0.2
	// contentionMargin is how much more a full backend server must lose than its last
	// slots gain until they are left free.
	contentionMargin = 1.05
)

// Contention learns how much longer work lasts on a service's backend servers
// when all their slots are taken. It answers the load in which all are full and
// each gets less done than with a slot left free; reports do not show it.
type Contention struct {
	meanLogRatio float64
	answers      int
}

// Observe adopts how long a call lasted on a full backend server, relative to
// one that was not.
func (c *Contention) Observe(ratio float64) {
	c.answers++
	weight := max(contentionWeight, 1/float64(c.answers))
	c.meanLogRatio += weight * (math.Log(max(ratio, minPace)) - c.meanLogRatio)
}

// Factor returns how much longer work lasts when all slots are taken.
func (c *Contention) Factor() float64 {
	if c.answers < minContendedAnswers {
		return initialContentionFactor
	}

	return max(math.Exp(c.meanLogRatio), 1)
}

// SlotLimit returns the number of slots that are worth taking.
func (c *Contention) SlotLimit(slots int) int {
	limit := int(contentionThreshold * float64(slots))
	if limit < 1 || c.answers < minContendedAnswers || c.Factor()*float64(limit) < contentionMargin*float64(slots) {
		return slots
	}

	return limit
}

// observeContention learns from a whole answer of a backend server whose machine was
// not slow.
func (p *Placer) observeContention(now time.Time, ended *attempt) {
	server, route := ended.server, ended.call.route
	if server.Unreported || server.Cold(now) || server.PaceNow(now) > paceStep {
		return
	}
	contendedShare := float64(ended.contendedTime) / float64(max(now.Sub(ended.started), time.Millisecond))
	switch {
	case contendedShare < maxUncontendedTime:
		route.observeUncontended(ended.uncontendedProgress)
	case contendedShare > minContendedTime && route.uncontendedAnswers >= minUncontendedAnswers:
		server.contention.Observe(float64(ended.uncontendedProgress) / float64(route.uncontendedWork))
	}
}
