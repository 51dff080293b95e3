package allotment

import (
	"math"
	"time"
)

const (
	// minRetryAfter is the shortest retry delay given to a refused caller: a round trip
	// and the time in which a host reacts.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter is the longest retry delay. Callers give up within seconds.
	maxRetryAfter = time.Second
)

// bucket is this host's share of one tenant's quota.
type bucket struct {
	// perSecond and burst are the limits of all hosts together.
	perSecond, burst float64
	// rate is the number of tokens a second that this host has a right to, and capacity
	// the number that it may hold.
	rate, capacity float64
	tokens         float64
	// held is the number of taken tokens whose calls were not sent yet.
	held     float64
	filledAt time.Time
	// changesAt is when the next loan ends, or zero.
	changesAt time.Time
	// equalSize is the size of the equal share of a host.
	equalSize float64
	ledger    ledger
	// wanted are the needs of other hosts by the hash of their names.
	wanted map[int]need
	// arrivals counts the calls since the demand was last measured.
	arrivals int
	// demand is the smoothed number of calls a second that arrive at this host.
	demand float64
	// fastDemand is the same, smoothed less.
	fastDemand float64
	// measurements is the number of measurements since the demand changed.
	measurements float64
	// needs says that this host reports a need.
	needs bool
	// dueAt is when the last refused call is expected to receive a token.
	dueAt time.Time
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Time) {
	if now.After(b.filledAt) {
		b.tokens += b.rate * now.Sub(b.filledAt).Seconds()
		b.filledAt = now
	}
	b.limit()
}

// limit drops the tokens that exceed the capacity together with the held ones.
func (b *bucket) limit() {
	b.tokens = max(min(b.tokens, b.capacity-b.held), 0)
}

// margin returns what this host wants to admit relative to its demand.
func (b *bucket) margin() float64 {
	if b.capacity <= 0 {
		return emptyMargin
	}

	return emptyMargin + (fullMargin-emptyMargin)*b.tokens/b.capacity
}

// measure updates the demand after some time.
func (b *bucket) measure(elapsed time.Duration) {
	measured := float64(b.arrivals) / elapsed.Seconds()
	b.fastDemand += fastWeight * (measured - b.fastDemand)
	b.measurements++
	b.demand += max(slowWeight, 1/b.measurements) * (measured - b.demand)
	variance := max(b.demand, b.fastDemand) / elapsed.Seconds() * fastWeight / (2 - fastWeight)
	if math.Abs(b.fastDemand-b.demand) > changeDeviations*math.Sqrt(variance) {
		b.demand, b.measurements = b.fastDemand, 2
	}
	b.arrivals = 0
}

// take takes a token, or returns the time until there will be one for this call,
// within the bounds of retry delays, and false. Calls that were refused before it are
// expected to return in order, each for one token.
func (b *bucket) take(now time.Time) (time.Duration, bool) {
	b.arrivals++
	if b.tokens >= 1 {
		b.tokens--
		b.held++

		return 0, true
	}
	after := max(b.timeFor(1-b.tokens), b.dueAt.Sub(now)+b.timeFor(1))
	after = min(after, maxRetryAfter)
	b.dueAt = now.Add(after)

	return max(after, minRetryAfter), false
}

// timeFor returns the time in which a number of tokens are added, at most
// maxRetryAfter.
func (b *bucket) timeFor(tokens float64) time.Duration {
	return time.Duration(min(tokens/b.rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
