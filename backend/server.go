package backend

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

const (
	// coldAllowance is the allowance of a backend server without answers.
	coldAllowance = 1
	// allowanceGrowth is added to the allowance by a quick answer to an attempt
	// that started at the limit.
	allowanceGrowth = 0.125
	// quickAnswerFactor is the ratio to the quickest recent answers up to which an answer
	// is quick.
	quickAnswerFactor = 2
	// slowAnswerFactor is the ratio to the quickest recent answers from which an answer at
	// the limit takes back, during the ramp, what a quick one adds.
	slowAnswerFactor = 3
	// baselineWeight is the share of a slower answer in the quickest latency, if the
	// attempt started alone on the backend server.
	baselineWeight = 0.002
	// loadedBaselineWeight is that share if it started beside others.
	loadedBaselineWeight = 0.0002
	// latencyWeight is the share of the newest answer in the smoothed latency.
	latencyWeight = 0.2
	// latencyTimeConstant is the time in which an unconfirmed latency falls to 37%, so
	// that a slow backend server is tried again.
	latencyTimeConstant = time.Second
	// latencyJumpFactor is the ratio of an answer's duration to the expected one that
	// counts as a sign of a cold or overloaded backend server.
	latencyJumpFactor = 8
	// errorLatencyFactor is the ratio of the latency that an error counts as, at least,
	// to the cell's median.
	errorLatencyFactor = 10
	// ejectAfter is the number of errors in a row that eject a backend server.
	ejectAfter = 3
	// baseEjection is the length of the first ejection; each further one without a
	// good answer in between is twice as long.
	baseEjection = time.Second
	// maxEjection bounds the length of an ejection.
	maxEjection = 30 * time.Second
)

// Server is what a pool knows about one backend server.
type Server struct {
	Declared
	// Cell is the cell that it belongs to.
	Cell caller.Cell
	// Owned says that the configuration in force declares it in a cell that this
	// host owns.
	Owned bool
	// InFlight is the number of attempts that this host runs on it.
	InFlight int
	// Allowance is the number of attempts that the cold-start ramp permits.
	Allowance float64
	// Ramping says that it has not borne work on all its slots since it was cold.
	Ramping bool
	// Latency is the smoothed duration of attempts.
	Latency time.Duration
	// BaselineLatency is the duration of its quickest recent answers.
	BaselineLatency time.Duration
	// ObservedAt is when the latency was last confirmed.
	ObservedAt time.Time
	// EjectedUntil is when it may receive work again.
	EjectedUntil time.Time
	// Errors is the number of errors since the last good answer.
	Errors int
	// Ejections is the number of ejections since the last good answer.
	Ejections int
	// Probes is the state of its probes.
	Probes ProbeBudget

	running []*attempt
}

// NewServer returns a backend server that is treated as cold.
func NewServer(address string) *Server {
	return &Server{Declared: Declared{Address: address}, Allowance: coldAllowance, Ramping: true}
}

// declare adopts the declared state. A backend server that returns is cold.
func (s *Server) declare(cell caller.Cell, declared Declared) {
	if !s.Owned || s.Leaving && !declared.Leaving {
		s.Allowance, s.Ramping = coldAllowance, true
		s.Latency, s.BaselineLatency, s.ObservedAt = 0, 0, time.Time{}
		s.EjectedUntil, s.Errors, s.Ejections = time.Time{}, 0, 0
	}
	s.Cell, s.Declared, s.Owned = cell, declared, true
}

// Limit returns the number of attempts that may be in flight.
func (s *Server) Limit() int {
	return min(s.Slots, int(s.Allowance))
}

// Serving reports whether the configuration lets it receive work.
func (s *Server) Serving() bool {
	return s.Owned && !s.Leaving && s.Slots > 0
}

// Ejected reports whether it receives no work for a bounded time.
func (s *Server) Ejected(now time.Time) bool {
	return now.Before(s.EjectedUntil)
}

// Usable reports whether it may receive work when it has a free slot.
func (s *Server) Usable(now time.Time) bool {
	return s.Serving() && !s.Ejected(now)
}

// Free reports whether another attempt may start.
func (s *Server) Free(now time.Time) bool {
	return s.InFlight < s.Limit() && s.Usable(now)
}

