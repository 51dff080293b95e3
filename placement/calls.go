package placement

import (
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// lateWaitShare is the share of the latency objective that a call which is
	// not expected to be answered in time stays queued for a slot.
	lateWaitShare = 0.125
	// queueFitFactor is the multiple of the usual work that must remain before
	// the latency objective for a call to stay queued: one that starts later is
	// more likely late than not.
	queueFitFactor = 1.15
	// maxLateUtilisation is the slot utilisation up to which calls that will be
	// late are sent.
	maxLateUtilisation = 0.6
	// lateRetryAfterShare is the share of the caller's remaining time after
	// which a refused call that can no longer be in time should be retried. By
	// then the overload has more likely passed than after a short delay, and
	// there is time left to serve the call.
	lateRetryAfterShare = 0.3
	// answerGrace is how long after the deadline of a call an answer is awaited
	// that may already be on its way.
	answerGrace = 40 * time.Millisecond
	// maxFreedFailures bounds the queued calls that are considered in vain when an
	// attempt ends: each takes time for all backend servers of the service, and one
	// attempt frees one slot. Each tick considers all.
	maxFreedFailures = 3
	// maxUnsentTries bounds the number of attempts of a call that never left
	// this host.
	maxUnsentTries = 3
)

// call is a caller's request without an outcome.
type call struct {
	id    CallID
	route *Route
	// tenant is the tenant of the call, or nil, and keyDigest the digest of its key.
	tenant    *schema.Tenant
	keyDigest string
	// rank decides on the order in the queue; lower values are sent first.
	rank int
	// keys says that the declaration had tenants when the call arrived.
	keys           bool
	service        *service
	arrived        time.Time
	targetDeadline time.Time
	deadline       time.Time
	callerDeadline time.Time
	inFlight       []*attempt
	triedServers   []string
	sends          int
	unsentTries    int
	queued         bool
	// callerRetried says that this is a retry by the caller, whose earlier
	// request was refused or failed.
	callerRetried bool
	// callerLeft says that the caller disconnected, so that the call is not sent again.
	callerLeft bool
	// mayHaveRun says that a backend server may have run the call.
	mayHaveRun bool
	// failedAttempt is the attempt that was answered with a server error. Its
	// answer is delivered if no other attempt succeeds.
	failedAttempt AttemptID
}

// callArrived matches the route of a new call and sends, queues or refuses it.
func (p *Placer) callArrived(now time.Time, event CallArrived) {
	if event.Ahead && !p.mayRunAhead(event) {
		p.emit(Finish{Call: event.Call, Outcome: Deferred{}})

		return
	}
	if p.declared.Declaration.Version == 0 {
		p.emit(Finish{Call: event.Call, Outcome: NotRun{Reason: ReasonNotReady, RetryAfter: maxRetryAfter / 2}})

		return
	}
	route := p.routes.match(event.HostName, event.Path)
	if route == nil || len(route.Targets) == 0 {
		p.finishUnrouted(now, event, route)

		return
	}
	holder, admitted := p.admit(now, event, route)
	if !admitted || !p.takeToken(now, event, route, holder) {
		return
	}
	elapsed := route.callerTimeouts.Elapsed(event.Wait)
	c := &call{
		id: event.Call, route: route, tenant: holder, keyDigest: event.KeyDigest, rank: rankOf(route, holder), keys: p.keys.Required(), service: p.service(route.nextService()), arrived: now,
		targetDeadline: now.Add(route.Target() - elapsed - event.Elapsed), deadline: now.Add(event.Wait - event.Elapsed),
		callerDeadline: now.Add(event.Wait - event.Elapsed), callerRetried: elapsed > 0,
	}
	if end := now.Add(route.Timeout() - event.Elapsed); route.TimeoutMs > 0 && end.Before(c.deadline) {
		c.deadline = end
	}
	p.calls[c.id] = c
	p.openCalls = append(p.openCalls, c)
	c.service.budget.countCall(now)
	c.service.lastCallAt = now
	if !p.place(now, c) {
		c.service.enqueue(c)
	}
}

// place sends or refuses a call and returns true, or returns false if the call
// has to be queued. A call that can be answered in time is sent to the best
// backend server, and one that can be in time after a wait is queued. Any other
// call is sent late if a cold backend server accepts it or there are spare
// slots, and refused once it has waited for maxLateWait, so that late work does
// not make more calls late. A stopping host refuses calls that may not end in time.
func (p *Placer) place(now time.Time, c *call) bool {
	if !p.endsInTime(now, c) {
		p.refuse(now, c, ReasonStopping)

		return true
	}
	best := p.choose(now, c)
	left := c.targetDeadline.Sub(now)
	switch {
	case !now.Before(c.deadline):
		p.conclude(now, c, ReasonTimeout)
	case best != nil && best.expected <= left:
		p.send(now, c, best)
	case p.mayStillFit(now, c, left):
		return false
	case best != nil && best.hasFreeSlot && (best.server.Cold(now) || p.hasSpareSlots(now, c.service)):
		p.send(now, c, best)
	case best == nil && p.pauseExceeds(now, c.service, c.arrived.Add(p.maxLateWait(c))):
		p.refuse(now, c, ReasonPaused)
	case now.Sub(c.arrived) < p.maxLateWait(c):
		return false
	default:
		p.refuse(now, c, p.noServerReason(now, c.service))
	}

	return true
}

