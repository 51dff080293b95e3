package placement

import "time"

const (
	// paceAgeBin is the width of an age bin: the time between two reports of a
	// backend server that is in use.
	paceAgeBin = 50 * time.Millisecond
	// paceAgeBins is the number of age bins. All older paces share the last
	// one.
	paceAgeBins = 120
	// hazardPriorBins is the weight of the mean hazard over all ages, in bins
	// of exposure, against the observations at one age.
	hazardPriorBins = 20
	// initialHazard is the probability that a machine slows down within a bin,
	// until slowdowns have been observed.
	initialHazard = 0.02
	// paceStep is the ratio of two reported paces above which the pace has
	// changed, and the pace above which a machine counts as slow.
	paceStep = 1.5
)

// SlowdownEstimator estimates the probability that a machine slows down, by the
// age of its current pace. It learns from all backend servers. It guards
// against neighbours that slow a machine down right after a call was sent
// there.
type SlowdownEstimator struct {
	slowdowns      [paceAgeBins]float64
	exposure       [paceAgeBins]float64
	totalSlowdowns float64
	totalExposure  float64
}

// NewSlowdownEstimator returns an estimator without observations.
func NewSlowdownEstimator() *SlowdownEstimator {
	return &SlowdownEstimator{}
}

// Observe adds a report of pace, measured at the given time. The previous
// report had the pace old, which was first reported at since and last at
// before. Machines that were slow already are not counted.
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

// Probability returns the probability that a machine whose pace has the given
// age slows down within a span.
func (e *SlowdownEstimator) Probability(age, span time.Duration) float64 {
	survival := 1.0
	for at := age; at < age+span; at += paceAgeBin {
		share := min(float64(age+span-at)/float64(paceAgeBin), 1)
		survival *= 1 - share*e.hazard(ageBin(at))
	}

	return 1 - survival
}

// hazard returns the probability that a machine slows down within a bin, for a
// pace in the given age bin.
func (e *SlowdownEstimator) hazard(age int) float64 {
	mean := (e.totalSlowdowns + initialHazard*hazardPriorBins) / (e.totalExposure + hazardPriorBins)

	return min((e.slowdowns[age]+mean*hazardPriorBins)/(e.exposure[age]+hazardPriorBins), 1)
}

// ageBin returns the bin of an age.
func ageBin(age time.Duration) int {
	return min(max(int(age/paceAgeBin), 0), paceAgeBins-1)
}

// paceChanged reports whether two reported paces differ by more than a factor
// of paceStep.
func paceChanged(old, pace float64) bool {
	return pace > old*paceStep || pace < old/paceStep
}