// Expected returns the latency to expect of the next attempt. An unconfirmed
// latency counts less and less; an attempt that runs for longer counts at once.
func (s *Server) Expected(now time.Time) time.Duration {
	expected := time.Duration(float64(s.Latency) * s.confidence(now))
	if len(s.running) > 0 {
		expected = max(expected, now.Sub(s.running[0].started))
	}

	return expected
}

// begin adds an attempt.
func (s *Server) begin(running *attempt) {
	s.InFlight++
	running.atLimit = s.InFlight >= s.Limit()
	running.alone = s.InFlight == 1
	s.running = append(s.running, running)
}

// finish removes an attempt.
func (s *Server) finish(running *attempt) {
	s.InFlight--
	s.running = slices.DeleteFunc(s.running, func(other *attempt) bool { return other == running })
}

// observe updates latency, allowance and errors by an attempt that ended. The
// median is the cell's.
func (s *Server) observe(now time.Time, result Result, running *attempt, median time.Duration) {
	took := now.Sub(running.started)
	switch result := result.(type) {
	case Whole:
		if result.Status >= http.StatusInternalServerError {
			s.recordFailure(now, took, median)

			return
		}
		s.recordSuccess(now, took, median, running)
	case Shed, Cut, TimedOut:
		s.recordFailure(now, took, median)
	case Unsent:
		if !result.Local {
			s.recordFailure(now, took, median)
		}
	case Cancelled:
		if took > s.Latency {
			s.updateLatency(now, took)
		}
	}
}

// recordSuccess notes a good answer. Only an attempt that started at the limit shows
// that the backend server bears that many, and only if the answer is quick: a
// cold one answers as quickly as ever until it has too much work.
func (s *Server) recordSuccess(now time.Time, took, median time.Duration, running *attempt) {
	s.updateBaseline(took, running.alone)
	typical := max(s.Latency, median)
	switch {
	case typical > 0 && took > latencyJumpFactor*typical:
		s.halveAllowance()
	case running.atLimit && took <= quickAnswerFactor*s.BaselineLatency:
		s.Allowance = math.Min(s.Allowance+allowanceGrowth, float64(max(s.Slots, coldAllowance)))
	case running.atLimit && s.Ramping && took > slowAnswerFactor*s.BaselineLatency:
		s.Allowance = math.Max(s.Allowance-allowanceGrowth, coldAllowance)
	}
	s.Ramping = s.Ramping && s.Allowance < float64(s.Slots)
	s.Errors, s.Ejections = 0, 0
	s.updateLatency(now, took)
}

// updateBaseline follows the quickest answers down at once and up slowly. An answer
// under load says little of how quick the backend server could be.
func (s *Server) updateBaseline(took time.Duration, alone bool) {
	weight := loadedBaselineWeight
	if alone {
		weight = baselineWeight
	}
	if s.BaselineLatency == 0 || took < s.BaselineLatency {
		s.BaselineLatency = took

		return
	}
	s.BaselineLatency += time.Duration(weight * float64(took-s.BaselineLatency))
}

// recordFailure notes an error, which counts as a slow answer however fast it came.
func (s *Server) recordFailure(now time.Time, took, median time.Duration) {
	s.halveAllowance()
	s.Ramping = true
	s.Errors++
	s.updateLatency(now, max(took, errorLatencyFactor*median, s.Latency))
}

// halveAllowance halves the allowance.
func (s *Server) halveAllowance() {
	s.Allowance = math.Max(s.Allowance/2, coldAllowance)
}

// eject keeps work away for a bounded time. The backend server is cold then.
func (s *Server) eject(now time.Time) {
	s.EjectedUntil = now.Add(min(baseEjection<<min(s.Ejections, 5), maxEjection))
	s.Ejections++
	s.Errors = 0
	s.Allowance = coldAllowance
}

// updateLatency mixes a new latency into the smoothed one, with the more weight the
// longer the smoothed one was not confirmed.
func (s *Server) updateLatency(now time.Time, took time.Duration) {
	weight := 1 - (1-latencyWeight)*s.confidence(now)
	s.Latency += time.Duration(weight * float64(took-s.Latency))
	s.ObservedAt = now
}

// confidence returns the weight of the smoothed latency, which falls from 1 to 0
// with its age.
func (s *Server) confidence(now time.Time) float64 {
	age := max(now.Sub(s.ObservedAt), 0)

	return math.Exp(-age.Seconds() / latencyTimeConstant.Seconds())
}
