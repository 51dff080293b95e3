package backend

import (
	"math"
	"time"
)

const (
	// budgetShare is the number of extra attempts that each call adds to the
	// budget.
	budgetShare = 0.03
	// budgetBurst bounds the unspent extra attempts.
	budgetBurst = 50
	// retryFloor is the number of retries per second that are permitted in
	// addition to the share.
	retryFloor = 20
	// retryFloorBurst bounds the unspent retries of the floor.
	retryFloorBurst = 100
)

// Budget is the retry and hedge budget of a cell. Hedges and retries spend a
// share of the calls; retries may also spend a fixed rate, the floor.
type Budget struct {
	// Calls counts the calls that added to the budget.
	Calls int
	// Hedges counts the hedges that were permitted.
	Hedges int
	// Retries counts the retries that were permitted.
	Retries int

	share    float64
	floor    float64
	refilled time.Time
}

// NewBudget returns a budget with a full floor and an empty share.
func NewBudget(now time.Time) *Budget {
	return &Budget{floor: retryFloorBurst, refilled: now}
}

// Earn adds the share of one call to the budget.
func (b *Budget) Earn() {
	b.Calls++
	b.share = math.Min(b.share+budgetShare, budgetBurst)
}

// Hedge reports whether a hedge is permitted and, if so, spends it.
func (b *Budget) Hedge() bool {
	if b.share < 1 {
		return false
	}
	b.share--
	b.Hedges++

	return true
}

// Retry reports whether a retry is permitted and, if so, spends it.
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
