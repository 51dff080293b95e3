package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crossingDelay is the added duration of a round trip to another data
	// centre.
	crossingDelay = 2 * time.Millisecond
	// maxServerQueue is the number of calls that may queue at a backend server
	// beyond its slots; more would be refused or reset there.
	maxServerQueue = 2
	// unusedAfter is how long a backend server goes without calls from this
	// host until it is preferred, so that each new backend server receives
	// some.
	unusedAfter = 1500 * time.Millisecond
	// unusedBonus is the additional risk that is accepted for this preference.
	unusedBonus = 0.1
	// safeShare is the share of the remaining time up to which an expected
	// duration bears no risk of a late answer. It is well below 1 because work
	// varies and machines slow down.
	safeShare = 0.45
	// certainLateShare is the share of the remaining time from which an
	// expected duration makes a late answer certain.
	certainLateShare = 1.35
	// durationWeight is the cost of an expected duration equal to the remaining
	// time, so that the quicker of two safe candidates is chosen.
	durationWeight = 0.15
	// slowdownCostIdempotent is the risk of a late answer when the machine
	// slows down during a call that may be hedged.
	slowdownCostIdempotent = 0.1
	// slowdownCostOnce is that risk for a call that may run only once.
	slowdownCostOnce = 0.8
	// remoteLoadCost is the risk added for a backend server of this data centre
	// that another host measures: its load is known from the last beacon only,
	// and that host sends calls there meanwhile.
	remoteLoadCost = 0.05
	// kibibyte is the number of bytes in a KiB.
	kibibyte = 1024
)

// candidate is a backend server that a call may be sent to.
type candidate struct {
	server *Server
	// expected is the expected time until the answer, including the expected
	// loss of time to failures.
	expected time.Duration
	// cost is the risk of a late answer plus the cost of leaving the data
	// centre.
	cost        float64
	hasFreeSlot bool
}

// choose returns the candidate with the lowest cost that the call was not sent
// to yet, or nil if there is none. It considers ejected backend servers, and those
// that have just announced that they leave, only if there is no other candidate:
// some calls may still succeed there.
func (p *Placer) choose(now time.Time, c *call) *candidate {
	if c.service.rollout.divides() {
		return p.chooseSide(now, c)
	}
	if best := p.cheapest(now, c, nil, false); best != nil {
		return best
	}

	return p.cheapest(now, c, nil, true)
}

// cheapest returns the candidate with the lowest cost. As a last resort, ejected
// backend servers that are reachable and those that are leaving are considered.
func (p *Placer) cheapest(now time.Time, c *call, side side, lastResort bool) *candidate {
	var best *candidate
	for _, server := range c.service.servers {
		if side != nil && !onSide(now, side, server) || slices.Contains(c.triedServers, server.ID) || !p.eligible(now, c.service, server, lastResort) {
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
func (p *Placer) eligible(now time.Time, service *service, server *Server, lastResort bool) bool {
	if server.Withheld || server.Draining || server.Slots == 0 || p.evacuated[server.DataCentre] || server.Paused(now) {
		return false
	}
	if server.Ejected(now) && (!lastResort || server.Unreachable) {
		return false
	}
	if server.Leaving() && (!lastResort || now.Sub(server.LeavingSince) > leavingUseWindow) {
		return false
	}
	if server.TotalInFlight(now) >= server.SlotLimit()+maxServerQueue {
		return false
	}

	return !server.Cold(now) || p.acceptsWhileCold(now, service, server)
}

// acceptsWhileCold reports whether a cold backend server may be sent another
// call. Only the host that measures it sends it any, evenly spaced, so that the
// total of all hosts stays within the declared rate.
func (p *Placer) acceptsWhileCold(now time.Time, service *service, server *Server) bool {
	if service.Rule.ColdPerSecond <= 0 || !server.Measured {
		return false
	}
	spacing := time.Duration(float64(time.Second) / service.Rule.ColdPerSecond)

	return server.InFlight < server.Slots && now.Sub(server.SentAt) >= spacing
}

// assess returns the expected duration and the cost of sending a call to the
// backend server.
func (p *Placer) assess(now time.Time, c *call, server *Server) candidate {
	expected, slowdownRisk := server.Expected(now, c.route.Work, p.slowdowns)
	penalty := c.route.Target()
	if !c.route.Idempotent {
		penalty *= 2 // it cannot be retried
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

	return candidate{server: server, expected: expected, cost: cost, hasFreeSlot: server.TotalInFlight(now) < server.SlotLimit()}
}

// slowdownCost returns the risk of a late answer if the machine slows down. A
// call that may run twice is hedged in that case.
func slowdownCost(route *Route) float64 {
	if route.Idempotent && route.MaxAttempts > 1 {
		return slowdownCostIdempotent
	}

	return slowdownCostOnce
}

// risk returns the risk of an answer that comes too late, plus a small cost for
// the duration itself.
func risk(expected, left time.Duration) float64 {
	share := float64(expected) / float64(max(left, 1))
	late := (share - safeShare) / (certainLateShare - safeShare)

	return min(max(late, 0), 1) + durationWeight*share
}

// assignMeasuring determines which backend servers this host measures. Each is
// measured by one serving host, of the same data centre if there is one.
func (p *Placer) assignMeasuring() {
	serving := p.isServing()
	for _, server := range p.servers {
		server.Measured = serving && p.measuringHost(server) == p.Options.Host
	}
}

// pairHash returns a hash of a host and a backend server.
func pairHash(host, server string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(host) // writing to a digest cannot fail
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(server)

	return digest.Sum64()
}

// measuringHost returns the host that measures a backend server by rendezvous
// hashing, or an empty name if no host serves.
func (p *Placer) measuringHost(server *Server) string {
	sameDataCentre := slices.ContainsFunc(p.peers.Serving, func(peer Peer) bool { return peer.DataCentre == server.DataCentre })
	best, highest := "", uint64(0)
	for _, peer := range p.peers.Serving {
		if sameDataCentre && peer.DataCentre != server.DataCentre {
			continue
		}
		if score := pairHash(peer.Name, server.ID); best == "" || score > highest {
			best, highest = peer.Name, score
		}
	}

	return best
}
