// Package backend decides which backend server runs a call, when, and how often
// it is tried. Each cell has one bounded queue and knows its backend servers'
// work in flight exactly. It holds no clock, socket, goroutine or lock: events
// go in, actions come out. Encoding lives in package backendhttp. Change this
// package to change placement, limits, retries and the cold-start ramp.
package backend

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

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

// Event is what the pool reacts to.
//
//sumtype:decl
type Event interface{ event() }

// CallPlaced says that a call belongs to a cell of this host.
type CallPlaced struct {
	// Call is the call.
	Call caller.Call
	// Cell is the cell.
	Cell caller.Cell
}

// CallCancelled says that the caller went away.
type CallCancelled struct {
	// Call identifies the call.
	Call caller.CallID
}

// AttemptAnswering says that the head of an answer arrived and its body is too
// large to wait for.
type AttemptAnswering struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
	// Result says how.
	Result Result
}

// CellsChanged says which cells this host owns and which backend servers they
// have.
type CellsChanged struct {
	// Cells are all cells that this host owns.
	Cells map[caller.Cell][]Declared
}

// Declared is a backend server as the configuration declares it.
type Declared struct {
	// Address is its ip:port.
	Address string
	// Slots is the number of calls that it runs at once.
	Slots int
	// Leaving excludes it from new work.
	Leaving bool
}

// SharesChanged says how many hosts' shares of the probe budget this host may
// spend on its cells, its own among them.
type SharesChanged struct {
	// Held is the number of shares.
	Held int
}

// Ticked says that time passed.
type Ticked struct{}

func (CallPlaced) event()       {}
func (CallCancelled) event()    {}
func (AttemptAnswering) event() {}
func (AttemptEnded) event()     {}
func (CellsChanged) event()     {}
func (SharesChanged) event()    {}
func (Ticked) event()           {}

// Action is what the pool wants done.
//
//sumtype:decl
type Action interface{ action() }

// StartAttempt sends a call to a backend server.
type StartAttempt struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
	// Call identifies the call.
	Call caller.CallID
	// Address is the backend server's ip:port.
	Address string
	// Deadline is when the attempt must have ended.
	Deadline time.Time
}

// CancelAttempt gives up an attempt, which still ends with an AttemptEnded.
type CancelAttempt struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
}

// DeliverAnswer starts to give an attempt's large answer to the caller. EndCall
// follows when the attempt ends.
type DeliverAnswer struct {
	// Call identifies the call.
	Call caller.CallID
	// Attempt identifies the attempt.
	Attempt AttemptID
}

// EndCall ends a call. It is the last action for the call.
type EndCall struct {
	// Call identifies the call.
	Call caller.CallID
	// Attempt identifies the attempt that answered, or is 0.
	Attempt AttemptID
	// Outcome says how the call ended.
	Outcome caller.Outcome
}

// Violation reports a broken invariant.
type Violation struct {
	// Violation names the invariant.
	caller.Violation
}

func (StartAttempt) action()  {}
func (CancelAttempt) action() {}
func (DeliverAnswer) action() {}
func (EndCall) action()       {}
func (Violation) action()     {}
