package backend

import (
	"container/list"
	"time"
)

// Discipline is the order of the waiting calls of one caller: FirstInFirstOut, LastInFirstOut
// or ControlledDelay.
//
//sumtype:decl
type Discipline interface{ discipline() }

// FirstInFirstOut starts the oldest call first.
type FirstInFirstOut struct{}

// LastInFirstOut starts the newest call first.
type LastInFirstOut struct{}

// ControlledDelay starts the oldest call first. While the queue has not been
// empty for standingInterval, it drops calls that waited longer than
// standingTarget, so that callers hear soon that there is no room.
type ControlledDelay struct{}

const (
	// standingInterval is how long a queue may stand, in median latencies.
	standingInterval = 100
	// standingTarget is how long a call may wait in a standing queue, in median
	// latencies.
	standingTarget = 8
)

func (FirstInFirstOut) discipline() {}
func (LastInFirstOut) discipline()  {}
func (ControlledDelay) discipline() {}

// backlog holds the waiting calls of one caller, the oldest first.
type backlog struct {
	caller string
	calls  *list.List
}

// Queue holds the calls of a cell that wait. Retried calls start first; the
// others start in turns by caller, which is deficit round robin with calls of
// equal cost.
type Queue struct {
	// Capacity bounds the waiting calls that were not tried yet. The retried ones
	// are bounded by the slots that they came from.
	Capacity int
	// Discipline is the order within one caller.
	Discipline Discipline

	retried  *list.List
	turns    *list.List
	backlogs map[string]*list.Element
	fresh    int
	emptyAt  time.Time
}

// NewQueue returns an empty queue.
func NewQueue(capacity int, discipline Discipline) *Queue {
	return &Queue{
		Capacity:   capacity,
		Discipline: discipline,
		retried:    list.New(),
		turns:      list.New(),
		backlogs:   map[string]*list.Element{},
	}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	return q.fresh + q.retried.Len()
}

// Push adds a call that was not tried yet. If the queue is full, it returns the
// call that must be dropped: the newest of the caller with the most calls.
func (q *Queue) Push(now time.Time, placed *placedCall) *placedCall {
	if q.fresh == 0 {
		q.emptyAt = now
	}
	turn, ok := q.backlogs[placed.call.Caller]
	if !ok {
		turn = q.turns.PushBack(&backlog{caller: placed.call.Caller, calls: list.New()})
		q.backlogs[placed.call.Caller] = turn
	}
	placed.waiting = turn.Value.(*backlog).calls.PushBack(placed)
	placed.waitingSince = now
	q.fresh++
	if q.fresh <= q.Capacity {
		return nil
	}
	dropped := q.longest().calls.Back().Value.(*placedCall)
	q.Remove(dropped)

	return dropped
}

// longest returns the backlog with the most calls, the one that is served last
// among equals.
func (q *Queue) longest() *backlog {
	longest := q.turns.Back().Value.(*backlog)
	for turn := q.turns.Back(); turn != nil; turn = turn.Prev() {
		if candidate := turn.Value.(*backlog); candidate.calls.Len() > longest.calls.Len() {
			longest = candidate
		}
	}

	return longest
}

// PushRetried adds a call that was tried before.
func (q *Queue) PushRetried(now time.Time, placed *placedCall) {
	placed.waiting = q.retried.PushBack(placed)
	placed.waitingSince = now
	placed.retried = true
}

// Retried returns the waiting calls that were tried before, the oldest first.
func (q *Queue) Retried() []*placedCall {
	var calls []*placedCall
	for element := q.retried.Front(); element != nil; element = element.Next() {
		calls = append(calls, element.Value.(*placedCall))
	}

	return calls
}

// Pop removes the next call that was not tried yet. The call is dropped rather
// than started if overdue is set. The median is the cell's latency, or 0 if it is
// unknown.
func (q *Queue) Pop(now time.Time, median time.Duration) (placed *placedCall, overdue bool) {
	turn := q.turns.Front()
	calls := turn.Value.(*backlog).calls
	placed = calls.Front().Value.(*placedCall)
	switch q.Discipline.(type) {
	case FirstInFirstOut:
	case LastInFirstOut:
		placed = calls.Back().Value.(*placedCall)
	case ControlledDelay:
		standing := median > 0 && now.Sub(q.emptyAt) > standingInterval*median
		overdue = standing && now.Sub(placed.waitingSince) > standingTarget*median
	}
	if !overdue {
		q.turns.MoveToBack(turn)
	}
	q.Remove(placed)

	return placed, overdue
}

// Ahead returns the number of waiting calls that start before the newest call
// of a caller, which waits already.
func (q *Queue) Ahead(placed *placedCall) int {
	turn, ok := q.backlogs[placed.call.Caller]
	if !ok || placed.retried {
		return 0
	}
	if _, last := q.Discipline.(LastInFirstOut); last {
		return q.retried.Len() + q.turns.Len() - 1
	}
	own := turn.Value.(*backlog).calls.Len()
	ahead := q.retried.Len() + own - 1
	for other := q.turns.Front(); other != nil; other = other.Next() {
		if other != turn {
			ahead += min(own, other.Value.(*backlog).calls.Len())
		}
	}

	return ahead
}

// Remove removes a waiting call.
func (q *Queue) Remove(placed *placedCall) {
	if placed.waiting == nil {
		return
	}
	if placed.retried {
		q.retried.Remove(placed.waiting)
		placed.waiting, placed.retried = nil, false

		return
	}
	turn := q.backlogs[placed.call.Caller]
	calls := turn.Value.(*backlog).calls
	calls.Remove(placed.waiting)
	placed.waiting = nil
	q.fresh--
	if calls.Len() == 0 {
		q.turns.Remove(turn)
		delete(q.backlogs, placed.call.Caller)
	}
}

// All returns every waiting call.
func (q *Queue) All() []*placedCall {
	all := q.Retried()
	for turn := q.turns.Front(); turn != nil; turn = turn.Next() {
		for element := turn.Value.(*backlog).calls.Front(); element != nil; element = element.Next() {
			all = append(all, element.Value.(*placedCall))
		}
	}

	return all
}
