package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Seek asks the owner of another cell for room. The answer is a RoomFound.
type Seek struct {
	// For is the cell in which calls wait.
	For caller.Cell
	// Of is the other cell with its owner.
	Of caller.Neighbour
}

// RoomAsked asks how many calls a cell of this host takes from another cell.
type RoomAsked struct {
	// Cell names the cell.
	Cell caller.Cell
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.Room]
}

// RoomFound says that the cell of another host can take calls that wait.
type RoomFound struct {
	// Cell is the cell in which the calls wait.
	Cell caller.Cell
	// Room is the other cell with its owner.
	Room backend.Room
}

func (RoomAsked) input()   {}
func (RoomFound) input()   {}
func (RoomAsked) control() {}
func (RoomFound) control() {}

// seek asks for room in the other cells of the service. A question that finds
// the ring full is dropped: the cell asks again while calls wait.
func (d *Duty) seek(now time.Time, cell caller.Cell) {
	for _, neighbour := range d.Router.Neighbours(cell) {
		if neighbour.Host.Name != d.Router.Self {
			if d.Seeks != nil {
				_ = d.Seeks.Offer(Seek{For: cell, Of: neighbour})
			}

			continue
		}
		if free := d.Pool.Room(now, neighbour.Cell); free > 0 {
			room := backend.Room{Cell: neighbour.Cell, Free: free}
			d.backend(now, backend.RoomFound{Cell: cell, Room: room})
		}
	}
}

// move gives a waiting call to another cell.
func (d *Duty) move(now time.Time, action backend.MoveCall) {
	d.Metrics.Moved(action.Call.Service)
	if action.Room.Address == "" {
		d.backend(now, backend.CallPlaced{Call: action.Call, Cell: action.Room.Cell})

		return
	}
	d.forward(caller.ForwardCall{Call: action.Call, Address: action.Room.Address})
}
