package table

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReadsPerSecond is the budget of reads per second that all hosts share for
	// the configuration and the list of hosts.
	maxReadsPerSecond = 200
	// readsPerRound is the number of reads that a host makes in each interval.
	readsPerRound = 2
	// jitterFraction is the largest jitter as a fraction of the interval.
	jitterFraction = 0.1
)

// ReadInterval returns the time until a host's next round of reads: the configured
// interval, or a longer one if the hosts together would exceed the budget of
// reads, plus jitter.
func ReadInterval(configured time.Duration, hosts int, random *rand.Rand) time.Duration {
	minimum := time.Duration(hosts*readsPerRound) * time.Second / maxReadsPerSecond
	interval := max(configured, minimum)

	return interval + time.Duration(random.Float64()*jitterFraction*float64(interval))
}
