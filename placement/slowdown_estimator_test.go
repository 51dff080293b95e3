package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/placement"
)

// train lets a tempo see machines that keep each pace for a drawn time.
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
		"a machine that keeps its pace for half a second has just begun": {
			keep: func() time.Duration { return 500 * time.Millisecond }, age: 50 * time.Millisecond, span: 160 * time.Millisecond, most: 0.05,
		},
		"its time is nearly over": {
			keep: func() time.Duration { return 500 * time.Millisecond }, age: 420 * time.Millisecond, span: 160 * time.Millisecond, least: 0.8, most: 1,
		},
		"without memory, age says nothing when young": {
			keep: func() time.Duration { return time.Duration(random.ExpFloat64() * float64(time.Second)) }, age: 50 * time.Millisecond, span: 200 * time.Millisecond, least: 0.1, most: 0.27,
		},
		"without memory, age says nothing when old": {
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
