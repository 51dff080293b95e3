package placement

import "time"

const (
	// tempoBin is the width of the ages that changes of pace are counted by: the
	// time between two reports of a backend server that is in use.
	tempoBin = 50 * time.Millisecond
	// tempoBins is the number of ages; older paces share the last one.
	tempoBins = 120
	// tempoPrior is the number of bins of exposure that the mean over all ages
	// weighs beside what was counted at one age.
	tempoPrior = 20
	// firstHazard is the probability that a pace changes within a bin, until
	// changes were counted.
	firstHazard = 0.02
	// paceStep is the ratio between two reports from which the pace has changed.
	paceStep = 1.5
)

// Tempo learns from all backend servers at which age of their pace machines turn
// slow. It answers the load in which neighbours slow a machine down right after
// a call was sent there.
type Tempo struct {
	changes  [tempoBins]float64
	exposed  [tempoBins]float64
	changed  float64
	exposure float64
}

// NewTempo returns a tempo that has seen no change.
func NewTempo() *Tempo {
	return &Tempo{}
}

// Observe counts a report of a pace that was first seen at since and last
// reported at before. Only machines that were not slow already count.
func (t *Tempo) Observe(since, before, at time.Time, old, pace float64) {
	if old > paceStep {
		return
	}
	first, last := bin(before.Sub(since)), bin(at.Sub(since))
	bins := float64(at.Sub(before)) / float64(tempoBin)
	for age := first; age <= last; age++ {
		t.exposed[age] += bins / float64(last-first+1)
	}
	t.exposure += bins
	if pace > old*paceStep {
		t.changes[last]++
		t.changed++
	}
}

// TurnsSlow returns the probability that a machine whose pace is of an age turns
// slow within a span.
func (t *Tempo) TurnsSlow(age, span time.Duration) float64 {
	kept := 1.0
	for at := age; at < age+span; at += tempoBin {
		share := min(float64(age+span-at)/float64(tempoBin), 1)
		kept *= 1 - share*t.hazard(bin(at))
	}

	return 1 - kept
}

// hazard returns the probability that a pace of this age changes within a bin.
func (t *Tempo) hazard(age int) float64 {
	mean := (t.changed + firstHazard*tempoPrior) / (t.exposure + tempoPrior)

	return min((t.changes[age]+mean*tempoPrior)/(t.exposed[age]+tempoPrior), 1)
}

// bin returns the place of an age.
func bin(age time.Duration) int {
	return min(max(int(age/tempoBin), 0), tempoBins-1)
}

// paceChanged reports whether two reports tell of different paces.
func paceChanged(old, pace float64) bool {
	return pace > old*paceStep || pace < old/paceStep
}
