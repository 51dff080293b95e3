package backend

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// ejectedDivisor is the divisor of the number of backend servers of a cell that
// may be ejected at once: a third. One of two or three may be ejected, and the
// only one never.
const ejectedDivisor = 3

// CellState is the queue and the backend servers of a cell that this host owns.
type CellState struct {
	// Cell names the cell.
	Cell caller.Cell
	// Servers are in the order of the configuration.
	Servers []*Server
	// Queue holds the calls that wait.
	Queue *Queue
	// Latency summarises recent answers.
	Latency *Latency
	// Budget bounds hedges and retries.
	Budget *Budget

	roundRobin     int
	lastRoomSearch time.Time
}

// NewCellState returns a cell without backend servers.
func NewCellState(now time.Time, cell caller.Cell, options Options) *CellState {
	return &CellState{
		Cell:    cell,
		Queue:   NewQueue(options.QueueLength, options.Discipline),
		Latency: NewLatency(),
		Budget:  NewBudget(now),
	}
}

// Serving reports whether any backend server may receive work.
func (c *CellState) Serving() bool {
	return slices.ContainsFunc(c.Servers, (*Server).Serving)
}

// Slots returns the number of slots that may receive work.
func (c *CellState) Slots(now time.Time) int {
	slots := 0
	for _, server := range c.Servers {
		if server.Usable(now) {
			slots += server.Slots
		}
	}

	return slots
}

// free returns the backend servers that may start an attempt of a call that was
// tried on the given addresses.
func (c *CellState) free(now time.Time, tried []string) []*Server {
	free := make([]*Server, 0, len(c.Servers))
	for _, server := range c.Servers {
		if server.Free(now) && !slices.Contains(tried, server.Address) {
			free = append(free, server)
		}
	}

	return free
}

// untried reports whether a backend server is left for a call that was tried on
// the given addresses.
func (c *CellState) untried(now time.Time, tried []string) bool {
	return slices.ContainsFunc(c.Servers, func(server *Server) bool {
		return server.Usable(now) && !slices.Contains(tried, server.Address)
	})
}

// wait estimates how long a waiting call waits for a slot, while attempts of the
// mean duration end on all slots. It is 0 while too little is known.
func (c *CellState) wait(now time.Time, placed *placedCall) time.Duration {
	c.Latency.Refresh(now)
	slots := c.Slots(now)
	if slots == 0 {
		return 0
	}

	return time.Duration(c.Queue.Ahead(placed)+1) * c.Latency.Mean / time.Duration(slots)
}

// ejectFailing ejects a backend server after errors in a row, within the share.
func (c *CellState) ejectFailing(now time.Time, server *Server) {
	if server.Errors < ejectAfter || !server.Usable(now) || !c.mayEject(now) {
		return
	}
	server.eject(now)
}

// mayEject reports whether one more backend server may be ejected.
func (c *CellState) mayEject(now time.Time) bool {
	serving, ejected := 0, 0
	for _, server := range c.Servers {
		if !server.Serving() {
			continue
		}
		serving++
		if server.Ejected(now) {
			ejected++
		}
	}

	return ejected < ejectable(serving)
}

// ejectable returns how many of the given number of backend servers may be
// ejected at once.
func ejectable(serving int) int {
	if serving < 2 {
		return 0
	}

	return max(1, serving/ejectedDivisor)
}

// readmit ends ejections, the earliest to end first, until the share is kept.
func (c *CellState) readmit(now time.Time) {
	var ejected []*Server
	serving := 0
	for _, server := range c.Servers {
		if server.Serving() {
			serving++
		}
		if server.Serving() && server.Ejected(now) {
			ejected = append(ejected, server)
		}
	}
	slices.SortStableFunc(ejected, func(a, b *Server) int { return a.EjectedUntil.Compare(b.EjectedUntil) })
	for _, server := range ejected[:max(0, len(ejected)-ejectable(serving))] {
		server.EjectedUntil = now
	}
}
