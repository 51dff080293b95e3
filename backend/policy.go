package backend

import (
	"math/rand/v2"
	"time"
)

// Policy selects one of the free backend servers: LowestLatency, Random,
// RoundRobin, TwoChoicesInFlight or TwoChoicesLatency.
//
//sumtype:decl
type Policy interface{ policy() }

// LowestLatency selects the backend server with the lowest expected latency.
type LowestLatency struct{}

// Random selects a backend server uniformly at random.
type Random struct{}

// RoundRobin selects the backend servers in turn.
type RoundRobin struct{}

// TwoChoicesInFlight selects, of two random backend servers, the one with fewer
// attempts in flight.
type TwoChoicesInFlight struct{}

// TwoChoicesLatency selects, of two random backend servers, the one with the
// lower expected latency.
type TwoChoicesLatency struct{}

func (LowestLatency) policy()      {}
func (Random) policy()             {}
func (RoundRobin) policy()         {}
func (TwoChoicesInFlight) policy() {}
func (TwoChoicesLatency) policy()  {}

// choose returns one of the free backend servers, or nil if there is none.
func choose(policy Policy, now time.Time, cell *CellState, free []*Server, random *rand.Rand) *Server {
	if len(free) == 0 {
		return nil
	}
	switch policy.(type) {
	case LowestLatency:
		return lowest(now, free)
	case Random:
		return free[random.IntN(len(free))]
	case RoundRobin:
		cell.roundRobin++

		return free[cell.roundRobin%len(free)]
	case TwoChoicesInFlight:
		a, b := pickTwo(free, random)
		if b.InFlight < a.InFlight {
			return b
		}

		return a
	case TwoChoicesLatency:
		a, b := pickTwo(free, random)

		return lowest(now, []*Server{a, b})
	}

	return nil
}

// pickTwo returns two random backend servers, or the same one twice if there is
// only one.
func pickTwo(free []*Server, random *rand.Rand) (a, b *Server) {
	first := random.IntN(len(free))
	second := first
	if len(free) > 1 {
		second = (first + 1 + random.IntN(len(free)-1)) % len(free)
	}

	return free[first], free[second]
}

// lowest returns the backend server with the lowest expected latency. Ties go
// to the one whose latency was observed least recently.
func lowest(now time.Time, free []*Server) *Server {
	best, lowestExpected := free[0], free[0].Expected(now)
	for _, server := range free[1:] {
		expected := server.Expected(now)
		if expected < lowestExpected || expected == lowestExpected && server.ObservedAt.Before(best.ObservedAt) {
			best, lowestExpected = server, expected
		}
	}

	return best
}
