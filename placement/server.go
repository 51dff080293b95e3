package placement

import (
	"math"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// paceTimeConstant is the time in which the weight of a reported pace falls
	// to 37%; the usual pace of the backend server takes up the rest.
	paceTimeConstant = 400 * time.Millisecond
	// usualPaceWeight is the weight of the newest report in the smoothed usual
	// pace.
	usualPaceWeight = 0.02
	// estimateWeight is the weight of the newest answer in a pace that is
	// estimated from the durations of answers, because the work of calls
	// varies.
	estimateWeight = 0.4
	// initialUsualPace is the usual pace before the first report.
	initialUsualPace = 1.5
	// paceHold is the shortest time for which the current pace is expected to
	// last.
	paceHold = 250 * time.Millisecond
	// unknownPaceAge is the age that is assumed for a pace whose last change is
	// unknown. It falls into the bin that all older paces share.
	unknownPaceAge = paceAgeBins * paceAgeBin
	// coldPaceFactor is how many times longer work takes on a cold backend
	// server that does not report its pace.
	coldPaceFactor = 2
	// remoteInFlightTTL is how long the attempts in flight that another host
	// reported are counted after the report.
	remoteInFlightTTL = 600 * time.Millisecond
	// failureWeight is the weight of the newest result in the failure ratio.
	failureWeight = 0.25
	// failureTimeConstant is the time in which a failure ratio decays to 37%.
	failureTimeConstant = 3 * time.Second
	// ejectStreak is the number of consecutive failures that ejects a backend
	// server.
	ejectStreak = 3
	// ejectRatio is the failure ratio that ejects a backend server.
	ejectRatio = 0.6
	// baseEjection is the duration of the first ejection. It doubles with each
	// further ejection without a successful answer in between.
	baseEjection = 400 * time.Millisecond
	// maxEjection bounds the duration of an ejection.
	maxEjection = 3200 * time.Millisecond
)

// Server is the state of one backend server as this host knows it: its reported
// load, the attempts in flight there and its recent failures.
type Server struct {
	schema.Registration
	// Pace is the reported or estimated pace, or 0 if there is none.
	Pace float64
	// PaceMeasuredAt is when Pace was measured.
	PaceMeasuredAt time.Time
	// PaceChangedAt is when the pace last changed by more than a factor of
	// paceStep, or zero if no change was observed.
	PaceChangedAt time.Time
	// UsualPace is the smoothed pace.
	UsualPace float64
	// InFlight is the number of this host's attempts in flight there.
	InFlight int
	// ColdUntil is when the backend server stops being cold.
	ColdUntil time.Time
	// SentAt is when this host last sent a call there.
	SentAt time.Time
	// Failures is the smoothed share of calls that failed there, as of
	// FailedAt.
	Failures float64
	// FailedAt is when Failures was last updated.
	FailedAt time.Time
	// EjectedUntil is when the ejection ends.
	EjectedUntil time.Time
	// Unreported says that the backend server does not report its load, so that
	// its pace is estimated from the durations of answers.
	Unreported bool
	// Overdue is how long its slowest attempt in flight has taken so far,
	// relative to the usual work. It is only set if the load is not reported.
	Overdue float64
	// LeavingSince is when the backend server said that it is leaving, or zero.
	LeavingSince time.Time
	// PausedUntil is when the pause ends that the backend server asked for.
	PausedUntil time.Time
	// Measured says that this host is responsible for probing the backend
	// server.
	Measured bool
	// Withheld says that a rollout keeps this host's calls from the backend server.
	Withheld bool
	// Unreachable says that it was ejected because no request could be sent to
	// it or probes were not answered.
	Unreachable bool

	contention       *Contention
	failureStreak    int
	ejections        int
	inFlightByHost   map[string]remoteInFlight
	probeInFlight    bool
	probedAt         time.Time
	probeMisses      int
	remoteMeasuredAt time.Time
	probeAnsweredAt  time.Time
}

// remoteInFlight is the number of attempts in flight at a backend server that
// another host reported.
type remoteInFlight struct {
	inFlight   int
	receivedAt time.Time
}

// newServer returns the state of a backend server that has registered for a
// service.
func newServer(now time.Time, registration schema.Registration, of *service) *Server {
	return &Server{
		Registration:   registration,
		UsualPace:      initialUsualPace,
		ColdUntil:      now.Add(time.Duration(registration.ColdLeftMs) * time.Millisecond),
		contention:     &of.contention,
		inFlightByHost: map[string]remoteInFlight{},
	}
}

// Cold reports whether the backend server accepts only a limited rate of calls
// because it started recently, or may have.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// suspectCold marks the backend server as cold for the time that its service
// declares, until a probe reports its state.
func (s *Server) suspectCold(now time.Time, rule schema.ServiceRule) {
	if until := now.Add(time.Duration(rule.ColdMs) * time.Millisecond); until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
}

// Ejected reports whether the backend server is excluded because of failures.
func (s *Server) Ejected(now time.Time) bool {
	return now.Before(s.EjectedUntil)
}

// usable reports whether the backend server may be sent calls when a slot is
// free.
func (s *Server) usable(now time.Time) bool {
	return !s.Withheld && s.takesCalls(now)
}

// takesCalls is usable without regard to rollouts.
func (s *Server) takesCalls(now time.Time) bool {
	return !s.Draining && s.Slots > 0 && !s.Ejected(now) && !s.Leaving() && !s.Paused(now)
}

// TotalInFlight returns the number of attempts in flight there, of all hosts.
func (s *Server) TotalInFlight(now time.Time) int {
	taken := s.InFlight
	for _, other := range s.inFlightByHost {
		if now.Sub(other.receivedAt) < remoteInFlightTTL {
			taken += other.inFlight
		}
	}

	return taken
}