// maxLateWait returns how long a call stays queued although it is not expected
// to be answered in time.
func (*Placer) maxLateWait(c *call) time.Duration {
	return time.Duration(lateWaitShare * float64(c.route.Target()))
}

// pauseExceeds reports whether all backend servers of a service have asked for
// pauses that last beyond an instant.
func (p *Placer) pauseExceeds(now time.Time, service *service, until time.Time) bool {
	pause, paused := p.shortestPause(now, service)

	return paused && now.Add(pause).After(until)
}

// mayStillFit reports whether a queued call is likely to start early enough to
// be answered in time.
func (p *Placer) mayStillFit(now time.Time, c *call, left time.Duration) bool {
	rate := c.service.throughput(now, c.route.Work, p.evacuated)
	if rate == 0 {
		return false
	}
	wait := float64(c.service.queuedBefore(c)+1) / rate

	return time.Duration(wait*float64(time.Second)+queueFitFactor*float64(c.route.Work)) <= left
}

// hasSpareSlots reports whether a service has slots that are not needed by
// calls which can still be answered in time.
func (p *Placer) hasSpareSlots(now time.Time, service *service) bool {
	taken, slots := p.slotUsage(now, service)

	return float64(taken) < maxLateUtilisation*float64(slots)
}

// slotUsage returns the number of taken slots and of all slots of the usable,
// warm backend servers.
func (p *Placer) slotUsage(now time.Time, service *service) (taken, slots int) {
	for _, server := range service.servers {
		if server.usable(now) && !server.Cold(now) && !p.evacuated[server.DataCentre] {
			slots += server.SlotLimit()
			taken += server.TotalInFlight(now)
		}
	}

	return taken, slots
}

// noServerReason returns why a call was not sent: ReasonNotReady if the declared state
// is not confirmed, ReasonNoServer if every backend server is draining, leaving or
// evacuated, and ReasonOverloaded otherwise, also if the others are ejected or cold.
func (p *Placer) noServerReason(now time.Time, service *service) Reason {
	if p.awaitsConfirmation(now) {
		return ReasonNotReady
	}
	for _, server := range service.servers {
		if !server.Withheld && !server.Draining && !server.Leaving() && !p.evacuated[server.DataCentre] {
			return ReasonOverloaded
		}
	}

	return ReasonNoServer
}

// drainQueue sends or refuses the queued calls that can be settled now, the
// most urgent first. It ends after a number of calls that cannot.
func (p *Placer) drainQueue(now time.Time, service *service, maxFailures int) {
	failures := 0
	for _, waiting := range slices.Clone(service.queue) {
		if failures >= maxFailures {
			return
		}
		if p.place(now, waiting) {
			service.dequeue(waiting)
		} else {
			failures++
		}
	}
}

// refuse ends a call that no backend server ran.
func (p *Placer) refuse(now time.Time, c *call, reason Reason) {
	after := c.service.retryAfter(now, c.route.Work, p.evacuated, p.random.Float64())
	if c.targetDeadline.Sub(now) < after+c.route.Work {
		after = max(after, time.Duration(lateRetryAfterShare*float64(c.callerDeadline.Sub(now))))
	}
	if reason == ReasonStopping || reason == ReasonNotReady {
		after = time.Duration(float64(stopRetryAfter) * (1 + retryAfterJitter*(2*p.random.Float64()-1)))
	} else if pause, paused := p.shortestPause(now, c.service); paused {
		after = time.Duration(float64(pause) * (1 + pauseJitter*p.random.Float64()))
	}
	p.finish(now, c, NotRun{Reason: reason, RetryAfter: after})
}

// finish ends a call and cancels its attempts in flight.
func (p *Placer) finish(now time.Time, c *call, outcome Outcome) {
	c.service.dequeue(c)
	p.returnToken(now, c)
	delete(p.calls, c.id)
	p.openCalls = slices.DeleteFunc(p.openCalls, func(other *call) bool { return other == c })
	p.cancelAttempts(c, cancelReason(outcome))
	slots := c.service.usage(now, p.evacuated).total
	p.emit(Finish{
		Call: c.id, Outcome: outcome, Route: c.route.Name, Service: c.service.Name,
		Version: p.declared.Declaration.Version, Sends: c.sends, Took: now.Sub(c.arrived),
		Waiting: len(c.service.queue), Taken: slots.taken, Slots: slots.slots, Tenant: tenantName(c.tenant),
		Refusal: p.keyRefusal(now, outcome, c.keyDigest),
	})
}

