package bench

import (
	"container/heap"
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
)

// event is an event of the simulation: arrival, tick, serverTurnsCold, served
// or reported.
//
//sumtype:decl
type event interface{ event() }

// arrival is the arrival of a call at a random host.
type arrival struct{}

// tick passes a tick to every pool.
type tick struct{}

// serverTurnsCold turns a random backend server cold.
type serverTurnsCold struct{}

// served ends the service of an attempt.
type served struct {
	job *job
}

// reported delivers the result of an attempt to its pool.
type reported struct {
	job    *job
	result backend.Result
}

func (arrival) event()         {}
func (tick) event()            {}
func (serverTurnsCold) event() {}
func (served) event()          {}
func (reported) event()        {}

// scheduledEvent is an event with its time and its position among all events.
type scheduledEvent struct {
	at     time.Time
	number int
	event  event
}

// eventQueue is a heap of events by time; events at the same time keep the
// order in which they were added.
type eventQueue struct {
	items []scheduledEvent
	added int
}

// Len returns the number of events, for package heap.
func (a *eventQueue) Len() int { return len(a.items) }

// Less reports whether event i comes before event j, for package heap.
func (a *eventQueue) Less(i, j int) bool {
	if a.items[i].at.Equal(a.items[j].at) {
		return a.items[i].number < a.items[j].number
	}

	return a.items[i].at.Before(a.items[j].at)
}

// Swap exchanges two events, for package heap.
func (a *eventQueue) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

// Push appends an event for package heap.
func (a *eventQueue) Push(item any) { a.items = append(a.items, item.(scheduledEvent)) }

// Pop removes the last event for package heap.
func (a *eventQueue) Pop() any {
	last := len(a.items) - 1
	item := a.items[last]
	a.items[last] = scheduledEvent{}
	a.items = a.items[:last]

	return item
}

// add schedules an event.
func (a *eventQueue) add(at time.Time, event event) {
	a.added++
	heap.Push(a, scheduledEvent{at: at, number: a.added, event: event})
}

// take removes and returns the next event.
func (a *eventQueue) take() scheduledEvent {
	return heap.Pop(a).(scheduledEvent)
}