// PaceNow returns the pace to expect now. The weight of a report falls with its
// age in favour of the usual pace.
func (s *Server) PaceNow(now time.Time) float64 {
	if s.Pace == 0 {
		return max(s.UsualPace, s.Overdue)
	}
	weight := math.Exp(-float64(now.Sub(s.PaceMeasuredAt)) / float64(paceTimeConstant))

	return max(s.Pace*weight+s.UsualPace*(1-weight), s.Overdue)
}

// SlotLimit returns the number of slots to use at most. The last slots are left
// free if a full backend server gets less done.
func (s *Server) SlotLimit() int {
	return s.contention.SlotLimit(s.Slots)
}

// contends reports whether the given number of attempts may slow each other
// down.
func (s *Server) contends(running int) bool {
	return float64(running) > contentionThreshold*float64(s.Slots)
}

// loadedPace returns the pace to expect now with the given number of attempts
// in flight.
func (s *Server) loadedPace(now time.Time, running int) float64 {
	pace := s.PaceNow(now)
	if s.Cold(now) && s.Pace == 0 {
		pace *= coldPaceFactor
	}
	if s.contends(running) {
		pace *= s.contention.Factor()
	}

	return pace
}

// Expected returns the expected time until a call of the given work is answered
// if it is sent now, and the probability that the machine slows down before
// that.
func (s *Server) Expected(now time.Time, work time.Duration, slowdowns *SlowdownEstimator) (time.Duration, float64) {
	taken := s.TotalInFlight(now)
	pace := s.loadedPace(now, taken+1)
	queued := max(taken+1-s.SlotLimit(), 0)
	wait := float64(queued) * float64(work) * pace / float64(s.SlotLimit())
	duration, slowdownRisk := s.duration(now, work, pace, slowdowns)

	return time.Duration(wait) + duration, slowdownRisk
}

// duration returns the time that work takes from now on at the given pace, and
// the probability that the machine slows down before the work is done. The
// probability is 0 if the machine is slow already or its pace is unknown.
func (s *Server) duration(now time.Time, work time.Duration, pace float64, slowdowns *SlowdownEstimator) (time.Duration, float64) {
	expected := s.workDuration(work, pace)
	if s.Pace == 0 || s.Pace > paceStep {
		return expected, 0
	}
	age := unknownPaceAge
	if !s.PaceChangedAt.IsZero() {
		age = now.Sub(s.PaceChangedAt)
	}

	return expected, slowdowns.Probability(age, expected)
}

// workDuration returns the time that work takes if the given pace lasts for
// paceHold and the better of it and the usual pace applies after that. A slow
// machine may recover at any time, but no earlier recovery is relied on.
func (s *Server) workDuration(work time.Duration, pace float64) time.Duration {
	whole := time.Duration(float64(work) * pace)
	if whole <= paceHold {
		return whole
	}
	rest := float64(work) - float64(paceHold)/pace

	return paceHold + time.Duration(rest*min(pace, s.UsualPace))
}

// updatePace applies a pace that was measured at the given time. Measurements
// older than the current one are ignored.
func (s *Server) updatePace(at time.Time, pace float64, slowdowns *SlowdownEstimator) {
	if pace <= 0 || at.Before(s.PaceMeasuredAt) {
		return
	}
	if s.Pace > 0 && !s.PaceChangedAt.IsZero() {
		slowdowns.Observe(s.PaceChangedAt, s.PaceMeasuredAt, at, s.Pace, pace)
	}
	if s.Pace > 0 && paceChanged(s.Pace, pace) {
		s.PaceChangedAt = at
	}
	s.Pace, s.PaceMeasuredAt, s.Unreported, s.Overdue = pace, at, false, 0
	s.UsualPace += usualPaceWeight * (pace - s.UsualPace)
}

// estimatePace updates the pace of a backend server that does not report it,
// from the ratio of an answer's duration to the usual work.
func (s *Server) estimatePace(now time.Time, ratio float64) {
	s.Unreported = true
	if s.Pace == 0 {
		s.Pace = ratio
	}
	s.Pace += estimateWeight * (ratio - s.Pace)
	s.PaceMeasuredAt = now
	s.UsualPace += usualPaceWeight * (ratio - s.UsualPace)
}

// FailureRatio returns the share of calls that are expected to fail. It decays
// with the time since the last result.
func (s *Server) FailureRatio(now time.Time) float64 {
	return s.Failures * math.Exp(-float64(now.Sub(s.FailedAt))/float64(failureTimeConstant))
}

// recordSuccess records a successful answer and resets the streaks of failures
// and of ejections.
func (s *Server) recordSuccess(now time.Time) {
	s.Failures, s.FailedAt = s.FailureRatio(now)*(1-failureWeight), now
	s.failureStreak, s.ejections = 0, 0
}

// recordFailure records a failure and reports whether it ejects the backend
// server.
func (s *Server) recordFailure(now time.Time) bool {
	ratio := s.FailureRatio(now)
	s.Failures, s.FailedAt = ratio+failureWeight*(1-ratio), now
	s.failureStreak++
	if s.failureStreak < ejectStreak && s.Failures < ejectRatio {
		return false
	}
	s.eject(now)

	return true
}

// eject excludes the backend server for a time that doubles with each ejection.
func (s *Server) eject(now time.Time) {
	if s.Ejected(now) {
		return
	}
	s.EjectedUntil = now.Add(min(baseEjection<<min(s.ejections, 10), maxEjection))
	s.ejections++
}

// readmit ends an ejection for unreachability.
func (s *Server) readmit() {
	if s.Unreachable {
		s.Unreachable, s.EjectedUntil, s.failureStreak = false, time.Time{}, 0
	}
}
