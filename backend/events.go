package backend

import "github.com/baobabdrum/baobabdrum/caller"

// Event is an input of the pool: CallPlaced, CallCancelled, AttemptAnswering,
// AttemptEnded, CellsChanged, SharesChanged, ProbeEnded, RoomFound or Ticked.
//
//sumtype:decl
type Event interface{ event() }

// CallPlaced places a call in a cell of this host.
type CallPlaced struct {
	// Call is the call to run.
	Call caller.Call
	// Cell is the cell whose backend servers run the call.
	Cell caller.Cell
}

// CallCancelled reports that the caller cancelled the call or disconnected.
type CallCancelled struct {
	// Call identifies the call.
	Call caller.CallID
}

// AttemptAnswering reports that the head of an answer arrived whose body is too
// large to be buffered.
type AttemptAnswering struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
}

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	// Attempt identifies the attempt.
	Attempt AttemptID
	// Result is the result of the attempt.
	Result Result
}

// CellsChanged replaces the cells that this host owns.
type CellsChanged struct {
	// Cells are all cells that this host owns, with their backend servers.
	Cells map[caller.Cell][]Declared
}

// Declared is a backend server as declared in the configuration.
type Declared struct {
	// Address is the ip:port of the backend server. It is unique.
	Address string
	// Slots is the maximum number of concurrent calls.
	Slots int
	// Leaving excludes the backend server from new work.
	Leaving bool
	// ProbeRateMilli is the agreed number of probes in 1000 s from all hosts
	// together.
	ProbeRateMilli int
}

// SharesChanged changes the number of hosts' shares of the probe budget that
// this host may spend on its cells.
type SharesChanged struct {
	// Held is the number of shares, including this host's own.
	Held int
}

// ProbeEnded reports the result of a probe.
type ProbeEnded struct {
	// Address is the backend server's ip:port.
	Address string
	// Healthy reports whether the backend server answered successfully in time.
	Healthy bool
}

// Room is the spare capacity of another cell of the same service.
type Room struct {
	// Cell is the other cell.
	Cell caller.Cell
	// Address is the client-visible address of the cell's owner, or empty if this
	// host owns the cell.
	Address string
	// Free is the number of calls that the cell accepts now.
	Free int
}

// RoomFound reports spare capacity for waiting calls.
type RoomFound struct {
	// Cell is the cell in which the calls wait.
	Cell caller.Cell
	// Room is the spare capacity of the other cell.
	Room Room
}

// Ticked reports that time has passed. Timers and probes run on this event.
type Ticked struct{}

func (CallPlaced) event()       {}
func (CallCancelled) event()    {}
func (AttemptAnswering) event() {}
func (AttemptEnded) event()     {}
func (CellsChanged) event()     {}
func (SharesChanged) event()    {}
func (ProbeEnded) event()       {}
func (RoomFound) event()        {}
func (Ticked) event()           {}
