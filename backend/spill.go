package backend

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

const (
	// spillWait is the expected wait for a slot above which calls are moved to
	// other cells. A longer wait outweighs the extra hop to another data centre.
	spillWait = 2 * time.Millisecond
	// minSpillInterval is the minimum time between two SeekRoom actions of a cell.
	minSpillInterval = 10 * time.Millisecond
	// spillDivisor divides the free slots of a cell to give the number that is
	// offered to one other cell, so that several cells that query at the same time
	// do not use all of its slots.
	spillDivisor = 2
)

// Room returns the number of calls that the cell accepts from another cell. It
// is 0 for a cell with waiting calls and for one that this host does not own.
func (p *Pool) Room(now time.Time, cell caller.Cell) int {
	state, owned := p.Cells[cell]
	if !owned || state.Queue.Len() > 0 {
		return 0
	}
	free := 0
	for _, server := range state.Servers {
		if server.Usable(now) {
			free += max(0, server.Limit()-server.InFlight)
		}
	}

	return free / spillDivisor
}

// seekRoom queries other cells for spare capacity if the expected wait in this
// cell is too long.
func (p *Pool) seekRoom(now time.Time, cell *CellState) {
	if p.Options.WithoutSpill || cell.Queue.untried == 0 || now.Sub(cell.lastRoomSearch) < minSpillInterval || !cell.waitTooLong(now) {
		return
	}
	cell.lastRoomSearch = now
	p.actions = append(p.actions, SeekRoom{Cell: cell.Cell})
}

// waitTooLong reports whether the expected wait of the newest waiting call
// exceeds spillWait. It is true if no backend server is usable.
func (c *CellState) waitTooLong(now time.Time) bool {
	slots := c.Slots(now)
	if slots == 0 {
		return true
	}
	c.Latency.Refresh(now)

	return time.Duration(c.Queue.untried)*c.Latency.Mean/time.Duration(slots) > spillWait
}

// moveWaitingCalls moves waiting calls to a cell with spare capacity. Calls
// that were forwarded by another host or moved before stay, so that no call is
// moved twice.
func (p *Pool) moveWaitingCalls(now time.Time, event RoomFound) {
	cell, owned := p.Cells[event.Cell]
	if !owned {
		return
	}
	remaining := event.Room.Free
	for _, placed := range cell.Queue.All() {
		if remaining == 0 || !cell.waitTooLong(now) {
			return
		}
		if placed.retried || placed.call.Hops > 0 || placed.call.Moved {
			continue
		}
		remaining--
		p.move(placed, event.Room)
	}
}

// move removes an untried call from the pool and hands it to another cell.
func (p *Pool) move(placed *placedCall, room Room) {
	if placed.mayHaveRun || len(placed.tried) > 0 {
		p.violatedf("moved_before_start", "call %d was tried before it was moved", placed.call.ID)
	}
	delete(p.calls, placed.call.ID)
	p.timers.remove(placed)
	p.Cells[placed.cell].Queue.Remove(placed)
	moved := placed.call
	moved.Moved = true
	p.actions = append(p.actions, MoveCall{Call: moved, Room: room})
}
