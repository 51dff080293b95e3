package backend

import (
	"math"
	"time"
)

const (
	// coldAllowance is the allowance of a backend server without answers.
	coldAllowance = 1
	// allowanceGrowth is added to the allowance by a good answer.
	allowanceGrowth = 0.5
	// latencyWeight is the share of the newest answer in the smoothed latency.
	latencyWeight = 0.2
)

// Server is what a cell knows about one backend server.
type Server struct {
	Declared
	// InFlight is the number of attempts that this host runs on it.
	InFlight int
	// Allowance is the number of attempts that the cold-start ramp permits.
	Allowance float64
	// Latency is the smoothed duration of attempts.
	Latency time.Duration
}

// NewServer returns a backend server that is treated as cold.
func NewServer(declared Declared) *Server {
	return &Server{Declared: declared, Allowance: coldAllowance}
}

// Limit returns the number of attempts that may be in flight.
func (s *Server) Limit() int {
	return min(s.Slots, int(s.Allowance))
}

// Free reports whether another attempt may start.
func (s *Server) Free() bool {
	return !s.Leaving && s.InFlight < s.Limit()
}

// observe updates latency and allowance by an attempt that took the given time.
func (s *Server) observe(result Result, took time.Duration) {
	switch result.(type) {
	case Whole:
		s.smooth(took)
		s.Allowance = math.Min(s.Allowance+allowanceGrowth, float64(s.Slots))
	case Shed, Unsent, Cut, TimedOut:
		s.Allowance = math.Max(s.Allowance/2, coldAllowance)
	case Cancelled:
	}
}

// smooth mixes a new latency into the smoothed one.
func (s *Server) smooth(took time.Duration) {
	if s.Latency == 0 {
		s.Latency = took

		return
	}
	s.Latency += time.Duration(latencyWeight * float64(took-s.Latency))
}
