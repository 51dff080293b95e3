package placement

import "time"

const (
	// minFirstAttempts is the number of calls with the same time to wait from which it is
	// taken to be that of first attempts.
	minFirstAttempts = 4
	// minFirstAttemptShare is the share of a route's calls that state it at least.
	minFirstAttemptShare = 0.1
	// maxTimeoutEntries bounds the times that are counted. Those of callers that come
	// back are nearly all different.
	maxTimeoutEntries = 64
	// timeoutHalvingCount is the number of calls after which all counts are halved.
	timeoutHalvingCount = 512
)

// CallerTimeouts learns how long the callers of a route wait when they first call.
// Callers that come back state what is left of that, so what is missing is the
// time since their first attempt.
type CallerTimeouts struct {
	counts map[time.Duration]int
	total  int
}

// NewCallerTimeouts returns a patience that has seen no call.
func NewCallerTimeouts() *CallerTimeouts {
	return &CallerTimeouts{counts: map[time.Duration]int{}}
}

// Elapsed counts a call whose caller waits for so long and returns the time since
// that caller's first attempt, as far as it can be told.
func (c *CallerTimeouts) Elapsed(wait time.Duration) time.Duration {
	c.record(wait)
	if c.isFirstAttempt(wait) {
		return 0
	}
	elapsed := time.Duration(0)
	for known := range c.counts {
		if known > wait && c.isFirstAttempt(known) && (elapsed == 0 || known-wait < elapsed) {
			elapsed = known - wait
		}
	}

	return elapsed
}

// isFirstAttempt reports whether first attempts state this time.
func (c *CallerTimeouts) isFirstAttempt(wait time.Duration) bool {
	count := c.counts[wait]

	return count >= minFirstAttempts && float64(count) >= minFirstAttemptShare*float64(c.total)
}

// record counts a call.
func (c *CallerTimeouts) record(wait time.Duration) {
	if _, known := c.counts[wait]; !known && len(c.counts) >= maxTimeoutEntries {
		c.evictRare()
	}
	c.counts[wait]++
	c.total++
	if c.total < timeoutHalvingCount {
		return
	}
	c.total = 0
	for known, count := range c.counts {
		c.counts[known] = count / 2
		c.total += count / 2
		if count < 2 {
			delete(c.counts, known)
		}
	}
}

// evictRare drops the times that were stated by one call only.
func (c *CallerTimeouts) evictRare() {
	for known, count := range c.counts {
		if count < 2 {
			delete(c.counts, known)
			c.total -= count
		}
	}
	if len(c.counts) >= maxTimeoutEntries {
		clear(c.counts)
		c.total = 0
	}
}
