package scaling

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/baobabdrum/baobabdrum/caller"
)

// orderLifetime is how long an order is remembered.
const orderLifetime = time.Hour

// ordersStart is the time of the first measured order.
var ordersStart = time.Unix(1_700_000_000, 0)

// orderID returns the id of an order by its number.
func orderID(number int) caller.OrderID {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(ordersStart))        // the time is within the range
	binary.BigEndian.PutUint64(id[8:], uint64(number)) //nolint:gosec // numbers are counts

	return caller.OrderID{Incarnation: "slopes", ULID: id}
}

// runOrder takes one order from its arrival to its answer.
func runOrder(book *caller.OrderBook, number int) {
	id := caller.CallID(2 * number) //nolint:gosec // numbers are counts
	call := caller.Call{ID: id, Service: "service-0000", Caller: "caller", Deadline: ordersStart.Add(time.Second)}
	request := caller.OrderRequest{Call: call, Order: orderID(number)}
	book.Step(ordersStart, caller.OrderArrived{OrderRequest: request, Run: id + 1})
	book.Step(ordersStart, caller.RunSent{Run: id + 1})
	book.Step(ordersStart, caller.RunEnded{Run: id + 1, Outcome: caller.Answered{}})
}

// orderBook returns a book that remembers that many answered orders.
func orderBook(count int) *caller.OrderBook {
	book := caller.NewOrderBook("slopes", orderLifetime, math.MaxInt, ordersStart)
	for number := range count {
		runOrder(book, number)
	}

	return book
}

// orderTime returns how long the decisions of one order take.
func orderTime(count int) float64 {
	book := orderBook(count)
	number := count

	return meanNanoseconds(func() {
		number++
		runOrder(book, number)
	})
}
