package backend

import (
	"math"
	"time"
)

const (
	// budgetShare is the share of calls that may have one more attempt.
	budgetShare = 0.03
	// budgetBurst bounds the unspent further attempts.
	budgetBurst = 50
	// retryFloor is the number of retries in a second beyond the share.
	retryFloor = 20
	// retryFloorBurst bounds the unspent retries beyond the share.
	retryFloorBurst = 100
)

// Budget bounds the attempts of a cell beyond the first of each call. Hedges
// and retries spend the share; retries alone may also spend the floor.
type Budget struct {
	// Calls counts the calls that earned a share.
	Calls int
	// Hedges counts the hedges.
	Hedges int
	// Retries counts the retries.
	Retries int

	share    float64
	floor    float64
	refilled time.Time
}

// NewBudget returns a budget whose share must be earned first.
func NewBudget(now time.Time) *Budget {
	return &Budget{floor: retryFloorBurst, refilled: now}
}

// Earn adds the share of one call.
func (b *Budget) Earn() {
	b.Calls++
	b.share = math.Min(b.share+budgetShare, budgetBurst)
}

// Hedge spends one hedge, or returns false.
func (b *Budget) Hedge() bool {
	if b.share < 1 {
		return false
	}
	b.share--
	b.Hedges++

	return true
}

// Retry spends one retry, or returns false.
func (b *Budget) Retry(now time.Time) bool {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.floor = math.Min(b.floor+retryFloor*elapsed.Seconds(), retryFloorBurst)
		b.refilled = now
	}
	switch {
	case b.floor >= 1:
		b.floor--
	case b.share >= 1:
		b.share--
	default:
		return false
	}
	b.Retries++

	return true
}
