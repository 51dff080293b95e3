package placement

import (
	"slices"
	"time"
)

const (
	// stopWorkFactor is the multiple of a route's usual work within which nearly all
	// of its calls end.
	stopWorkFactor = 8
	// stopRetryAfter is the mean retry delay of calls that a stopping or resumed host
	// rejects. Other hosts can take them at once.
	stopRetryAfter = 100 * time.Millisecond
)

// endsInTime reports whether a call may be sent although the host stops. While callers
// may know no other host, a call is admitted if it is likely to end before the open
// calls are concluded, later only if its timeout ends it before that.
func (p *Placer) endsInTime(now time.Time, c *call) bool {
	until := p.stop.WorkUntil
	if until.IsZero() || !c.deadline.Add(answerGrace).After(until) {
		return true
	}

	return now.Before(p.stop.OnlyHostUntil) && !now.Add(stopWorkFactor*c.route.Work).After(until)
}

// concludeAll ends the calls that are still open when a stopping host must end them:
// those in flight as unknown, the others as not run.
func (p *Placer) concludeAll(now time.Time) {
	if p.stop.WorkUntil.IsZero() || now.Before(p.stop.WorkUntil) {
		return
	}
	for _, c := range slices.Clone(p.openCalls) {
		p.conclude(now, c, ReasonStopping)
	}
}
