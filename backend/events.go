package backend

import "github.com/baobabdrum/baobabdrum/caller"

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
	// Address is its ip:port, which no other backend server has.
	Address string
	// Slots is the number of calls that it runs at once.
	Slots int
	// Leaving excludes it from new work.
	Leaving bool
	// ProbeRateMilli is the agreed number of probes in 1000 s from all hosts
	// together.
	ProbeRateMilli int
}

// SharesChanged says how many hosts' shares of the probe budget this host may
// spend on its cells, its own among them.
type SharesChanged struct {
	// Held is the number of shares.
	Held int
}

// ProbeEnded says how a probe ended.
type ProbeEnded struct {
	// Address is the backend server's ip:port.
	Address string
	// Healthy says that the backend server answered well in time.
	Healthy bool
}

// Room is a cell of the same service that can take calls.
type Room struct {
	// Cell names the cell.
	Cell caller.Cell
	// Address is its owner's ip:port for callers, or empty if this host owns it.
	Address string
	// Free is the number of calls that it takes now.
	Free int
}

// RoomFound says that another cell can take calls that wait.
type RoomFound struct {
	// Cell is the cell in which the calls wait.
	Cell caller.Cell
	// Room is the other cell.
	Room Room
}

// Ticked says that time passed.
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
