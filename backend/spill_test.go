package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

// neighbour is the cell with spare capacity in these tests.
var neighbour = caller.Cell{Service: "catalogue", DataCentre: "mu-south"}

func TestWaitingCallsMoveToCellWithRoom(t *testing.T) {
	tests := map[string]struct {
		options backend.Options
		waiting int
		call    caller.Call
		free    int
		seeks   bool
		moves   int
	}{
		"a crowded cell moves as many calls as another accepts": {waiting: 4, free: 2, seeks: true, moves: 2},
		"a crowded cell keeps a short queue":                    {waiting: 4, free: 9, seeks: true, moves: 4},
		"a cell that is not crowded keeps its calls":            {waiting: 0, free: 9},
		"a forwarded call stays":                                {waiting: 4, free: 9, seeks: true, call: caller.Call{Hops: 1}},
		"a moved call stays":                                    {waiting: 4, free: 9, seeks: true, call: caller.Call{Moved: true}},
		"calls stay if spill is disabled":                       {waiting: 4, options: backend.Options{WithoutSpill: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.options.QueueLength = 16
			d := newDriver(t, test.options)
			d.declare(1, "a")
			d.serve(30, quick)
			d.now = d.now.Add(time.Second)
			test.call.Deadline = d.now.Add(time.Second)
			for range 1 + test.waiting {
				d.placeCall(test.call)
			}
			assert.Equal(t, len(d.seeks) > 0, test.seeks)
			d.step(backend.RoomFound{Cell: cell, Room: backend.Room{Cell: neighbour, Free: test.free}})
			assert.Equal(t, len(d.moves), test.moves)
			for _, move := range d.moves {
				assert.Assert(t, move.Call.Moved)
				assert.Equal(t, move.Room.Cell, neighbour)
			}
		})
	}
}

func TestRoom(t *testing.T) {
	tests := map[string]struct {
		calls int
		room  int
	}{
		"half of all slots of an idle cell": {calls: 0, room: 2},
		"half of the free slots":            {calls: 2, room: 1},
		"none of a cell without free slots": {calls: 4, room: 0},
		"none of a cell with a queue":       {calls: 5, room: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16, WithoutRamp: true})
			d.declare(4, "a")
			for range test.calls {
				d.place()
			}
			assert.Equal(t, d.pool.Room(d.now, cell), test.room)
			assert.Equal(t, d.pool.Room(d.now, neighbour), 0)
		})
	}
}
