package scaling

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/baobabdrum/baobabdrum/caller"
)

// orderLifetime is how long the order book keeps an order.
const orderLifetime = time.Hour

// ordersStart is the arrival time of all measured orders.
var ordersStart = time.Unix(1_700_000_000, 0)

// orderID returns the order id for an order number.
func orderID(number int) caller.OrderID {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(ordersStart))        // the time is within the range
	binary.BigEndian.PutUint64(id[8:], uint64(number)) //nolint:gosec // numbers are counts

	return caller.OrderID{Incarnation: "slopes", ULID: id}
}

// runOrder passes an order through the book from its arrival to its answer.
func runOrder(book *caller.OrderBook, number int) {
	id := caller.CallID(2 * number) //nolint:gosec // numbers are counts
	call := caller.Call{ID: id, Service: "service-0000", Caller: "caller", Deadline: ordersStart.Add(time.Second)}
	request := caller.OrderRequest{Call: call, Order: orderID(number)}
	book.Step(ordersStart, caller.OrderArrived{OrderRequest: request, Run: id + 1})
	book.Step(ordersStart, caller.RunSent{Run: id + 1})
	book.Step(ordersStart, caller.RunEnded{Run: id + 1, Outcome: caller.Answered{}})
}

// orderBook returns an order book with count answered orders.
func orderBook(count int) *caller.OrderBook {
	book := caller.NewOrderBook("slopes", orderLifetime, math.MaxInt, ordersStart)
	for number := range count {
		runOrder(book, number)
	}

	return book
}

// orderTime returns the mean time in nanoseconds for all decisions on one
// order.
func orderTime(count int) float64 {
	book := orderBook(count)
	number := count

	return meanNanoseconds(func() {
		number++
		runOrder(book, number)
	})
}
