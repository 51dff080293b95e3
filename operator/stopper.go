package operator

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// leavePropagationTime is how long other hosts may need to learn that a host leaves.
const leavePropagationTime = 3 * time.Second

// StopEvent is what the stopper reacts to.
//
//sumtype:decl
type StopEvent interface{ stopEvent() }

// StopAsked asks for a planned stop now.
type StopAsked struct{}

// StopsDeclared brings the planned stops of the configuration in force.
type StopsDeclared struct {
	// Stops are the planned stops of all hosts.
	Stops []schema.PlannedStop
}

// StopTicked says that time has passed.
type StopTicked struct{}

func (StopAsked) stopEvent()     {}
func (StopsDeclared) stopEvent() {}
func (StopTicked) stopEvent()    {}

// StopAction is what the stopper wants done.
//
//sumtype:decl
type StopAction interface{ stopAction() }

// Leave tells the other hosts that this host leaves. It goes on forwarding.
type Leave struct{}

// CloseFront accepts no more calls and finishes those in flight; then the
// process exits.
type CloseFront struct{}

func (Leave) stopAction()      {}
func (CloseFront) stopAction() {}

// stopPhase is how far a planned stop has come.
type stopPhase int

const (
	phaseRunning stopPhase = iota
	phaseLeaving
	phaseClosing
)

// Stopper carries a planned stop through its phases: the host leaves, waits
// until no caller keeps an answer that names it, and closes its front.
type Stopper struct {
	// Host is this host's name.
	Host string
	// Keep is how long callers may keep an answer.
	Keep time.Duration

	started time.Time
	planned time.Time
	phase   stopPhase
	closeAt time.Time
}

// NewStopper returns a stopper of a host that was started at the time now.
func NewStopper(now time.Time, host string, keep time.Duration) *Stopper {
	return &Stopper{Host: host, Keep: keep, started: now}
}

// Step reacts to one event.
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
		s.phase, s.closeAt = phaseLeaving, now.Add(s.Keep+leavePropagationTime)

		return []StopAction{Leave{}}
	case s.phase == phaseLeaving && !now.Before(s.closeAt):
		s.phase = phaseClosing

		return []StopAction{CloseFront{}}
	}

	return nil
}

// Wait returns how long the host still forwards calls.
func (s *Stopper) Wait(now time.Time) time.Duration {
	if s.phase != phaseLeaving {
		return 0
	}

	return max(0, s.closeAt.Sub(now))
}

// plan adopts this host's planned stop. One before the process was started
// concerns the process before it.
func (s *Stopper) plan(stops []schema.PlannedStop) {
	s.planned = time.Time{}
	for _, stop := range stops {
		at := time.UnixMilli(int64(stop.AtMs))
		if stop.Host == s.Host && at.After(s.started) {
			s.planned = at
		}
	}
}
