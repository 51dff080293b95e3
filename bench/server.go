package bench

import (
	"math/rand/v2"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// speeds are the factors by which the service time is stretched, each as likely
// as it stands here often.
var speeds = []int{1, 1, 1, 1, 1, 1, 1, 3, 3, 10}

// server is a simulated backend server. Attempts beyond its slots wait in their
// order.
type server struct {
	settings schema.PoliciesSettings
	shifts   *rand.Rand
	factor   int
	shiftAt  time.Time
	running  int
	waiting  []*job
}

// newServer returns an idle backend server at normal speed. Its speed depends on
// the seed and the time alone, so that every policy meets the same.
func newServer(settings schema.PoliciesSettings, seed, index uint64) *server {
	return &server{
		settings: settings,
		shifts:   rand.New(rand.NewPCG(seed, index)), //nolint:gosec // a simulation
		factor:   1,
		shiftAt:  start,
	}
}

// duration draws how long an attempt that starts now takes.
func (s *server) duration(now time.Time, random *rand.Rand) time.Duration {
	for !now.Before(s.shiftAt) {
		s.factor = speeds[s.shifts.IntN(len(speeds))]
		s.shiftAt = s.shiftAt.Add(time.Duration(float64(s.settings.ShiftInterval) * s.shifts.ExpFloat64()))
	}
	mean := float64(s.settings.ServiceTime) * float64(s.factor)

	return time.Duration(mean * (0.5 + 0.5*random.ExpFloat64()))
}

// admit takes a slot for an attempt or lets it wait, and reports whether it runs.
func (s *server) admit(j *job) bool {
	if s.running >= s.settings.Slots {
		s.waiting = append(s.waiting, j)

		return false
	}
	s.running++
	j.running = true

	return true
}

// release frees a slot and returns the attempt that runs next, or nil.
func (s *server) release() *job {
	s.running--
	for len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.gone && s.admit(next) {
			return next
		}
	}

	return nil
}
