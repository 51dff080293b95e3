package host

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/peerrpc"
	"github.com/baobabdrum/baobabdrum/schema"
)

// roomTimeout is the timeout of a request for free capacity. A later response
// would be out of date.
const roomTimeout = 50 * time.Millisecond

func cellOf(request schema.RoomRequest) caller.Cell {
	return caller.Cell{Service: request.Service, DataCentre: request.DataCentre}
}

// runSeeks requests free capacity from the owners of other cells, one request at
// a time.
func (h *Host) runSeeks(ctx context.Context) error {
	client := peerrpc.NewClient(h.Settings.Token, roomTimeout)
	defer client.Close()
	for {
		seek, err := h.seeks.Take(ctx)
		if err != nil {
			return err
		}
		request := schema.RoomRequest{Service: seek.Neighbour.Cell.Service, DataCentre: seek.Neighbour.Cell.DataCentre}
		var room schema.Room
		if err := peerrpc.Call(ctx, client, seek.Neighbour.Host.PeerAddress, peerrpc.MethodRoom, &request, &room); err != nil {
			h.Log.Event(eventlog.Debug, "room_not_found", err.Error())

			continue
		}
		if room.Free <= 0 {
			continue
		}
		found := backend.Room{Cell: seek.Neighbour.Cell, Address: seek.Neighbour.Host.CallerAddress, Free: room.Free}
		if err := h.dispatch.Put(ctx, dispatch.RoomFound{Cell: seek.WaitingCell, Room: found}); err != nil {
			return err
		}
	}
}
