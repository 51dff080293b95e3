package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
)

// train reports the paces of 400 machines to an estimator. Each machine slows
// down after the time that keep returns.
func train(estimator *placement.SlowdownEstimator, keep func() time.Duration) {
	const report = 50 * time.Millisecond
	for range 400 {
		quick := keep()
		since := begin
		for at := report; ; at += report {
			turned := at >= quick
			pace := 1.0
			if turned {
				pace = 7
			}
			estimator.Observe(since, begin.Add(at-report), begin.Add(at), 1, pace)
			if turned {
				break
			}
		}
	}
}

func TestSlowdownEstimator(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a test
	tests := map[string]struct {
		keep        func() time.Duration
		age, span   time.Duration
		least, most float64
	}{
		"a machine that slows down after half a second, with a recent pace": {
			keep: func() time.Duration { return 500 * time.Millisecond }, age: 50 * time.Millisecond, span: 160 * time.Millisecond, most: 0.05,
		},
		"a machine that slows down after half a second, with an old pace": {
			keep: func() time.Duration { return 500 * time.Millisecond }, age: 420 * time.Millisecond, span: 160 * time.Millisecond, least: 0.8, most: 1,
		},
		"memoryless slowdowns do not depend on the age, with a recent pace": {
			keep: func() time.Duration { return time.Duration(random.ExpFloat64() * float64(time.Second)) }, age: 50 * time.Millisecond, span: 200 * time.Millisecond, least: 0.1, most: 0.27,
		},
		"memoryless slowdowns do not depend on the age, with an old pace": {
			keep: func() time.Duration { return time.Duration(random.ExpFloat64() * float64(time.Second)) }, age: 900 * time.Millisecond, span: 200 * time.Millisecond, least: 0.1, most: 0.27,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			estimator := placement.NewSlowdownEstimator()
			train(estimator, test.keep)
			probability := estimator.Probability(test.age, test.span)
			assert.Assert(t, probability >= test.least && probability <= test.most, "%.3f", probability)
		})
	}
}

func TestSlowdownEstimatorWithoutSamples(t *testing.T) {
	probability := placement.NewSlowdownEstimator().Probability(time.Second, 200*time.Millisecond)
	assert.Assert(t, probability > 0 && probability < 0.2, "%.3f", probability)
}
