package placement

import (
	"math"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// paceTimeConstant is the time in which a reported pace loses 63% of its weight to
	// the server's usual pace.
	paceTimeConstant = 400 * time.Millisecond
	// usualPaceWeight is the share of the newest report in the usual pace.
	usualPaceWeight = 0.02
	// estimateWeight is the share of the newest answer in a pace that is estimated
	// from answers, whose work varies.
	estimateWeight = 0.4
	// initialUsualPace is the usual pace until reports were heard.
	initialUsualPace = 1.5
	// paceHold is how long a pace is expected to last from now on at least.
	paceHold = 250 * time.Millisecond
	// unknownPaceAge is the age of a pace of which no change was seen: one that older
	// paces share.
	unknownPaceAge = paceAgeBins * paceAgeBin
	// coldPaceFactor is how much longer work takes on a cold backend server that does
	// not report its pace.
	coldPaceFactor = 2
	// remoteInFlightTTL is how long another host's attempts in flight count after it was
	// last heard.
	remoteInFlightTTL = 600 * time.Millisecond
	// failureWeight is the share of the newest result in the failure ratio.
	failureWeight = 0.25
	// failureTimeConstant is the time in which a failure ratio falls to 37%.
	failureTimeConstant = 3 * time.Second
	// ejectStreak is the number of failures in a row that eject a backend server.
	ejectStreak = 3
	// ejectRatio is the failure ratio that ejects a backend server.
	ejectRatio = 0.6
	// baseEjection is the length of the first ejection; each further one without a
	// good answer in between is twice as long.
	baseEjection = 400 * time.Millisecond
	// maxEjection bounds the length of an ejection.
	maxEjection = 3200 * time.Millisecond
)

// Server is what a placer knows about one backend server.
type Server struct {
	schema.Registration
	// Pace is the reported pace, or 0 if none was reported.
	Pace float64
	// PaceMeasuredAt is when the pace was measured.
	PaceMeasuredAt time.Time
	// PaceChangedAt is when this pace was first reported after another one, or zero if
	// no change was seen.
	PaceChangedAt time.Time
	// UsualPace is the smoothed pace.
	UsualPace float64
	// InFlight is the number of this host's attempts there.
	InFlight int
	// ColdUntil is when it is warm.
	ColdUntil time.Time
	// SentAt is when this host sent the last call there.
	SentAt time.Time
	// Failures is the share of recent calls that failed there, as of FailedAt.
	Failures float64
	// FailedAt is when the failure ratio was updated.
	FailedAt time.Time
	// EjectedUntil is when it may get work again.
	EjectedUntil time.Time
	// Unreported says that it does not report its load, so that its pace is
	// estimated from answers.
	Unreported bool
	// Overdue is how long its slowest running attempt has taken, relative to the
	// usual work; it counts if the load is not reported.
	Overdue float64
	// Measured says that this host measures it.
	Measured bool
	// Unreachable says that it was ejected because nothing could be sent.
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

// remoteInFlight is what another host said of a backend server.
type remoteInFlight struct {
	inFlight   int
	receivedAt time.Time
}

// newServer returns a backend server of a service that registered.
func newServer(now time.Time, registration schema.Registration, of *service) *Server {
	return &Server{
		Registration:   registration,
		UsualPace:      initialUsualPace,
		ColdUntil:      now.Add(time.Duration(registration.ColdLeftMs) * time.Millisecond),
		contention:     &of.contention,
		inFlightByHost: map[string]remoteInFlight{},
	}
}

// Cold reports whether it bears only a little work.
func (s *Server) Cold(now time.Time) bool {
	return now.Before(s.ColdUntil)
}

// suspectCold treats it as cold until a probe tells.
func (s *Server) suspectCold(now time.Time, rule schema.ServiceRule) {
	if until := now.Add(time.Duration(rule.ColdMs) * time.Millisecond); until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
}

// Ejected reports whether it gets no work because of failures.
func (s *Server) Ejected(now time.Time) bool {
	return now.Before(s.EjectedUntil)
}

// usable reports whether it may get work when a slot is free.
func (s *Server) usable(now time.Time) bool {
	return !s.Draining && s.Slots > 0 && !s.Ejected(now)
}

// Taken returns the number of attempts there, by all hosts.
func (s *Server) Taken(now time.Time) int {
	taken := s.InFlight
	for _, other := range s.inFlightByHost {
		if now.Sub(other.receivedAt) < remoteInFlightTTL {
			taken += other.inFlight
		}
	}

	return taken
}

// PaceNow returns the pace to expect now. An old report counts less and less.
func (s *Server) PaceNow(now time.Time) float64 {
	if s.Pace == 0 {
		return max(s.UsualPace, s.Overdue)
	}
	weight := math.Exp(-float64(now.Sub(s.PaceMeasuredAt)) / float64(paceTimeConstant))

	return max(s.Pace*weight+s.UsualPace*(1-weight), s.Overdue)
}

// SlotLimit returns the number of its slots that are worth taking.
func (s *Server) SlotLimit() int {
	return s.contention.SlotLimit(s.Slots)
}

// contends reports whether so many attempts there may slow each other down.
func (s *Server) contends(running int) bool {
	return float64(running) > contentionThreshold*float64(s.Slots)
}

// loadedPace returns how long work takes there now, relative to the usual time, with
// so many attempts running.
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

// Expected returns the time until work is done that is sent now, and the
// probability that the machine turns slow before.
func (s *Server) Expected(now time.Time, work time.Duration, slowdowns *SlowdownEstimator) (time.Duration, float64) {
	taken := s.Taken(now)
	pace := s.loadedPace(now, taken+1)
	queued := max(taken+1-s.SlotLimit(), 0)
	wait := float64(queued) * float64(work) * pace / float64(s.SlotLimit())
	duration, slowdownRisk := s.duration(now, work, pace, slowdowns)

	return time.Duration(wait) + duration, slowdownRisk
}

// duration returns the time that work takes from now on and the probability
// that the machine turns slow before it is done.
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

// workDuration returns the time that work takes at a rate that lasts for paceHold. A
// machine that may turn quick at any moment is not counted on to do so sooner.
func (s *Server) workDuration(work time.Duration, pace float64) time.Duration {
	whole := time.Duration(float64(work) * pace)
	if whole <= paceHold {
		return whole
	}
	rest := float64(work) - float64(paceHold)/pace

	return paceHold + time.Duration(rest*min(pace, s.UsualPace))
}

// updatePace adopts a reported load that was measured at a time.
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

// estimatePace adopts how long an answer took relative to the usual work, for want
// of a report.
func (s *Server) estimatePace(now time.Time, ratio float64) {
	s.Unreported = true
	if s.Pace == 0 {
		s.Pace = ratio
	}
	s.Pace += estimateWeight * (ratio - s.Pace)
	s.PaceMeasuredAt = now
	s.UsualPace += usualPaceWeight * (ratio - s.UsualPace)
}

// FailureRatio returns the share of calls that are expected to fail.
func (s *Server) FailureRatio(now time.Time) float64 {
	return s.Failures * math.Exp(-float64(now.Sub(s.FailedAt))/float64(failureTimeConstant))
}

// recordSuccess notes a good answer.
func (s *Server) recordSuccess(now time.Time) {
	s.Failures, s.FailedAt = s.FailureRatio(now)*(1-failureWeight), now
	s.failureStreak, s.ejections = 0, 0
}

// recordFailure notes a failure and reports whether it ejects the backend server.
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

// eject takes it out of work for some time.
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
