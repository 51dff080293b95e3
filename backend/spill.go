package backend

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

const (
	// spillWait is the expected wait for a slot above which calls are moved to
	// other cells. It is worth the further hop to another data centre.
	spillWait = 2 * time.Millisecond
	// minSpillInterval is the shortest time between two searches for room by one cell.
	minSpillInterval = 10 * time.Millisecond
	// spillDivisor is the divisor of a cell's free slots that one other cell is
	// offered, so that cells which search together do not fill it up.
	spillDivisor = 2
)

// Room returns the number of calls that the cell offers to take from another
// cell. A cell in which calls wait, or that this host does not own, offers none.
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

// seekRoom searches for room in other cells if calls wait here for too long.
func (p *Pool) seekRoom(now time.Time, cell *CellState) {
	if p.Options.WithoutSpill || cell.Queue.fresh == 0 || now.Sub(cell.lastRoomSearch) < minSpillInterval || !cell.waitTooLong(now) {
		return
	}
	cell.lastRoomSearch = now
	p.actions = append(p.actions, SeekRoom{Cell: cell.Cell})
}

// waitTooLong reports whether the newest waiting call expects to wait for too long.
// A cell whose backend servers are all ejected is crowded.
func (c *CellState) waitTooLong(now time.Time) bool {
	slots := c.Slots(now)
	if slots == 0 {
		return true
	}
	c.Latency.Refresh(now)

	return time.Duration(c.Queue.fresh)*c.Latency.Mean/time.Duration(slots) > spillWait
}

// moveWaitingCalls moves waiting calls to a cell that has room. Calls that another host
// forwarded stay, so that no call is moved twice.
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

// move takes a call out of the pool.
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
