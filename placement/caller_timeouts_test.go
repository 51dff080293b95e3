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
		"nothing is known of the first calls": {wait: 2 * time.Second},
		"a first attempt":                     {before: repeat(2*time.Second, 10), wait: 2 * time.Second},
		"a caller that came back":             {before: repeat(2*time.Second, 10), wait: 1600 * time.Millisecond, spent: 400 * time.Millisecond},
		"callers of two kinds": {
			before: append(repeat(2*time.Second, 10), repeat(time.Second, 10)...), wait: 900 * time.Millisecond, spent: 100 * time.Millisecond,
		},
		"a caller that waits for longer": {before: repeat(2*time.Second, 10), wait: 3 * time.Second},
		"many that came back do not hide the first attempts": {
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

// repeat returns the same time a number of times.
func repeat(wait time.Duration, times int) []time.Duration {
	list := make([]time.Duration, times)
	for i := range list {
		list[i] = wait
	}

	return list
}

// falling returns different times.
func falling(from time.Duration, times int) []time.Duration {
	list := make([]time.Duration, times)
	for i := range list {
		list[i] = from - time.Duration(i)*time.Millisecond
	}

	return list
}
