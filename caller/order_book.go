package caller

import (
	"fmt"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxOrderClockSkew is the maximum time by which the issuer's clock may be
	// ahead.
	maxOrderClockSkew = time.Minute
	// maxOrderWaiters is the maximum number of requests that wait for one run.
	maxOrderWaiters = 64
	// maxKeptAnswer is the maximum size in bytes of an answer kept for repeats.
	maxKeptAnswer = 64 << 10
	// maxKeptBytes is the maximum total size in bytes of all kept answers.
	maxKeptBytes = 32 << 20
)

// order is the entry of one order in the book.
type order struct {
	id          OrderID
	state       OrderState
	fingerprint Fingerprint
	// outcome is the outcome for repeats once the order has ended.
	outcome Outcome
	// nextAttempt is the lowest attempt number that may run a refused order.
	nextAttempt int
	run         CallID
	// runAttempt is the attempt number of the request that started the run.
	runAttempt int
	waiters    []waiter
	// keptBytes is the size of the answer kept for repeats.
	keptBytes int
}

// ended reports whether no run of the order is in progress.
func (o *order) ended() bool {
	return o.state != OrderClaimed && o.state != OrderSent
}

// OrderBook runs each order of one incarnation at most once and records its
// outcome until the lifetime of the order id has passed. It is not safe for
// concurrent use.
type OrderBook struct {
	// Incarnation is the incarnation whose orders the book accepts.
	Incarnation string
	// Lifetime is the validity period of an order id.
	Lifetime time.Duration
	// Capacity is the maximum number of recorded orders.
	Capacity int
	// Started is the start of the book's clock. The clock adds the monotonic time
	// since then, so that changes of the system clock do not affect it.
	Started time.Time

	orders      map[OrderID]*order
	runs        map[CallID]*order
	byIssueTime orderHeap
	// floor is the latest time of issue of an order that was refused without being
	// recorded. An unrecorded order that is not newer never runs.
	floor time.Time
	// due is a lower bound of the deadlines of waiting requests.
	due       time.Time
	keptBytes int
	actions   []OrderAction
}

// NewOrderBook returns an empty book whose clock starts at the given time.
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

// Step processes an event and returns the resulting actions. They are valid
// until the next call.
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

// Busy reports whether a run is in progress, so that the book needs
// OrdersTicked events.
func (b *OrderBook) Busy() bool {
	return len(b.runs) > 0
}

// Dump returns the counts of recorded orders, runs and kept bytes.
func (b *OrderBook) Dump() schema.OrdersDump {
	return schema.OrdersDump{
		Remembered: len(b.orders), Running: len(b.runs), Capacity: b.Capacity, KeptBytes: b.keptBytes,
	}
}

// State returns the state of an order of this incarnation and, if it has ended,
// its outcome.
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

// arrived starts a run, joins the run in progress, or ends the request with the
// recorded outcome.
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

// start starts the run of an order and adds its request as the first waiter.
func (b *OrderBook) start(entry *order, event OrderArrived) {
	entry.state, entry.outcome = OrderClaimed, nil
	entry.run, entry.runAttempt = event.Run, event.Attempt
	b.runs[event.Run] = entry
	b.addWaiter(entry, event.OrderRequest)
	run := event.Call
	run.ID, run.Idempotent, run.Hops, run.OrderID = event.Run, false, 0, ""
	b.actions = append(b.actions, StartRun{Call: run, For: event.Call.ID})
}

// addWaiter adds a request to those that wait for the end of the run.
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

// declined refuses an order that has not run, so that only a request with a
// higher attempt number can run it.
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

// refuse records that no request up to the attempt number may run the order.
func (b *OrderBook) refuse(entry *order, attempt int, outcome NotRun) {
	entry.state, entry.outcome = OrderRefused, outcome
	entry.nextAttempt = max(entry.nextAttempt, attempt+1)
}

// removeWaiter ends the request of a caller that disconnected. The run
// continues, so that a repeat receives its answer.
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

// markSent records that bytes of the run may have been sent.
func (b *OrderBook) markSent(run CallID) {
	if entry, ok := b.runs[run]; ok {
		entry.state = OrderSent
	}
}

// beginAnswer starts to stream a large answer to the request that has waited
// longest. At the end of the run the other requests end with
// ReasonAnswerNotKept.
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

// runEnded records the outcome of a run and ends the waiting requests with it.
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

// recordAnswer ends the waiting requests with the answer and keeps it for
// repeats if its size permits.
func (b *OrderBook) recordAnswer(entry *order, size int) {
	entry.state = OrderAnswered
	if entry.outcome != nil { // the answer was streamed to one request
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

// endWaiters ends all waiting requests of an order with the outcome.
func (b *OrderBook) endWaiters(entry *order, outcome Outcome) {
	for _, waiting := range entry.waiters {
		b.end(waiting.call, entry.id, outcome)
	}
	entry.waiters = nil
}

// end ends a request with the outcome.
func (b *OrderBook) end(call CallID, id OrderID, outcome Outcome) {
	b.actions = append(b.actions, EndRequest{Call: call, Order: id, Outcome: outcome})
}

// expire ends the waiting requests whose deadline has passed. Their runs
// continue.
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

// violatedf appends an action that reports a broken invariant.
func (b *OrderBook) violatedf(invariant, format string, args ...any) {
	b.actions = append(b.actions, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}
