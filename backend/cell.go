package backend

import (
	"slices"

	"github.com/baobabdrum/baobabdrum/caller"
)

// CellState is the queue and the backend servers of a cell that this host owns.
type CellState struct {
	// Cell names the cell.
	Cell caller.Cell
	// Servers are sorted by address.
	Servers []*Server
	// Queue holds the calls that wait, the oldest first.
	Queue []caller.CallID
}

// declare replaces the backend servers and keeps what is known of those that
// stay.
func (c *CellState) declare(declared []Declared) {
	known := map[string]*Server{}
	for _, server := range c.Servers {
		known[server.Address] = server
	}
	c.Servers = c.Servers[:0]
	for _, entry := range declared {
		server, ok := known[entry.Address]
		if !ok {
			server = NewServer(entry)
		}
		server.Declared = entry
		c.Servers = append(c.Servers, server)
	}
}

// choose returns the free backend server with the lowest latency, or nil.
func (c *CellState) choose(tried []string) *Server {
	var best *Server
	for _, server := range c.Servers {
		if !server.Free() || slices.Contains(tried, server.Address) {
			continue
		}
		if best == nil || server.Latency < best.Latency {
			best = server
		}
	}

	return best
}
