package placement

import "time"

const (
	// freshCount is the number of calls with the same time to wait from which it is
	// taken to be that of first attempts.
	freshCount = 4
	// freshShare is the share of a route's calls that state it at least.
	freshShare = 0.1
	// patienceEntries bounds the times that are counted. Those of callers that come
	// back are nearly all different.
	patienceEntries = 64
	// patienceMemory is the number of calls after which all counts are halved.
	patienceMemory = 512
)

// Patience learns how long the callers of a route wait when they first call.
// Callers that come back state what is left of that, so what is missing is the
// time since their first attempt.
type Patience struct {
	counts map[time.Duration]int
	total  int
}

// NewPatience returns a patience that has seen no call.
func NewPatience() *Patience {
	return &Patience{counts: map[time.Duration]int{}}
}

// Spent counts a call whose caller waits for so long and returns the time since
// that caller's first attempt, as far as it can be told.
func (p *Patience) Spent(wait time.Duration) time.Duration {
	p.count(wait)
	if p.fresh(wait) {
		return 0
	}
	spent := time.Duration(0)
	for known := range p.counts {
		if known > wait && p.fresh(known) && (spent == 0 || known-wait < spent) {
			spent = known - wait
		}
	}

	return spent
}

// fresh reports whether first attempts state this time.
func (p *Patience) fresh(wait time.Duration) bool {
	count := p.counts[wait]

	return count >= freshCount && float64(count) >= freshShare*float64(p.total)
}

// count counts a call.
func (p *Patience) count(wait time.Duration) {
	if _, known := p.counts[wait]; !known && len(p.counts) >= patienceEntries {
		p.forget()
	}
	p.counts[wait]++
	p.total++
	if p.total < patienceMemory {
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
func (p *Patience) forget() {
	for known, count := range p.counts {
		if count < 2 {
			delete(p.counts, known)
			p.total -= count
		}
	}
	if len(p.counts) >= patienceEntries {
		clear(p.counts)
		p.total = 0
	}
}
