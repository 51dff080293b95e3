package edge

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lineInterval is the shortest time between log lines of a lineRate.
	lineInterval = time.Second
	// burstInterval is the time over which the lines of a lineBurst are bounded.
	burstInterval = 10 * time.Second
	// maxBurstLines is the largest number of these lines in that time.
	maxBurstLines = 20
)

// lineRate limits log lines to one per lineInterval.
type lineRate struct {
	loggedAt atomic.Int64
	unlogged atomic.Uint64
}

// next reports whether a line may be logged now, and how many were left out since the
// last one.
func (r *lineRate) next(now time.Time) (unlogged uint64, ok bool) {
	last := r.loggedAt.Load()
	if now.UnixNano()-last < int64(lineInterval) || !r.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		r.unlogged.Add(1)

		return 0, false
	}

	return r.unlogged.Swap(0), true
}

// lineBurst limits log lines to maxBurstLines per burstInterval.
type lineBurst struct {
	mutex    sync.Mutex
	since    time.Time
	logged   int
	unlogged uint64
}

// next reports whether a line may be logged now, and how many were left out since the
// last one.
func (b *lineBurst) next(now time.Time) (unlogged uint64, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Sub(b.since) >= burstInterval {
		b.since, b.logged = now, 0
	}
	if b.logged >= maxBurstLines {
		b.unlogged++

		return 0, false
	}
	unlogged, b.unlogged = b.unlogged, 0
	b.logged++

	return unlogged, true
}
