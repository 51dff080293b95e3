// Package ring joins duties by bounded queues. One duty takes from a ring; any
// number may offer. Nothing here spins: a duty that waits is parked by the Go
// scheduler. Change this package only if every duty should wait differently.
package ring

import (
	"context"
	"fmt"
	"sync/atomic"
)

// FullError reports an offer that the ring had no room for.
type FullError struct {
	// Ring names the ring.
	Ring string
	// Capacity is the ring's bound in items.
	Capacity int
}

// Error names the ring and its bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full (capacity %d)", e.Ring, e.Capacity)
}

// Ring is a bounded first-in, first-out queue between duties.
type Ring[T any] struct {
	// Name says which duty takes from the ring.
	Name     string
	items    chan T
	rejected atomic.Uint64
}

// New returns an empty ring that holds at most capacity items.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{Name: name, items: make(chan T, capacity)}
}

// Offer adds the item, or returns a *FullError at once.
func (r *Ring[T]) Offer(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		r.rejected.Add(1)

		return &FullError{Ring: r.Name, Capacity: cap(r.items)}
	}
}

// Put adds the item and waits for room until the context ends, whose error it
// then returns.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	default:
	}
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item and waits for one until the context ends, whose
// error it then returns.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T

		return zero, ctx.Err()
	}
}

// Poll removes the oldest item if there is one.
func (r *Ring[T]) Poll() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T

		return zero, false
	}
}

// Items returns the channel to select on beside a timer.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Depth returns the number of waiting items.
func (r *Ring[T]) Depth() int {
	return len(r.items)
}

// Fulls returns the number of offers that there was no room for.
func (r *Ring[T]) Fulls() uint64 {
	return r.rejected.Load()
}

// Capacity returns the bound in items.
func (r *Ring[T]) Capacity() int {
	return cap(r.items)
}
