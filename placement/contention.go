package placement

import (
	"math"
	"time"
)

const (
	// crowdedShare is the share of taken slots from which some backend servers
	// slow down.
	crowdedShare = 0.8
	// crowdedFactor is how much longer work is taken to last from there on until
	// answers told.
	crowdedFactor = 1.3
	// crowdedCount is the number of answers that tell: work varies by a third, so
	// their mean is known to a tenth, and a loss that matters is 1.4 times the work.
	crowdedCount = 12
	// aloneCount is the number of answers of other backend servers that they are
	// compared with.
	aloneCount = 6
	// crowdedWeight is the share of the newest answer in what was learnt.
	crowdedWeight = 0.02
	// crowdedMost is the share of its time for which a send ran beside others in
	// all slots to count as crowded, aloneMost that to count as not.
	crowdedMost = 0.7
	aloneMost   = 0.2
	// crowdedMargin is how much more a full backend server must lose than its last
	// slots gain until they are left free.
	crowdedMargin = 1.05
)

// Crowding learns how much longer work lasts on a service's backend servers
// when all their slots are taken. It answers the load in which all are full and
// each gets less done than with a slot left free; reports do not show it.
type Crowding struct {
	logarithm float64
	count     int
}

// Observe adopts how long a call lasted on a full backend server, relative to
// one that was not.
func (c *Crowding) Observe(ratio float64) {
	c.count++
	weight := max(crowdedWeight, 1/float64(c.count))
	c.logarithm += weight * (math.Log(max(ratio, minimumRate)) - c.logarithm)
}

// Factor returns how much longer work lasts when all slots are taken.
func (c *Crowding) Factor() float64 {
	if c.count < crowdedCount {
		return crowdedFactor
	}

	return max(math.Exp(c.logarithm), 1)
}

// Room returns the number of slots that are worth taking.
func (c *Crowding) Room(slots int) int {
	room := int(crowdedShare * float64(slots))
	if room < 1 || c.count < crowdedCount || c.Factor()*float64(room) < crowdedMargin*float64(slots) {
		return slots
	}

	return room
}

// observeCrowding learns from a whole answer of a backend server whose machine was
// not slow.
func (p *Placer) observeCrowding(now time.Time, ended *attempt) {
	server, route := ended.server, ended.call.route
	if server.Unreported || server.Cold(now) || server.PaceNow(now) > paceStep {
		return
	}
	crowded := float64(ended.crowded) / float64(max(now.Sub(ended.started), time.Millisecond))
	switch {
	case crowded < aloneMost:
		route.learnAlone(ended.plain)
	case crowded > crowdedMost && route.alones >= aloneCount:
		server.crowding.Observe(float64(ended.plain) / float64(route.alone))
	}
}
