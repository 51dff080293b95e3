package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// SeekRoom asks the owner of another cell for room. The answer is a RoomFound.
type SeekRoom struct {
	// WaitingCell is the cell in which calls wait.
	WaitingCell caller.Cell
	// Neighbour is the other cell with its owner.
	Neighbour caller.Neighbour
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

// seekRoom asks for room in the other cells of the service. A question that finds
// the ring full is dropped: the cell asks again while calls wait.
func (d *Duty) seekRoom(now time.Time, cell caller.Cell) {
	for _, neighbour := range d.Router.Neighbours(cell) {
		if neighbour.Host.Name != d.Router.Self {
			if d.Seeks != nil {
				_ = d.Seeks.Offer(SeekRoom{WaitingCell: cell, Neighbour: neighbour})
			}

			continue
		}
		if free := d.Pool.Room(now, neighbour.Cell); free > 0 {
			room := backend.Room{Cell: neighbour.Cell, Free: free}
			d.stepPool(now, backend.RoomFound{Cell: cell, Room: room})
		}
	}
}

// move gives a waiting call to another cell.
func (d *Duty) move(now time.Time, action backend.MoveCall) {
	d.Metrics.Moved(action.Call.Service)
	if action.Room.Address == "" {
		d.stepPool(now, backend.CallPlaced{Call: action.Call, Cell: action.Room.Cell})

		return
	}
	d.forward(caller.ForwardCall{Call: action.Call, Address: action.Room.Address})
}
