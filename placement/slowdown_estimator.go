package placement

import "time"

const (
	// paceAgeBin is the width of the ages that changes of pace are counted by: the
	// time between two reports of a backend server that is in use.
	paceAgeBin = 50 * time.Millisecond
	// paceAgeBins is the number of ages; older paces share the last one.
	paceAgeBins = 120
	// hazardPriorBins is the number of bins of exposure that the mean over all ages
	// weighs beside what was counted at one age.
	hazardPriorBins = 20
	// initialHazard is the probability that a pace changes within a bin, until
	// changes were counted.
	initialHazard = 0.02
	// paceStep is the ratio between two reports from which the pace has changed.
	paceStep = 1.5
)

// SlowdownEstimator learns from all backend servers at which age of their pace machines turn
// slow. It answers the load in which neighbours slow a machine down right after
// a call was sent there.
type SlowdownEstimator struct {
	slowdowns      [paceAgeBins]float64
	exposure       [paceAgeBins]float64
	totalSlowdowns float64
	totalExposure  float64
}

// NewSlowdownEstimator returns a tempo that has seen no change.
func NewSlowdownEstimator() *SlowdownEstimator {
	return &SlowdownEstimator{}
}

// Observe counts a report of a pace that was first seen at since and last
// reported at before. Only machines that were not slow already count.
func (e *SlowdownEstimator) Observe(since, before, at time.Time, old, pace float64) {
	if old > paceStep {
		return
	}
	first, last := ageBin(before.Sub(since)), ageBin(at.Sub(since))
	bins := float64(at.Sub(before)) / float64(paceAgeBin)
	for age := first; age <= last; age++ {
		e.exposure[age] += bins / float64(last-first+1)
	}
	e.totalExposure += bins
	if pace > old*paceStep {
		e.slowdowns[last]++
		e.totalSlowdowns++
	}
}

// Probability returns the probability that a machine whose pace is of an age turns
// slow within a span.
func (e *SlowdownEstimator) Probability(age, span time.Duration) float64 {
	survival := 1.0
	for at := age; at < age+span; at += paceAgeBin {
		share := min(float64(age+span-at)/float64(paceAgeBin), 1)
		survival *= 1 - share*e.hazard(ageBin(at))
	}

	return 1 - survival
}

// hazard returns the probability that a pace of this age changes within a bin.
func (e *SlowdownEstimator) hazard(age int) float64 {
	mean := (e.totalSlowdowns + initialHazard*hazardPriorBins) / (e.totalExposure + hazardPriorBins)

	return min((e.slowdowns[age]+mean*hazardPriorBins)/(e.exposure[age]+hazardPriorBins), 1)
}

// ageBin returns the place of an age.
func ageBin(age time.Duration) int {
	return min(max(int(age/paceAgeBin), 0), paceAgeBins-1)
}

// paceChanged reports whether two reports tell of different paces.
func paceChanged(old, pace float64) bool {
	return pace > old*paceStep || pace < old/paceStep
}
