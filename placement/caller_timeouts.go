package placement

import "time"

const (
	// minFirstAttempts is the number of calls with the same timeout from which
	// that timeout is assumed to be that of first attempts.
	minFirstAttempts = 4
	// minFirstAttemptShare is the least share of a route's calls that have such
	// a timeout.
	minFirstAttemptShare = 0.1
	// maxTimeoutEntries bounds the number of timeouts that are counted. Those
	// of retries by callers are nearly all different.
	maxTimeoutEntries = 64
	// timeoutHalvingCount is the number of calls after which all counts are
	// halved.
	timeoutHalvingCount = 512
)

// CallerTimeouts learns the timeouts that the callers of a route state on their
// first attempts. A caller that retries states the time that is left, so the
// difference is the time since its first attempt.
type CallerTimeouts struct {
	counts map[time.Duration]int
	total  int
}

// NewCallerTimeouts returns an estimator without observed calls.
func NewCallerTimeouts() *CallerTimeouts {
	return &CallerTimeouts{counts: map[time.Duration]int{}}
}

// Elapsed records a call with the given timeout and returns the time since its
// caller's first attempt, or 0 if the call is a first attempt or no first
// attempt is known to have had a longer timeout.
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

// isFirstAttempt reports whether first attempts state this timeout.
func (c *CallerTimeouts) isFirstAttempt(wait time.Duration) bool {
	count := c.counts[wait]

	return count >= minFirstAttempts && float64(count) >= minFirstAttemptShare*float64(c.total)
}

// record counts a call by its timeout.
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

// evictRare evicts the timeouts stated by one call only, or all of them if that
// does not make room.
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
