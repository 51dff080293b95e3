// Package ring provides the bounded queues that join duties. One duty takes from a
// ring; any number may add to it. Nothing here spins: the Go scheduler parks a duty
// that waits. Change this package only if every duty should wait differently.
package ring

import (
	"context"
	"fmt"
	"sync/atomic"
)

// FullError reports an item that a full ring rejected.
type FullError struct {
	// Ring is the ring's name.
	Ring string
	// Capacity is the ring's capacity in items.
	Capacity int
}

// Error names the ring and its capacity.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %s is full (capacity %d)", e.Ring, e.Capacity)
}

// Ring is a bounded first-in, first-out queue between duties.
type Ring[T any] struct {
	// Name names the duty that takes from the ring.
	Name     string
	items    chan T
	rejected atomic.Uint64
}

// New returns an empty ring that holds at most capacity items.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{Name: name, items: make(chan T, capacity)}
}

// Offer adds the item without waiting, or returns a *FullError if there is no room.
func (r *Ring[T]) Offer(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		r.rejected.Add(1)

		return &FullError{Ring: r.Name, Capacity: cap(r.items)}
	}
}

// Put adds the item. It waits for room until the context ends and then returns the
// context's error.
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

// Take removes and returns the oldest item. It waits for an item until the context
// ends and then returns the context's error.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T

		return zero, ctx.Err()
	}
}

// Poll removes and returns the oldest item without waiting. It reports whether there
// was one.
func (r *Ring[T]) Poll() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T

		return zero, false
	}
}

// Items returns the channel of items, for a select statement with a timer.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Depth returns the number of items in the ring.
func (r *Ring[T]) Depth() int {
	return len(r.items)
}

// Rejected returns the number of offers rejected because the ring was full.
func (r *Ring[T]) Rejected() uint64 {
	return r.rejected.Load()
}

// Capacity returns the maximum number of items.
func (r *Ring[T]) Capacity() int {
	return cap(r.items)
}
