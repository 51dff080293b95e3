package backend

import (
	"container/list"
	"time"
)

// Discipline is the order in which the waiting calls of one caller start:
// FirstInFirstOut, LastInFirstOut or ControlledDelay.
//
//sumtype:decl
type Discipline interface{ discipline() }

// FirstInFirstOut starts the oldest call first.
type FirstInFirstOut struct{}

// LastInFirstOut starts the newest call first.
type LastInFirstOut struct{}

// ControlledDelay starts the oldest call first. Once the queue has not been
// empty for standingInterval, it drops calls that waited longer than
// standingTarget, so that overload is reported to callers early.
type ControlledDelay struct{}

const (
	// standingInterval is the time after which a queue that has not been empty
	// counts as standing, in median latencies.
	standingInterval = 100
	// standingTarget is the maximum wait of a call in a standing queue, in median
	// latencies.
	standingTarget = 8
)

func (FirstInFirstOut) discipline() {}
func (LastInFirstOut) discipline()  {}
func (ControlledDelay) discipline() {}

// backlog holds the untried waiting calls of one caller, the oldest first.
type backlog struct {
	caller string
	calls  *list.List
}

// Queue holds the waiting calls of a cell. Retried calls start first. The
// others start by round robin over the callers, which is deficit round robin
// with calls of equal cost.
type Queue struct {
	// Capacity bounds the number of untried waiting calls. Retried calls are
	// bounded by the number of slots, since each one held a slot before.
	Capacity int
	// Discipline is the order of the calls of one caller.
	Discipline Discipline

	retried  *list.List
	turns    *list.List
	backlogs map[string]*list.Element
	untried  int
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

// Len returns the number of waiting calls, untried and retried.
func (q *Queue) Len() int {
	return q.untried + q.retried.Len()
}

// Push adds an untried call. If the queue exceeds its capacity, Push removes
// and returns the newest call of the caller with the most calls.
func (q *Queue) Push(now time.Time, placed *placedCall) *placedCall {
	if q.untried == 0 {
		q.emptyAt = now
	}
	turn, ok := q.backlogs[placed.call.Caller]
	if !ok {
		turn = q.turns.PushBack(&backlog{caller: placed.call.Caller, calls: list.New()})
		q.backlogs[placed.call.Caller] = turn
	}
	placed.waiting = turn.Value.(*backlog).calls.PushBack(placed)
	placed.waitingSince = now
	q.untried++
	if q.untried <= q.Capacity {
		return nil
	}
	dropped := q.longest().calls.Back().Value.(*placedCall)
	q.Remove(dropped)

	return dropped
}

// longest returns the backlog with the most calls. Ties go to the backlog that
// is served last.
func (q *Queue) longest() *backlog {
	longest := q.turns.Back().Value.(*backlog)
	for turn := q.turns.Back(); turn != nil; turn = turn.Prev() {
		if candidate := turn.Value.(*backlog); candidate.calls.Len() > longest.calls.Len() {
			longest = candidate
		}
	}

	return longest
}

// PushRetried adds a call that is to be retried.
func (q *Queue) PushRetried(now time.Time, placed *placedCall) {
	placed.waiting = q.retried.PushBack(placed)
	placed.waitingSince = now
	placed.retried = true
}

// Retried returns the waiting calls that are to be retried, the oldest first.
func (q *Queue) Retried() []*placedCall {
	var calls []*placedCall
	for element := q.retried.Front(); element != nil; element = element.Next() {
		calls = append(calls, element.Value.(*placedCall))
	}

	return calls
}

// Pop removes and returns the next untried call. If overdue is set, the call
// must be dropped instead of started. The median is the cell's median latency,
// or 0 if it is unknown.
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

// Ahead returns the number of waiting calls that start before the given call,
// which must be the newest one of its caller and be in the queue.
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

// Remove removes a call if it is waiting.
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
	q.untried--
	if calls.Len() == 0 {
		q.turns.Remove(turn)
		delete(q.backlogs, placed.call.Caller)
	}
}

// All returns all waiting calls, the retried ones first.
func (q *Queue) All() []*placedCall {
	all := q.Retried()
	for turn := q.turns.Front(); turn != nil; turn = turn.Next() {
		for element := turn.Value.(*backlog).calls.Front(); element != nil; element = element.Next() {
			all = append(all, element.Value.(*placedCall))
		}
	}

	return all
}
