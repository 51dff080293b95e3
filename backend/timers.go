package backend

import (
	"container/heap"
	"time"
)

// timers is a heap of calls ordered by the time at which they are due.
type timers struct {
	calls []*placedCall
}

// Len returns the number of calls.
func (t *timers) Len() int { return len(t.calls) }

// Less orders two calls by time, then by id.
func (t *timers) Less(i, j int) bool {
	if t.calls[i].due.Equal(t.calls[j].due) {
		return t.calls[i].call.ID < t.calls[j].call.ID
	}

	return t.calls[i].due.Before(t.calls[j].due)
}

// Swap exchanges two calls.
func (t *timers) Swap(i, j int) {
	t.calls[i], t.calls[j] = t.calls[j], t.calls[i]
	t.calls[i].timer, t.calls[j].timer = i, j
}

// Push appends a call; package heap calls it.
func (t *timers) Push(item any) {
	placed := item.(*placedCall)
	placed.timer = len(t.calls)
	t.calls = append(t.calls, placed)
}

// Pop removes the last call; package heap calls it.
func (t *timers) Pop() any {
	last := len(t.calls) - 1
	placed := t.calls[last]
	t.calls[last] = nil
	t.calls = t.calls[:last]

	return placed
}

// set changes the due time of a call.
func (t *timers) set(placed *placedCall, due time.Time) {
	placed.due = due
	heap.Fix(t, placed.timer)
}

// add adds a call with its due time.
func (t *timers) add(placed *placedCall, due time.Time) {
	placed.due = due
	heap.Push(t, placed)
}

func (t *timers) remove(placed *placedCall) {
	heap.Remove(t, placed.timer)
}

// next returns the first call that is due, or nil. The call stays in the heap.
func (t *timers) next(now time.Time) *placedCall {
	if len(t.calls) == 0 || now.Before(t.calls[0].due) {
		return nil
	}

	return t.calls[0]
}
