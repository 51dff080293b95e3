package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
)

func TestBudgetIsNeverExceeded(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		calls   int
		elapsed time.Duration
		spend   func(b *backend.Budget, now time.Time) bool
		want    int
	}{
		"hedges have nothing at first":            {spend: hedge, want: 0},
		"hedges have 3% of calls":                 {calls: 1001, spend: hedge, want: 30},
		"hedges save up a bounded number":         {calls: 100_000, spend: hedge, want: 50},
		"retries have the floor at first":         {spend: retry, want: 100},
		"retries have the floor and 3% of calls":  {calls: 1001, spend: retry, want: 130},
		"the floor saves up a bounded number":     {elapsed: time.Hour, spend: retry, want: 100},
		"the floor of hedges is nothing for ever": {elapsed: time.Hour, spend: hedge, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			budget := backend.NewBudget(start)
			for range test.calls {
				budget.Earn()
			}
			spent := 0
			for test.spend(budget, start.Add(test.elapsed)) {
				spent++
			}
			assert.Equal(t, spent, test.want)
			assert.Equal(t, budget.Hedges+budget.Retries, test.want)
		})
	}
}

// hedge spends one hedge.
func hedge(b *backend.Budget, _ time.Time) bool { return b.Hedge() }

// retry spends one retry.
func retry(b *backend.Budget, now time.Time) bool { return b.Retry(now) }
