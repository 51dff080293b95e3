package caller

import (
	"fmt"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxOrderClockSkew is how far the clock of an id's issuer may be ahead.
	maxOrderClockSkew = time.Minute
	// maxOrderWaiters bounds the requests that wait for the end of one run.
	maxOrderWaiters = 64
	// maxKeptAnswer is the largest body in bytes that is kept for repeats.
	maxKeptAnswer = 64 << 10
	// maxKeptBytes bounds the bytes of all bodies that are kept.
	maxKeptBytes = 32 << 20
)

// order is what the book remembers about one order.
type order struct {
	id          OrderID
	state       OrderState
	fingerprint Fingerprint
	// outcome is told to repeats once the order has ended.
	outcome Outcome
	// nextAttempt is the lowest attempt number that may run a refused order.
	nextAttempt int
	run         CallID
	// runAttempt is the attempt number of the request that started the run.
	runAttempt int
	waiters    []waiter
	// keptBytes is the number of bytes held for repeats.
	keptBytes int
}

// ended reports whether no run of the order is under way.
func (o *order) ended() bool {
	return o.state != OrderClaimed && o.state != OrderSent
}

// OrderBook runs each order of one incarnation at most once and remembers how
// it ended until the id's lifetime has passed.
type OrderBook struct {
	// Incarnation is the only one whose orders the book accepts.
	Incarnation string
	// Lifetime is how long an order id stays valid.
	Lifetime time.Duration
	// Capacity bounds the orders that are remembered.
	Capacity int
	// Started is the start of the book's own clock, which adds the monotonic time
	// since then and so is never set.
	Started time.Time

	orders      map[OrderID]*order
	runs        map[CallID]*order
	byIssueTime orderHeap
	// floor is the newest time of issue that was refused without being
	// remembered. An unseen order that is not newer never runs.
	floor time.Time
	// due is not later than the earliest deadline of a request that waits.
	due       time.Time
	keptBytes int
	actions   []OrderAction
}

// NewOrderBook returns an empty book whose clock starts now.
func NewOrderBook(incarnation string, lifetime time.Duration, capacity int, now time.Time) *OrderBook {
	return &OrderBook{
		Incarnation: incarnation,
		Lifetime:    lifetime,
		Capacity:    capacity,
		Started:     now,
		orders:      map[OrderID]*order{},
		runs:        map[CallID]*order{},
	}
}

// Step reacts to one event. The actions are valid until the next step.
func (b *OrderBook) Step(now time.Time, event OrderEvent) []OrderAction {
	b.actions = nil
	b.evict(now)
	switch event := event.(type) {
	case OrderArrived:
		b.arrived(now, event)
	case OrderDeclined:
		b.declined(now, event)
	case OrderLeft:
		b.removeWaiter(event.Call)
	case RunSent:
		b.markSent(event.Run)
	case RunAnswering:
		b.beginAnswer(event.Run)
	case RunEnded:
		b.runEnded(event)
	case OrdersTicked:
		b.expire(now)
	}

	return b.actions
}

// Busy reports whether a run is under way, so that time matters.
func (b *OrderBook) Busy() bool {
	return len(b.runs) > 0
}

// Dump describes what the book holds.
func (b *OrderBook) Dump() schema.OrdersDump {
	return schema.OrdersDump{
		Remembered: len(b.orders), Running: len(b.runs), Capacity: b.Capacity, KeptBytes: b.keptBytes,
	}
}

// State returns the state of an order of this incarnation and, if it has ended,
// how.
func (b *OrderBook) State(now time.Time, id OrderID) (OrderState, Outcome) {
	if entry, ok := b.orders[id]; ok {
		return entry.state, entry.outcome
	}
	if outcome := b.outsideLifetime(now, id); outcome != nil {
		return OrderUnknown, outcome
	}
	if !id.Time().After(b.floor) {
		return OrderRefused, NotRun{Reason: ReasonOverloaded}
	}

	return OrderUnseen, nil
}

// arrived starts a run, joins the one under way, or tells how it ended.
func (b *OrderBook) arrived(now time.Time, event OrderArrived) {
	entry, outcome := b.entry(now, event.OrderRequest)
	if entry == nil {
		b.end(event.Call.ID, event.Order, outcome)

		return
	}
	switch entry.state {
	case OrderUnseen:
		b.start(entry, event)
	case OrderRefused:
		if event.Attempt < entry.nextAttempt {
			b.end(event.Call.ID, entry.id, entry.outcome)

			return
		}
		b.start(entry, event)
	case OrderClaimed, OrderSent:
		b.addWaiter(entry, event.OrderRequest)
	case OrderAnswered, OrderUnknown:
		b.end(event.Call.ID, entry.id, entry.outcome)
	}
}

// start begins the only run of the order.
func (b *OrderBook) start(entry *order, event OrderArrived) {
	entry.state, entry.outcome = OrderClaimed, nil
	entry.run, entry.runAttempt = event.Run, event.Attempt
	b.runs[event.Run] = entry
	b.addWaiter(entry, event.OrderRequest)
	run := event.Call
	run.ID, run.Idempotent, run.Hops, run.OrderID = event.Run, false, 0, ""
	b.actions = append(b.actions, StartRun{Call: run, For: event.Call.ID})
}

