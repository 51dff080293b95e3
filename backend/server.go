package backend

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

const (
	// coldAllowance is the allowance of a cold backend server.
	coldAllowance = 1
	// allowanceGrowth is the increase of the allowance per quick answer to an
	// attempt that started at the limit.
	allowanceGrowth = 0.125
	// quickAnswerFactor is the multiple of the baseline latency up to which an
	// answer is quick.
	quickAnswerFactor = 2
	// slowAnswerFactor is the multiple of the baseline latency above which an
	// answer to an attempt at the limit lowers the allowance by allowanceGrowth
	// during the ramp.
	slowAnswerFactor = 3
	// baselineWeight is the weight of a slower answer in the baseline latency if
	// the attempt started alone on the backend server.
	baselineWeight = 0.002
	// loadedBaselineWeight is the weight of a slower answer in the baseline
	// latency if the attempt started beside others.
	loadedBaselineWeight = 0.0002
	// latencyWeight is the weight of the newest answer in the smoothed latency.
	latencyWeight = 0.2
	// latencyTimeConstant is the time in which the expected latency decays to 37%
	// without new observations, so that a slow backend server is tried again.
	latencyTimeConstant = time.Second
	// latencyJumpFactor is the multiple of the usual latency above which an answer
	// indicates a cold or overloaded backend server.
	latencyJumpFactor = 8
	// errorLatencyFactor is the multiple of the cell's median latency that an
	// error counts as at least.
	errorLatencyFactor = 10
	// ejectAfter is the number of consecutive errors that eject a backend server.
	ejectAfter = 3
	// baseEjection is the duration of the first ejection. It doubles with each
	// further ejection until a successful answer.
	baseEjection = time.Second
	// maxEjection is the maximum duration of an ejection.
	maxEjection = 30 * time.Second
)

// Server is the state of one backend server in a pool.
type Server struct {
	Declared
	// Cell is the cell of the backend server.
	Cell caller.Cell
	// Owned reports whether the current configuration declares the backend server
	// in a cell that this host owns.
	Owned bool
	// InFlight is the number of attempts of this host in flight on the backend
	// server.
	InFlight int
	// Allowance is the number of attempts in flight that the cold-start ramp
	// permits.
	Allowance float64
	// Ramping reports whether the allowance has not reached the number of slots
	// since the backend server was last cold or failed.
	Ramping bool
	// Latency is the smoothed duration of attempts.
	Latency time.Duration
	// BaselineLatency is the duration of the quickest recent answers.
	BaselineLatency time.Duration
	// ObservedAt is the time of the last update of Latency.
	ObservedAt time.Time
	// EjectedUntil is the end of the current or last ejection.
	EjectedUntil time.Time
	// Errors is the number of errors since the last successful answer or ejection.
	Errors int
	// Ejections is the number of ejections since the last successful answer.
	Ejections int
	// Probes is the probe budget of the backend server.
	Probes ProbeBudget

	running []*attempt
}

// NewServer returns the state of a cold backend server.
func NewServer(address string) *Server {
	return &Server{Declared: Declared{Address: address}, Allowance: coldAllowance, Ramping: true}
}

// declare applies the declared state. A backend server that returns is cold.
func (s *Server) declare(cell caller.Cell, declared Declared) {
	if !s.Owned || s.Leaving && !declared.Leaving {
		s.Allowance, s.Ramping = coldAllowance, true
		s.Latency, s.BaselineLatency, s.ObservedAt = 0, 0, time.Time{}
		s.EjectedUntil, s.Errors, s.Ejections = time.Time{}, 0, 0
	}
	s.Cell, s.Declared, s.Owned = cell, declared, true
}

// Limit returns the maximum number of attempts in flight.
func (s *Server) Limit() int {
	return min(s.Slots, int(s.Allowance))
}

// Serving reports whether the configuration permits new work.
func (s *Server) Serving() bool {
	return s.Owned && !s.Leaving && s.Slots > 0
}

// Ejected reports whether the backend server is ejected.
func (s *Server) Ejected(now time.Time) bool {
	return now.Before(s.EjectedUntil)
}

// Usable reports whether the backend server may receive work once a slot is
// free.
func (s *Server) Usable(now time.Time) bool {
	return s.Serving() && !s.Ejected(now)
}

// Free reports whether another attempt may start now.
func (s *Server) Free(now time.Time) bool {
	return s.InFlight < s.Limit() && s.Usable(now)
}

// Expected returns the expected latency of the next attempt. The smoothed
// latency decays with its age; the age of the oldest attempt in flight is a
// lower bound.
func (s *Server) Expected(now time.Time) time.Duration {
	expected := time.Duration(float64(s.Latency) * s.confidence(now))
	if len(s.running) > 0 {
		expected = max(expected, now.Sub(s.running[0].started))
	}

	return expected
}

// begin adds an attempt to those in flight.
func (s *Server) begin(running *attempt) {
	s.InFlight++
	running.atLimit = s.InFlight >= s.Limit()
	running.alone = s.InFlight == 1
	s.running = append(s.running, running)
}

// finish removes an attempt from those in flight.
func (s *Server) finish(running *attempt) {
	s.InFlight--
	s.running = slices.DeleteFunc(s.running, func(other *attempt) bool { return other == running })
}

// observe updates latency, allowance and error counts by the result of an
// attempt. The median is the cell's median latency.
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

// recordSuccess processes a successful answer. The allowance grows only by a
// quick answer to an attempt that started at the limit, because other answers
// do not show that the backend server can take that load: below its capacity, a
// cold backend server is as quick as a warm one.
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

// updateBaseline lowers the baseline latency at once and raises it slowly. An
// answer under load has less weight, since it indicates little about the
// latency of an idle backend server.
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

// recordFailure processes an error. It counts as a slow answer regardless of
// its duration, so that a backend server does not attract load by failing fast.
func (s *Server) recordFailure(now time.Time, took, median time.Duration) {
	s.halveAllowance()
	s.Ramping = true
	s.Errors++
	s.updateLatency(now, max(took, errorLatencyFactor*median, s.Latency))
}

// halveAllowance halves the allowance, down to that of a cold backend server.
func (s *Server) halveAllowance() {
	s.Allowance = math.Max(s.Allowance/2, coldAllowance)
}

// eject excludes the backend server from new work for a bounded time. The
// backend server is cold afterwards.
func (s *Server) eject(now time.Time) {
	s.EjectedUntil = now.Add(min(baseEjection<<min(s.Ejections, 5), maxEjection))
	s.Ejections++
	s.Errors = 0
	s.Allowance = coldAllowance
}

// updateLatency adds an observation to the smoothed latency. The weight of the
// observation increases with the age of the smoothed latency.
func (s *Server) updateLatency(now time.Time, took time.Duration) {
	weight := 1 - (1-latencyWeight)*s.confidence(now)
	s.Latency += time.Duration(weight * float64(took-s.Latency))
	s.ObservedAt = now
}

// confidence returns the weight of the smoothed latency, which decays
// exponentially from 1 to 0 with its age.
func (s *Server) confidence(now time.Time) float64 {
	age := max(now.Sub(s.ObservedAt), 0)

	return math.Exp(-age.Seconds() / latencyTimeConstant.Seconds())
}
