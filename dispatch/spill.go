package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// SeekRoom requests free capacity from the owner of another cell. A RoomFound
// reports the capacity.
type SeekRoom struct {
	// WaitingCell is the cell in which calls wait.
	WaitingCell caller.Cell
	// Neighbour is the other cell and its owner.
	Neighbour caller.Neighbour
}

// RoomAsked requests the number of calls that a cell of this host accepts from
// another cell.
type RoomAsked struct {
	// Cell is the cell of this host.
	Cell caller.Cell
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.Room]
}

// RoomFound reports that a cell of another host accepts waiting calls.
type RoomFound struct {
	// Cell is the cell in which the calls wait.
	Cell caller.Cell
	// Room is the other cell, its owner and its free capacity.
	Room backend.Room
}

func (RoomAsked) input()   {}
func (RoomFound) input()   {}
func (RoomAsked) control() {}
func (RoomFound) control() {}

// seekRoom requests free capacity in the other cells of the service. A request is
// dropped if the ring is full, because the cell repeats it while calls wait.
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

// move passes a waiting call to another cell.
func (d *Duty) move(now time.Time, action backend.MoveCall) {
	d.Metrics.Moved(action.Call.Service)
	if action.Room.Address == "" {
		d.stepPool(now, backend.CallPlaced{Call: action.Call, Cell: action.Room.Cell})

		return
	}
	d.forward(caller.ForwardCall{Call: action.Call, Address: action.Room.Address})
}
