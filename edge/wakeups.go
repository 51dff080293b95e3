package edge

import (
	"sync/atomic"
	"time"
)

// signalHandlingTime is how long the runtime may take to hand a signal to the stop
// duty after the process has been held up.
const signalHandlingTime = 100 * time.Millisecond

// Wakeup is a tick of the control duty.
type Wakeup struct {
	// NextDue is when the next tick is due.
	NextDue time.Time
	// HeldSince and HeldUntil bound the last time for which the process was held up:
	// frozen, or without processor time. They are zero if it never was.
	HeldSince, HeldUntil time.Time
}

// EarliestSignal returns the earliest time at which a signal that is handled now can
// have been sent, to within an interval of the ticks.
func (w Wakeup) EarliestSignal(now time.Time) time.Time {
	earliest := now
	if !w.NextDue.IsZero() && w.NextDue.Before(now) {
		earliest = w.NextDue
	}
	if now.Sub(w.HeldUntil) < signalHandlingTime {
		earliest = w.HeldSince
	}

	return earliest
}

// wakeups holds the last tick of the control duty for the stop duty. The control duty
// may be behind when the stop begins, so the stop duty can't ask it.
type wakeups struct {
	last atomic.Pointer[Wakeup]
}

// ticked records a tick and when the next one is due.
func (w *wakeups) ticked(now, nextDue time.Time) {
	last := w.lastWakeup()
	next := &Wakeup{NextDue: nextDue, HeldSince: last.HeldSince, HeldUntil: last.HeldUntil}
	if !last.NextDue.IsZero() && now.Sub(last.NextDue) > signalHandlingTime {
		next.HeldSince, next.HeldUntil = last.NextDue, now
	}
	w.last.Store(next)
}

// lastWakeup returns the last tick, or a zero Wakeup.
func (w *wakeups) lastWakeup() Wakeup {
	if last := w.last.Load(); last != nil {
		return *last
	}

	return Wakeup{}
}
