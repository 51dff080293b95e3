package eventlog

import (
	"sync"
	"time"
)

const (
	// BurstInterval is the time over which the lines of a Burst are bounded.
	BurstInterval = 10 * time.Second
	// MaxBurstLines is the largest number of these lines in that time.
	MaxBurstLines = 20
)

// Burst limits log lines to MaxBurstLines per BurstInterval. The zero value is ready for use,
// from any duty.
type Burst struct {
	mutex    sync.Mutex
	since    time.Time
	logged   int
	unlogged uint64
}

// Next reports whether a line may be logged now, and how many were left out since the
// last one.
func (b *Burst) Next(now time.Time) (unlogged uint64, ok bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Sub(b.since) >= BurstInterval {
		b.since, b.logged = now, 0
	}
	if b.logged >= MaxBurstLines {
		b.unlogged++

		return 0, false
	}
	unlogged, b.unlogged = b.unlogged, 0
	b.logged++

	return unlogged, true
}
