package operator

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// leavePropagationTime is the time allowed for other hosts to learn that a host
// is leaving.
const leavePropagationTime = 3 * time.Second

// StopEvent is an input to Stopper.Step.
//
//sumtype:decl
type StopEvent interface{ stopEvent() }

// StopAsked requests a planned stop now.
type StopAsked struct{}

// StopsDeclared carries the planned stops of the configuration in force.
type StopsDeclared struct {
	// Stops are the planned stops of all hosts.
	Stops []schema.PlannedStop
}

// StopTicked reports that time has passed.
type StopTicked struct{}

func (StopAsked) stopEvent()     {}
func (StopsDeclared) stopEvent() {}
func (StopTicked) stopEvent()    {}

// StopAction is an output of Stopper.Step that the caller carries out.
//
//sumtype:decl
type StopAction interface{ stopAction() }

// Leave announces to the other hosts that this host is leaving. The host
// continues to forward calls.
type Leave struct{}

// CloseFront stops accepting calls and drains the calls in flight, after which
// the process exits.
type CloseFront struct{}

func (Leave) stopAction()      {}
func (CloseFront) stopAction() {}

// stopPhase is the phase of a planned stop.
type stopPhase int

const (
	phaseRunning stopPhase = iota
	phaseLeaving
	phaseClosing
)

// Stopper runs the phases of a planned stop: the host announces that it is
// leaving, waits until no caller still holds an answer that names it, and
// closes its front end.
type Stopper struct {
	// Host is this host's name.
	Host string
	// AnswerTTL is how long callers may cache an answer with host addresses.
	AnswerTTL time.Duration

	started time.Time
	planned time.Time
	phase   stopPhase
	closeAt time.Time
}

// NewStopper returns a stopper for a host that starts now.
func NewStopper(now time.Time, host string, answerTTL time.Duration) *Stopper {
	return &Stopper{Host: host, AnswerTTL: answerTTL, started: now}
}

// Step applies one event and returns the actions to carry out.
func (s *Stopper) Step(now time.Time, event StopEvent) []StopAction {
	asked := false
	switch event := event.(type) {
	case StopAsked:
		asked = true
	case StopsDeclared:
		s.plan(event.Stops)
	case StopTicked:
	}
	due := !s.planned.IsZero() && !now.Before(s.planned)
	switch {
	case s.phase == phaseRunning && (asked || due):
		s.phase, s.closeAt = phaseLeaving, now.Add(s.AnswerTTL+leavePropagationTime)

		return []StopAction{Leave{}}
	case s.phase == phaseLeaving && !now.Before(s.closeAt):
		s.phase = phaseClosing

		return []StopAction{CloseFront{}}
	}

	return nil
}

// Wait returns how long a leaving host continues to forward calls.
func (s *Stopper) Wait(now time.Time) time.Duration {
	if s.phase != phaseLeaving {
		return 0
	}

	return max(0, s.closeAt.Sub(now))
}

// plan sets the time of this host's planned stop. A stop before the start of
// the process was meant for the previous process and is ignored.
func (s *Stopper) plan(stops []schema.PlannedStop) {
	s.planned = time.Time{}
	for _, stop := range stops {
		at := time.UnixMilli(int64(stop.AtMs))
		if stop.Host == s.Host && at.After(s.started) {
			s.planned = at
		}
	}
}
