package backend

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

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
	// Hedge says that another attempt of the call is running.
	Hedge bool
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

// StartProbe asks a backend server for its health. It ends with a ProbeEnded.
type StartProbe struct {
	// Address is the backend server's ip:port.
	Address string
	// Timeout bounds the probe.
	Timeout time.Duration
}

// SeekRoom asks whether other cells of the service have room for calls that
// wait. Each answer is a RoomFound.
type SeekRoom struct {
	// Cell is the cell in which the calls wait.
	Cell caller.Cell
}

// MoveCall takes a call that never started out of the pool and gives it to
// another cell. It is the last action for the call in this cell.
type MoveCall struct {
	// Call is the call.
	Call caller.Call
	// Room is the cell and its owner.
	Room Room
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
func (StartProbe) action()    {}
func (SeekRoom) action()      {}
func (MoveCall) action()      {}
func (Violation) action()     {}
