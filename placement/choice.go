package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crossingDelay is what a round trip to another data centre adds.
	crossingDelay = 2 * time.Millisecond
	// maxServerQueue is the number of calls that may wait at a backend server beyond
	// its slots; more would be refused or reset there.
	maxServerQueue = 2
	// unusedAfter is how long a backend server goes without calls until it is
	// preferred, so that each new one gets some.
	unusedAfter = 1500 * time.Millisecond
	// unusedBonus is the risk that this preference outweighs.
	unusedBonus = 0.1
	// safeShare is the share of the time left up to which an expected duration
	// bears no risk of a late answer, because work varies and machines turn slow.
	safeShare = 0.45
	// certainLateShare is the share of the time left from which a late answer is certain.
	certainLateShare = 1.35
	// durationWeight is what an expected duration of the whole time left adds to the
	// risk, so that of two safe choices the quicker one is taken.
	durationWeight = 0.15
	// slowdownCostIdempotent is the risk of a late answer of a call that may be sent again
	// when its machine turns slow.
	slowdownCostIdempotent = 0.1
	// slowdownCostOnce is that risk of a call that may run once.
	slowdownCostOnce = 0.8
	// remoteLoadCost is the risk added for a backend server of this data centre that
	// another host measures: its load is known from the last beacon only, and that
	// host places calls there meanwhile.
	remoteLoadCost = 0.05
	// kibibyte is the number of bytes in a KiB.
	kibibyte = 1024
)

// candidate is a backend server that may get a call.
type candidate struct {
	server *Server
	// expected is the expected time until the answer, failures included.
	expected time.Duration
	// cost is the risk of a late answer with what it costs to leave the data
	// centre.
	cost float64
	// hasFreeSlot says that a slot is free.
	hasFreeSlot bool
}

// choose returns the best backend server for a call that was not tried yet, or
// nil if there is none.
func (p *Placer) choose(now time.Time, c *call) *candidate {
	if best := p.cheapest(now, c, false); best != nil {
		return best
	}

	return p.cheapest(now, c, true)
}

// cheapest returns the cheapest candidate. If all are ejected, the ejections are
// ignored when told so: some work may get through.
func (p *Placer) cheapest(now time.Time, c *call, allowEjected bool) *candidate {
	var best *candidate
	for _, server := range c.service.servers {
		if slices.Contains(c.triedServers, server.ID) || !p.eligible(now, c.service, server, allowEjected) {
			continue
		}
		next := p.assess(now, c, server)
		if best == nil || next.cost < best.cost {
			best = &next
		}
	}

	return best
}

// eligible reports whether a call may be sent to the backend server.
func (p *Placer) eligible(now time.Time, service *service, server *Server, allowEjected bool) bool {
	if server.Draining || server.Slots == 0 || p.evacuated[server.DataCentre] {
		return false
	}
	if server.Ejected(now) && (!allowEjected || server.Unreachable) {
		return false
	}
	if server.Taken(now) >= server.SlotLimit()+maxServerQueue {
		return false
	}

	return !server.Cold(now) || p.acceptsWhileCold(now, service, server)
}

// acceptsWhileCold reports whether a cold backend server bears another call. Only the
// host that measures it sends it any, evenly spaced, so that the sum over all
// hosts stays within what it bears.
func (p *Placer) acceptsWhileCold(now time.Time, service *service, server *Server) bool {
	if service.Rule.ColdPerSecond <= 0 || !server.Measured {
		return false
	}
	spacing := time.Duration(float64(time.Second) / service.Rule.ColdPerSecond)

	return server.InFlight < server.Slots && now.Sub(server.SentAt) >= spacing
}

// assess returns what to expect of a call on a backend server.
func (p *Placer) assess(now time.Time, c *call, server *Server) candidate {
	expected, slowdownRisk := server.Expected(now, c.route.Work, p.slowdowns)
	penalty := c.route.Target()
	if !c.route.Idempotent {
		penalty *= 2 // it cannot be sent again
	}
	expected += time.Duration(server.FailureRatio(now) * float64(penalty))
	cost := 0.0
	switch {
	case server.DataCentre != p.Options.DataCentre:
		expected += crossingDelay
		cost = c.route.Size / kibibyte * p.Options.CrossingCost
	case !server.Measured:
		cost = remoteLoadCost
	}
	if now.Sub(server.SentAt) > unusedAfter {
		cost -= unusedBonus
	}
	cost += risk(expected, max(c.targetDeadline.Sub(now), c.route.Target()/4)) + slowdownRisk*slowdownCost(c.route)

	return candidate{server: server, expected: expected, cost: cost, hasFreeSlot: server.Taken(now) < server.SlotLimit()}
}

// slowdownCost returns the risk of a late answer when the machine turns slow. A call
// that may run twice is sent again then.
func slowdownCost(route *Route) float64 {
	if route.Idempotent && route.MaxAttempts > 1 {
		return slowdownCostIdempotent
	}

	return slowdownCostOnce
}

// risk returns the risk of an answer that comes too late, with a little for the
// duration itself.
func risk(expected, left time.Duration) float64 {
	share := float64(expected) / float64(max(left, 1))
	late := (share - safeShare) / (certainLateShare - safeShare)

	return min(max(late, 0), 1) + durationWeight*share
}

// assignMeasuring determines which backend servers this host measures: one serving host
// does, of the same data centre if there is one.
func (p *Placer) assignMeasuring() {
	for _, server := range p.servers {
		server.Measured = p.measuringHost(server) == p.Options.Host
	}
}

// measuringHost names the host that measures a backend server, if any serves.
func (p *Placer) measuringHost(server *Server) string {
	sameDataCentre := slices.ContainsFunc(p.peers.Serving, func(peer Peer) bool { return peer.DataCentre == server.DataCentre })
	best, highest := "", uint64(0)
	for _, peer := range p.peers.Serving {
		if sameDataCentre && peer.DataCentre != server.DataCentre {
			continue
		}
		if score := xxhash.Sum64String(peer.Name + "\x00" + server.ID); best == "" || score > highest {
			best, highest = peer.Name, score
		}
	}

	return best
}
