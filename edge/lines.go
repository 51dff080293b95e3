package edge

import (
	"sync/atomic"
	"time"
)

// lineInterval is the shortest time between log lines of a lineRate.
const lineInterval = time.Second

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
