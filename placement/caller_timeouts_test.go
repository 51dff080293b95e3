package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
)

func TestCallerTimeouts(t *testing.T) {
	tests := map[string]struct {
		before []time.Duration
		wait   time.Duration
		spent  time.Duration
	}{
		"no calls observed yet": {wait: 2 * time.Second},
		"a first attempt":       {before: repeat(2*time.Second, 10), wait: 2 * time.Second},
		"a retry by a caller":   {before: repeat(2*time.Second, 10), wait: 1600 * time.Millisecond, spent: 400 * time.Millisecond},
		"first attempts with two timeouts": {
			before: append(repeat(2*time.Second, 10), repeat(time.Second, 10)...), wait: 900 * time.Millisecond, spent: 100 * time.Millisecond,
		},
		"a longer timeout than that of first attempts": {before: repeat(2*time.Second, 10), wait: 3 * time.Second},
		"many retries do not hide the first attempts": {
			before: append(repeat(2*time.Second, 30), falling(1900*time.Millisecond, 100)...), wait: 1500*time.Millisecond + 1, spent: 500*time.Millisecond - 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			timeouts := placement.NewCallerTimeouts()
			for _, wait := range test.before {
				timeouts.Elapsed(wait)
			}
			assert.Equal(t, timeouts.Elapsed(test.wait), test.spent)
		})
	}
}

// repeat returns a list of equal timeouts.
func repeat(wait time.Duration, times int) []time.Duration {
	list := make([]time.Duration, times)
	for i := range list {
		list[i] = wait
	}

	return list
}

// falling returns a list of different timeouts, each 1 ms shorter than the one
// before.
func falling(from time.Duration, times int) []time.Duration {
	list := make([]time.Duration, times)
	for i := range list {
		list[i] = from - time.Duration(i)*time.Millisecond
	}

	return list
}
