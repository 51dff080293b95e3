package placement

import (
	"math"
	"time"
)

const (
	// contentionThreshold is the share of taken slots above which some backend
	// servers slow down.
	contentionThreshold = 0.8
	// initialContentionFactor is how many times longer work is assumed to take
	// above the threshold until enough calls have been answered.
	initialContentionFactor = 1.3
	// minContendedAnswers is the number of answers required for an estimate:
	// work varies by a third, so 12 answers give its mean to within a tenth,
	// and the smallest relevant slowdown is a factor of 1.4.
	minContendedAnswers = 12
	// minUncontendedAnswers is the number of answers from backend servers with
	// a free slot that is required for the comparison.
	minUncontendedAnswers = 6
	// contentionWeight is the weight of the newest answer in the estimate.
	contentionWeight = 0.02
	// minContendedTime is the share of its duration above which an attempt with
	// contention counts as contended. Below maxUncontendedTime it counts as
	// uncontended.
	minContendedTime   = 0.7
	maxUncontendedTime = 0.2
	// contentionMargin is the factor by which the slowdown of a full backend
	// server must exceed the gain of its last slots before they are left free.
	contentionMargin = 1.05
)

// Contention estimates how many times longer work takes on a service's backend
// servers when all their slots are taken. A full backend server may get less
// done than one with a slot left free; if so, its last slots are left free.
// Load reports do not show this slowdown.
type Contention struct {
	meanLogRatio float64
	answers      int
}

// Observe adds the duration of a call on a full backend server, relative to
// that on a backend server with a free slot.
func (c *Contention) Observe(ratio float64) {
	c.answers++
	weight := max(contentionWeight, 1/float64(c.answers))
	c.meanLogRatio += weight * (math.Log(max(ratio, minPace)) - c.meanLogRatio)
}

// Factor returns how many times longer work takes when all slots are taken.
func (c *Contention) Factor() float64 {
	if c.answers < minContendedAnswers {
		return initialContentionFactor
	}

	return max(math.Exp(c.meanLogRatio), 1)
}

// SlotLimit returns how many of the given number of slots to use.
func (c *Contention) SlotLimit(slots int) int {
	limit := int(contentionThreshold * float64(slots))
	if limit < 1 || c.answers < minContendedAnswers || c.Factor()*float64(limit) < contentionMargin*float64(slots) {
		return slots
	}

	return limit
}

// observeContention updates the contention estimate from a complete answer of a
// backend server whose machine was not slow.
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
