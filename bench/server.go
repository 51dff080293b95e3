package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// slowdownFactors are the possible multipliers of the service time. One entry
// is drawn uniformly, so repeated values are more likely.
var slowdownFactors = []int{1, 1, 1, 1, 1, 1, 1, 3, 3, 10}

const (
	// coldSlots is the number of concurrent attempts that a cold backend server
	// runs at normal speed.
	coldSlots = 1
	// coldLimit is the number of concurrent attempts above which a cold backend
	// server is overloaded and goes down.
	coldLimit = 2
	// coldFactor multiplies the service time of a cold backend server above
	// coldSlots.
	coldFactor = 3
	// coldTime is how long a backend server stays cold.
	coldTime = 2 * time.Second
	// downtime is how long a backend server stays down after an overload.
	downtime = 500 * time.Millisecond
)

// server is a simulated backend server. Attempts beyond its slots wait in order
// of arrival.
type server struct {
	settings  schema.PoliciesSettings
	shifts    *rand.Rand
	slowdown  int
	shiftAt   time.Time
	coldUntil time.Time
	downUntil time.Time
	fellOver  int
	running   []*job
	waiting   []*job
}

// newServer returns an idle backend server at normal speed. Its speed depends
// only on the seed and the time, so that it is the same for every policy.
func newServer(settings schema.PoliciesSettings, seed, index uint64) *server {
	return &server{
		settings: settings,
		shifts:   rand.New(rand.NewPCG(seed, index)), //nolint:gosec // a simulation
		slowdown: 1,
		shiftAt:  start,
	}
}

// duration draws a random service time for an attempt that starts now.
func (s *server) duration(now time.Time, random *rand.Rand) time.Duration {
	for !now.Before(s.shiftAt) {
		s.slowdown = slowdownFactors[s.shifts.IntN(len(slowdownFactors))]
		s.shiftAt = s.shiftAt.Add(time.Duration(float64(s.settings.ShiftInterval) * s.shifts.ExpFloat64()))
	}
	mean := float64(s.settings.ServiceTime) * float64(s.slowdown)
	if now.Before(s.coldUntil) && len(s.running) > coldSlots {
		mean *= coldFactor
	}

	return time.Duration(mean * (0.5 + 0.5*random.ExpFloat64()))
}

// turnCold makes the backend server cold for coldTime. The pools get no notice.
func (s *server) turnCold(now time.Time) {
	s.coldUntil = now.Add(coldTime)
}

// admit gives an attempt a slot or queues it, and reports whether it runs.
func (s *server) admit(j *job) bool {
	if len(s.running) >= s.settings.Slots {
		s.waiting = append(s.waiting, j)

		return false
	}
	s.running = append(s.running, j)

	return true
}

// cutAttempts removes and returns all attempts if the backend server is down or
// has just been overloaded while cold.
func (s *server) cutAttempts(now time.Time) []*job {
	overloaded := now.Before(s.coldUntil) && len(s.running) > coldLimit
	if overloaded && !now.Before(s.downUntil) {
		s.downUntil = now.Add(downtime)
		s.fellOver++
	}
	if !now.Before(s.downUntil) {
		return nil
	}
	cut := slices.Concat(s.running, s.waiting)
	s.running, s.waiting = nil, nil

	return cut
}

// release frees the slot of an attempt, if it has one, and returns the waiting
// attempt that runs next, or nil.
func (s *server) release(j *job) *job {
	slot := slices.Index(s.running, j)
	if slot < 0 {
		return nil
	}
	s.running = slices.Delete(s.running, slot, slot+1)
	for len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.ended && s.admit(next) {
			return next
		}
	}

	return nil
}
