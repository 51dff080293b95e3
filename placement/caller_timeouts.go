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
func (p *CallerTimeouts) Elapsed(wait time.Duration) time.Duration {
	p.count(wait)
	if p.isFirstAttempt(wait) {
		return 0
	}
	spent := time.Duration(0)
	for known := range p.counts {
		if known > wait && p.isFirstAttempt(known) && (spent == 0 || known-wait < spent) {
			spent = known - wait
		}
	}

	return spent
}

// isFirstAttempt reports whether first attempts state this time.
func (p *CallerTimeouts) isFirstAttempt(wait time.Duration) bool {
	count := p.counts[wait]

	return count >= minFirstAttempts && float64(count) >= minFirstAttemptShare*float64(p.total)
}

// count counts a call.
func (p *CallerTimeouts) count(wait time.Duration) {
	if _, known := p.counts[wait]; !known && len(p.counts) >= maxTimeoutEntries {
		p.forget()
	}
	p.counts[wait]++
	p.total++
	if p.total < timeoutHalvingCount {
		return
	}
	p.total = 0
	for known, count := range p.counts {
		p.counts[known] = count / 2
		p.total += count / 2
		if count < 2 {
			delete(p.counts, known)
		}
	}
}

// forget drops the times that were stated by one call only.
func (p *CallerTimeouts) forget() {
	for known, count := range p.counts {
		if count < 2 {
			delete(p.counts, known)
			p.total -= count
		}
	}
	if len(p.counts) >= maxTimeoutEntries {
		clear(p.counts)
		p.total = 0
	}
}
