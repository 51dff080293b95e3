package placement

import "time"

const (
	// budgetBuckets is the number of parts that a window of the retry budget is
	// counted in.
	budgetBuckets = 10
	// budgetMargin is the share of the retry budget that is used, because hosts and
	// backend servers count the same send in windows that end at different times.
	budgetMargin = 0.85
	// hedgeShare is the share of the retry budget that second sends of slow calls
	// may use; the rest is left for failed ones.
	hedgeShare = 0.8
	// scarceShare is the share of the earned repeated sends below which those left
	// count as few.
	scarceShare = 0.5
)

// Budget is what was agreed on repeated sends to one service.
type Budget struct {
	// Ratio is the number of repeated sends that each call earns.
	Ratio float64
	// Slack is the number of repeated sends in one window that all hosts together
	// may make beyond the ratio.
	Slack float64
	// Window is the span over which repeated sends are counted.
	Window time.Duration
}

// budget bounds the repeated sends to one service in any window. Each host
// earns by the calls that it receives itself, so the sum over all hosts stays
// within the ratio without any agreement. A new incarnation has no share of the
// slack for one window, in which the sends of the one before it still count.
type budget struct {
	limits Budget

	calls         [budgetBuckets]int
	repeats       [budgetBuckets]int
	currentBucket int64
	origin        time.Time
}

// newBudget returns the unused budget of a host that began at a time.
func newBudget(agreed Budget, startedAt time.Time) *budget {
	made := &budget{origin: startedAt}
	made.adopt(agreed)

	return made
}

// adopt changes what was agreed.
func (b *budget) adopt(agreed Budget) {
	b.limits = Budget{
		Ratio: agreed.Ratio * budgetMargin, Slack: agreed.Slack * budgetMargin,
		Window: max(agreed.Window, budgetBuckets*time.Millisecond),
	}
}

// rotate clears the buckets that have left the window.
func (b *budget) rotate(now time.Time) int {
	current := int64(now.Sub(b.origin) / (b.limits.Window / budgetBuckets))
	for b.currentBucket < current {
		b.currentBucket = max(b.currentBucket+1, current-budgetBuckets)
		b.calls[b.currentBucket%budgetBuckets], b.repeats[b.currentBucket%budgetBuckets] = 0, 0
	}

	return int(b.currentBucket % budgetBuckets)
}

// countCall counts a caller's call.
func (b *budget) countCall(now time.Time) {
	b.calls[b.rotate(now)]++
}

// remaining returns the number of repeated sends that this host may still make,
// where hosts share the slack.
func (b *budget) remaining(now time.Time, hosts int) float64 {
	b.rotate(now)
	left := 0.0
	if now.Sub(b.origin) >= b.limits.Window {
		left = b.limits.Slack / float64(max(hosts, 1))
	}
	for i := range budgetBuckets {
		left += b.limits.Ratio*float64(b.calls[i]) - float64(b.repeats[i])
	}

	return left
}

// takeRetry takes a repeated send of a failed call, if there is one left.
func (b *budget) takeRetry(now time.Time, hosts int) bool {
	if b.remaining(now, hosts) < 1 {
		return false
	}
	b.repeats[b.rotate(now)]++

	return true
}

// earned returns the number of repeated sends that the calls in the window
// earned.
func (b *budget) earned() float64 {
	earned := 0.0
	for i := range budgetBuckets {
		earned += b.limits.Ratio * float64(b.calls[i])
	}

	return earned
}

// scarce reports whether few repeated sends are left.
func (b *budget) scarce(now time.Time, hosts int) bool {
	return b.remaining(now, hosts) < 1+scarceShare*b.earned()
}

// takeHedge takes a repeated send of a slow call, if enough are left.
func (b *budget) takeHedge(now time.Time, hosts int) bool {
	if b.remaining(now, hosts) < 1+(1-hedgeShare)*b.earned() {
		return false
	}
	b.repeats[b.rotate(now)]++

	return true
}
