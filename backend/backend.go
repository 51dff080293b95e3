// Package backend decides which backend server runs a call, when, and how often
// it is tried. Each cell has one bounded queue and knows its backend servers'
// work in flight exactly. It holds no clock, socket, goroutine or lock: events
// go in, actions come out. Encoding lives in package backendhttp. Change this
// package to change placement, limits, retries and the cold-start ramp.
package backend

import "github.com/baobabdrum/baobabdrum/caller"

// AttemptID identifies one attempt to run a call within one process.
type AttemptID uint64

// Result is how an attempt ended: Whole, Shed, Unsent, Cut, TimedOut or
// Cancelled.
//
//sumtype:decl
type Result interface{ result() }

// Whole says that the whole answer arrived.
type Whole struct {
	// Status is the answer's HTTP status.
	Status int
}

// Shed says that the backend server refused the call without running it.
type Shed struct{}

// Unsent says that no byte of the call left this host.
type Unsent struct {
	// Cause says why.
	Cause error
	// Local says that the backend server had no part in it.
	Local bool
}

// Cut says that the call left and no whole answer arrived.
type Cut struct {
	// Cause says why.
	Cause error
}

// TimedOut says that the call left and its deadline passed.
type TimedOut struct{}

// Cancelled says that this host gave up the attempt after the call left.
type Cancelled struct{}

func (Whole) result()     {}
func (Shed) result()      {}
func (Unsent) result()    {}
func (Cut) result()       {}
func (TimedOut) result()  {}
func (Cancelled) result() {}

// OutcomeOf returns the outcome of a call whose only attempt ended so.
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
