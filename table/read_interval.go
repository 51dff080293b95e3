package table

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReadsPerSecond bounds the reads in a second of all hosts together for the
	// configuration and the list of hosts.
	maxReadsPerSecond = 200
	// readsPerRound is the number of reads of one host at each interval.
	readsPerRound = 2
	// jitterFraction is the largest part of an interval that jitter adds.
	jitterFraction = 0.1
)

// ReadInterval returns the time until a host's next round of reads: at least the
// wanted interval, longer if so many hosts would exceed the budget, and with
// jitter.
func ReadInterval(configured time.Duration, hosts int, random *rand.Rand) time.Duration {
	minimum := time.Duration(hosts*readsPerRound) * time.Second / maxReadsPerSecond
	interval := max(configured, minimum)

	return interval + time.Duration(random.Float64()*jitterFraction*float64(interval))
}
