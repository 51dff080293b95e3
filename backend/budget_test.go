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
		"no hedges before any call":            {spend: hedge, want: 0},
		"hedges for 3% of calls":               {calls: 1001, spend: hedge, want: 30},
		"unspent hedges are bounded":           {calls: 100_000, spend: hedge, want: 50},
		"retries of the floor at the start":    {spend: retry, want: 100},
		"retries of the floor and 3% of calls": {calls: 1001, spend: retry, want: 130},
		"unspent retries are bounded":          {elapsed: time.Hour, spend: retry, want: 100},
		"hedges have no floor":                 {elapsed: time.Hour, spend: hedge, want: 0},
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

// hedge spends a hedge from the budget.
func hedge(b *backend.Budget, _ time.Time) bool { return b.Hedge() }

// retry spends a retry from the budget.
func retry(b *backend.Budget, now time.Time) bool { return b.Retry(now) }
