// Package backend schedules calls on backend servers. It selects the server and
// the start time of each attempt and decides about retries, hedges, probes and
// outlier ejection. Each cell has one bounded queue and an exact count of the
// attempts in flight on its backend servers. Pool.Step takes an event and the
// time and returns actions; the package uses no clock, sockets, goroutines or
// locks. Package backendhttp holds the encoding. Change this package to change
// the choice of backend servers, limits, retries and the cold-start ramp.
package backend

import "github.com/baobabdrum/baobabdrum/caller"

// AttemptID identifies an attempt to run a call. It is unique within a process.
type AttemptID uint64

// Result is the result of an attempt: Whole, Shed, Unsent, Cut, TimedOut or
// Cancelled.
//
//sumtype:decl
type Result interface{ result() }

// Whole is the result of an attempt whose complete answer was received.
type Whole struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Shed is the result of an attempt that the backend server rejected without
// running the call.
type Shed struct{}

// Unsent is the result of an attempt of which this host sent no byte.
type Unsent struct {
	// Cause is the underlying error.
	Cause error
	// Local reports whether the failure was caused by this host alone.
	Local bool
}

// Cut is the result of an attempt that was sent but whose answer is missing or
// incomplete.
type Cut struct {
	// Cause is the underlying error.
	Cause error
}

// TimedOut is the result of an attempt that was sent and reached its deadline.
type TimedOut struct{}

// Cancelled is the result of an attempt that this host cancelled after the call
// was sent.
type Cancelled struct{}

func (Whole) result()     {}
func (Shed) result()      {}
func (Unsent) result()    {}
func (Cut) result()       {}
func (TimedOut) result()  {}
func (Cancelled) result() {}

// OutcomeOf returns the outcome of a call whose only attempt had the result.
func OutcomeOf(result Result) caller.Outcome {
	switch result.(type) {
	case Whole:
		return caller.Answered{}
	case Shed:
		return caller.NotRun{Reason: caller.ReasonShed}
	case Unsent:
		return caller.NotRun{Reason: caller.ReasonUnreachable}
	case Cut:
		return caller.Unknown{Reason: caller.ReasonCut}
	case TimedOut:
		return caller.Unknown{Reason: caller.ReasonDeadline}
	case Cancelled:
		return caller.Unknown{Reason: caller.ReasonCancelled}
	}

	return caller.Unknown{}
}
