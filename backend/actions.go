package backend

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// Action is an instruction of the pool to the code that drives it:
// StartAttempt, CancelAttempt, DeliverAnswer, EndCall, StartProbe, SeekRoom,
// MoveCall or Violation.
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
	// Deadline is the time by which the attempt must end.
	Deadline time.Time
	// Hedge reports whether another attempt of the call is in flight.
	Hedge bool
}

// CancelAttempt cancels an attempt. An AttemptEnded must still follow.
type CancelAttempt struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
}

// DeliverAnswer starts to stream the large answer of an attempt to the caller.
// EndCall follows when the attempt ends.
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
	// Attempt identifies the attempt whose answer the caller receives, or is 0.
	Attempt AttemptID
	// Outcome is the outcome of the call.
	Outcome caller.Outcome
}

// StartProbe starts a health probe of a backend server. A ProbeEnded must
// follow.
type StartProbe struct {
	// Address is the backend server's ip:port.
	Address string
	// Timeout bounds the duration of the probe.
	Timeout time.Duration
}

// SeekRoom queries the other cells of the service for spare capacity for
// waiting calls. Each positive reply is a RoomFound event.
type SeekRoom struct {
	// Cell is the cell in which the calls wait.
	Cell caller.Cell
}

// MoveCall moves a call that was never started to another cell. It is the last
// action for the call in this cell.
type MoveCall struct {
	// Call is the call with Moved set.
	Call caller.Call
	// Room is the target cell with its owner.
	Room Room
}

// Violation reports a broken invariant.
type Violation struct {
	// Violation holds the invariant and the observed state.
	caller.Violation
}

func (StartAttempt) action()  {}
func (CancelAttempt) action() {}
func (DeliverAnswer) action() {}
func (EndCall) action()       {}
func (StartProbe) action()    {}
func (SeekRoom) action()      {}
func (MoveCall) action()      {}
func (Violation) action()     {}
