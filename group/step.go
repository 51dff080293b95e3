package group

import (
	"sync/atomic"
	"time"
)

// clockBase is the origin of the times that steps store. The difference of two readings does
// not depend on the time of day, which may jump.
var clockBase = time.Now()

// Step measures for how long a duty has been busy with its current step. The duty begins and
// ends steps, and any goroutine may read the measurement. The zero value measures no step.
type Step struct{ beganAt atomic.Int64 }

// Begin starts the measurement of a step.
func (s *Step) Begin() {
	s.beganAt.Store(int64(time.Since(clockBase)))
}

// End ends the measurement.
func (s *Step) End() {
	s.beganAt.Store(0)
}

// InProgress returns for how long the current step has lasted, or 0 between steps.
func (s *Step) InProgress() time.Duration {
	beganAt := s.beganAt.Load()
	if beganAt == 0 {
		return 0
	}

	return time.Since(clockBase) - time.Duration(beganAt)
}