// addWaiter lets a request wait for the end of the run.
func (b *OrderBook) addWaiter(entry *order, request OrderRequest) {
	if len(entry.waiters) >= maxOrderWaiters {
		b.end(request.Call.ID, entry.id, Unknown{Reason: ReasonOverloaded})

		return
	}
	b.due = earlier(b.due, request.Call.Deadline)
	entry.waiters = append(entry.waiters, waiter{
		call: request.Call.ID, attempt: request.Attempt, deadline: request.Call.Deadline,
	})
}

// declined keeps an order that did not run from running unless a later attempt
// asks for it.
func (b *OrderBook) declined(now time.Time, event OrderDeclined) {
	entry, outcome := b.entry(now, event.OrderRequest)
	if entry == nil {
		b.end(event.Call.ID, event.Order, outcome)

		return
	}
	switch entry.state {
	case OrderUnseen, OrderRefused:
		b.refuse(entry, event.Attempt, event.Outcome)
		b.end(event.Call.ID, entry.id, entry.outcome)
	case OrderClaimed, OrderSent:
		b.addWaiter(entry, event.OrderRequest)
	case OrderAnswered, OrderUnknown:
		b.end(event.Call.ID, entry.id, entry.outcome)
	}
}

// refuse remembers that no request up to the attempt number runs the order.
func (b *OrderBook) refuse(entry *order, attempt int, outcome NotRun) {
	entry.state, entry.outcome = OrderRefused, outcome
	entry.nextAttempt = max(entry.nextAttempt, attempt+1)
}

// removeWaiter forgets a request whose caller went away. The run goes on, so that a
// repeat gets its answer.
func (b *OrderBook) removeWaiter(call CallID) {
	for _, entry := range b.runs {
		for i, waiting := range entry.waiters {
			if waiting.call == call {
				entry.waiters = append(entry.waiters[:i], entry.waiters[i+1:]...)
				b.end(call, entry.id, Unknown{Reason: ReasonCancelled})

				return
			}
		}
	}
}

// markSent remembers that bytes of the run may have left.
func (b *OrderBook) markSent(run CallID) {
	if entry, ok := b.runs[run]; ok {
		entry.state = OrderSent
	}
}

// beginAnswer gives a large answer to the request that has waited longest. The
// others hear at the end of the run that it is not kept.
func (b *OrderBook) beginAnswer(run CallID) {
	entry, ok := b.runs[run]
	if !ok {
		return
	}
	if len(entry.waiters) == 0 {
		b.actions = append(b.actions, CancelRun{Run: run})

		return
	}
	b.actions = append(b.actions, BeginAnswer{Call: entry.waiters[0].call})
	entry.waiters = entry.waiters[1:]
	entry.outcome = Answered{Reason: ReasonAnswerNotKept}
}

// runEnded remembers how the run ended and tells it to those who wait.
func (b *OrderBook) runEnded(event RunEnded) {
	entry, ok := b.runs[event.Run]
	if !ok {
		b.violatedf("order_run", "run %d ended twice or never began", event.Run)

		return
	}
	delete(b.runs, event.Run)
	switch outcome := event.Outcome.(type) {
	case Answered:
		b.recordAnswer(entry, event.Size)
	case NotRun:
		attempt := entry.runAttempt
		for _, waiting := range entry.waiters {
			attempt = max(attempt, waiting.attempt)
		}
		b.refuse(entry, attempt, outcome)
		b.endWaiters(entry, outcome)
	case Unknown:
		entry.state, entry.outcome = OrderUnknown, outcome
		b.endWaiters(entry, outcome)
	}
}

// recordAnswer keeps an answer that is small enough and tells it to those who wait.
func (b *OrderBook) recordAnswer(entry *order, size int) {
	entry.state = OrderAnswered
	if entry.outcome != nil { // the answer was given away as it arrived
		b.endWaiters(entry, entry.outcome)

		return
	}
	entry.outcome = Answered{}
	b.endWaiters(entry, entry.outcome)
	if size > maxKeptAnswer || b.keptBytes+size > maxKeptBytes {
		entry.outcome = Answered{Reason: ReasonAnswerNotKept}

		return
	}
	entry.keptBytes = size
	b.keptBytes += size
	b.actions = append(b.actions, KeepAnswer{Order: entry.id})
}

// endWaiters ends every request that waits.
func (b *OrderBook) endWaiters(entry *order, outcome Outcome) {
	for _, waiting := range entry.waiters {
		b.end(waiting.call, entry.id, outcome)
	}
	entry.waiters = nil
}

// end ends a request.
func (b *OrderBook) end(call CallID, id OrderID, outcome Outcome) {
	b.actions = append(b.actions, EndRequest{Call: call, Order: id, Outcome: outcome})
}

// expire ends the requests whose deadline passed while the run goes on.
func (b *OrderBook) expire(now time.Time) {
	if b.due.IsZero() || now.Before(b.due) {
		return
	}
	b.due = time.Time{}
	for _, entry := range b.runs {
		waiting := entry.waiters
		entry.waiters = nil
		for _, request := range waiting {
			if now.Before(request.deadline) {
				entry.waiters = append(entry.waiters, request)
				b.due = earlier(b.due, request.deadline)

				continue
			}
			b.end(request.call, entry.id, Unknown{Reason: ReasonDeadline})
		}
	}
}

// violatedf reports a broken invariant.
func (b *OrderBook) violatedf(invariant, format string, args ...any) {
	b.actions = append(b.actions, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}
