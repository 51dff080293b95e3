package placement

import "time"

const (
	// budgetBuckets is the number of buckets that the window of the retry
	// budget is divided into.
	budgetBuckets = 10
	// budgetMargin is the share of the retry budget that is used, because hosts
	// and backend servers count the same attempt in windows that end at
	// different times.
	budgetMargin = 0.85
	// hedgeShare is the share of the retry budget that hedges may use; the rest
	// is reserved for retries of failed calls.
	hedgeShare = 0.8
	// scarceShare is the share of the earned retries and hedges below which the
	// remaining ones count as scarce.
	scarceShare = 0.5
)

// Budget is the retry budget of one service: it bounds all attempts of a call
// after the first, both retries and hedges.
type Budget struct {
	// Ratio is the number of retries and hedges that each call earns.
	Ratio float64
	// Slack is the number of retries and hedges in one window that all hosts
	// together may make beyond the ratio.
	Slack float64
	// Window is the period over which retries and hedges are counted.
	Window time.Duration
}

// budget bounds the retries and hedges for one service in any window. Each host
// earns them by the calls that it receives itself, so the total of all hosts
// stays within the ratio without coordination. A restarted host has no share of
// the slack for one window, in which the attempts of its predecessor still
// count.
type budget struct {
	limits Budget

	calls         [budgetBuckets]int
	repeats       [budgetBuckets]int
	currentBucket int64
	origin        time.Time
}

// newBudget returns the unused budget of a host that started at startedAt.
func newBudget(agreed Budget, startedAt time.Time) *budget {
	made := &budget{origin: startedAt}
	made.adopt(agreed)

	return made
}

// adopt replaces the limits, reduced by budgetMargin.
func (b *budget) adopt(agreed Budget) {
	b.limits = Budget{
		Ratio: agreed.Ratio * budgetMargin, Slack: agreed.Slack * budgetMargin,
		Window: max(agreed.Window, budgetBuckets*time.Millisecond),
	}
}

// rotate clears the buckets that have left the window and returns the index of
// the current one.
func (b *budget) rotate(now time.Time) int {
	current := int64(now.Sub(b.origin) / (b.limits.Window / budgetBuckets))
	for b.currentBucket < current {
		b.currentBucket = max(b.currentBucket+1, current-budgetBuckets)
		b.calls[b.currentBucket%budgetBuckets], b.repeats[b.currentBucket%budgetBuckets] = 0, 0
	}

	return int(b.currentBucket % budgetBuckets)
}

// countCall counts a call that arrived from a caller.
func (b *budget) countCall(now time.Time) {
	b.calls[b.rotate(now)]++
}

// remaining returns the number of retries and hedges that this host may still
// make. The hosts share the slack equally.
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

// takeRetry takes a retry from the budget and reports whether one was left.
func (b *budget) takeRetry(now time.Time, hosts int) bool {
	if b.remaining(now, hosts) < 1 {
		return false
	}
	b.repeats[b.rotate(now)]++

	return true
}

// earned returns the number of retries and hedges earned by the calls in the
// window.
func (b *budget) earned() float64 {
	earned := 0.0
	for i := range budgetBuckets {
		earned += b.limits.Ratio * float64(b.calls[i])
	}

	return earned
}

// scarce reports whether few retries and hedges are left.
func (b *budget) scarce(now time.Time, hosts int) bool {
	return b.remaining(now, hosts) < 1+scarceShare*b.earned()
}

// allowsHedge reports whether enough is left for a hedge.
func (b *budget) allowsHedge(now time.Time, hosts int) bool {
	return b.remaining(now, hosts) >= 1+(1-hedgeShare)*b.earned()
}

// takeHedge takes a hedge from the budget and reports whether enough was left.
func (b *budget) takeHedge(now time.Time, hosts int) bool {
	if !b.allowsHedge(now, hosts) {
		return false
	}
	b.repeats[b.rotate(now)]++

	return true
}