// cancelAttempts cancels the attempts of a call that are still in flight.
func (p *Placer) cancelAttempts(c *call, reason CancelReason) {
	for _, running := range c.inFlight {
		if !running.cancelled {
			running.cancelled = true
			p.emit(Cancel{Attempt: running.id, Reason: reason})
		}
	}
}

// abandon ends a call whose caller disconnected. An attempt that may not be repeated
// is not cancelled: its work has begun and runs to its end. Its caller may have ended
// only its sending side, so the call stays open for its answer.
func (p *Placer) abandon(now time.Time, id CallID) {
	c, open := p.calls[id]
	if !open {
		return
	}
	if !c.route.Idempotent && len(c.inFlight) > 0 {
		c.callerLeft = true

		return
	}
	p.finish(now, c, Abandoned{})
}

// expire ends the calls whose deadline has passed.
func (p *Placer) expire(now time.Time) {
	for _, c := range slices.Clone(p.openCalls) {
		end := c.deadline
		if len(c.inFlight) > 0 {
			end = end.Add(answerGrace)
		}
		if !now.Before(end) {
			p.conclude(now, c, ReasonTimeout)
		}
	}
}

// conclude ends a call that cannot succeed any more: with the failed answer if
// there is one, as unknown if it may have run, and as refused otherwise.
func (p *Placer) conclude(now time.Time, c *call, reason Reason) {
	switch {
	case c.failedAttempt != 0:
		p.finish(now, c, Answered{Attempt: c.failedAttempt})
	case c.mayHaveRun || len(c.inFlight) > 0:
		p.finish(now, c, Unknown{Reason: reason})
	default:
		p.refuse(now, c, reason)
	}
}

// retry sends a call to another backend server after a failed attempt, if that
// is allowed and may help, and ends the call otherwise.
func (p *Placer) retry(now time.Time, c *call, reason Reason) {
	if len(c.inFlight) > 0 {
		return
	}
	if c.callerLeft || c.mayHaveRun && !c.route.Idempotent || p.keyWithdrawn(c) {
		p.conclude(now, c, reason)

		return
	}
	best := p.choose(now, c)
	left := c.deadline.Sub(now)
	if best == nil || !best.hasFreeSlot || best.expected >= left || c.sends >= c.route.MaxAttempts || !p.endsInTime(now, c) {
		p.conclude(now, c, reason)

		return
	}
	if c.sends > 0 && (p.leaveRetryToCaller(now, c) || !c.service.budget.takeRetry(now, p.peers.Hosts)) {
		p.conclude(now, c, reason)

		return
	}
	p.send(now, c, best)
}

// leaveRetryToCaller reports whether a refused call is returned to its caller,
// whose own retry does not use the retry budget. While the budget is scarce, it
// is kept for callers that have retried already and may not do so again.
func (p *Placer) leaveRetryToCaller(now time.Time, c *call) bool {
	returnsInTime := minRetryAfter+2*c.route.Work < c.targetDeadline.Sub(now)

	return !c.mayHaveRun && !c.callerRetried && returnsInTime && c.service.budget.scarce(now, p.peers.Hosts)
}

// attemptEnded updates the state of the backend server from an attempt that
// ended and settles its call.
func (p *Placer) attemptEnded(now time.Time, event AttemptEnded) {
	running, known := p.attempts[event.Attempt]
	if !known {
		return
	}
	delete(p.attempts, event.Attempt)
	p.observeAttempt(now, running, event)
	c := running.call
	if _, open := p.calls[c.id]; !open || running.cancelled {
		return
	}
	c.inFlight = slices.DeleteFunc(c.inFlight, func(other *attempt) bool { return other == running })
	p.settle(now, c, event)
	p.drainQueue(now, c.service, maxFreedFailures)
}

// settle ends or retries a call according to the result of one of its attempts.
func (p *Placer) settle(now time.Time, c *call, event AttemptEnded) {
	switch result := event.Result.(type) {
	case Whole:
		if result.Status < http.StatusInternalServerError || !c.route.Idempotent {
			p.finish(now, c, Answered{Attempt: event.Attempt})

			return
		}
		c.mayHaveRun, c.failedAttempt = true, event.Attempt
		p.retry(now, c, ReasonCut)
	case Refused, Misdirected:
		p.retry(now, c, ReasonRefused)
	case Unsent:
		c.sends--
		p.noteUnsent(now, c)
		c.unsentTries++
		if c.unsentTries >= maxUnsentTries {
			p.conclude(now, c, ReasonUnreachable)

			return
		}
		p.retry(now, c, ReasonUnreachable)
	case Cut, Cancelled:
		c.mayHaveRun = true
		p.retry(now, c, ReasonCut)
	}
}
