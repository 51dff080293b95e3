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
	// jitterShare is the largest part of an interval that jitter adds.
	jitterShare = 0.1
)

// ReadInterval returns the time until a host's next round of reads: at least the
// wanted interval, longer if so many hosts would exceed the budget, and with
// jitter.
func ReadInterval(wanted time.Duration, hosts int, random *rand.Rand) time.Duration {
	least := time.Duration(hosts*readsPerRound) * time.Second / maxReadsPerSecond
	interval := max(wanted, least)

	return interval + time.Duration(random.Float64()*jitterShare*float64(interval))
}
