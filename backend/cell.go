package backend

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// ejectedDivisor limits the backend servers of a cell that are ejected at once
// to a third. One of two or three may be ejected, but never the only one.
const ejectedDivisor = 3

// CellState is the state of a cell that this host owns.
type CellState struct {
	// Cell identifies the cell.
	Cell caller.Cell
	// Servers are the backend servers in the order of the configuration.
	Servers []*Server
	// Queue holds the waiting calls.
	Queue *Queue
	// Latency summarises the durations of recent successful calls.
	Latency *Latency
	// Budget limits hedges and retries.
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

// Slots returns the number of slots on usable backend servers.
func (c *CellState) Slots(now time.Time) int {
	slots := 0
	for _, server := range c.Servers {
		if server.Usable(now) {
			slots += server.Slots
		}
	}

	return slots
}

// free returns the backend servers with a free slot, except those with a tried
// address.
func (c *CellState) free(now time.Time, tried []string) []*Server {
	free := make([]*Server, 0, len(c.Servers))
	for _, server := range c.Servers {
		if server.Free(now) && !slices.Contains(tried, server.Address) {
			free = append(free, server)
		}
	}

	return free
}

// untried reports whether any usable backend server has none of the tried
// addresses.
func (c *CellState) untried(now time.Time, tried []string) bool {
	return slices.ContainsFunc(c.Servers, func(server *Server) bool {
		return server.Usable(now) && !slices.Contains(tried, server.Address)
	})
}

// wait estimates the time until a waiting call gets a slot, assuming that all
// slots are busy with attempts of the mean duration. It is 0 while no estimate
// is available.
func (c *CellState) wait(now time.Time, placed *placedCall) time.Duration {
	c.Latency.Refresh(now)
	slots := c.Slots(now)
	if slots == 0 {
		return 0
	}

	return time.Duration(c.Queue.Ahead(placed)+1) * c.Latency.Mean / time.Duration(slots)
}

// ejectFailing ejects a backend server after consecutive errors unless too many
// are ejected already.
func (c *CellState) ejectFailing(now time.Time, server *Server) {
	if server.Errors < ejectAfter || !server.Usable(now) || !c.mayEject(now) {
		return
	}
	server.eject(now)
}

// mayEject reports whether another backend server may be ejected.
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

// ejectable returns the maximum number of backend servers that may be ejected
// at once.
func ejectable(serving int) int {
	if serving < 2 {
		return 0
	}

	return max(1, serving/ejectedDivisor)
}

// readmit ends the ejections that expire first until no more than the permitted
// number is left.
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
