package placement

import (
	"net/http"
	"time"
)

const (
	// lostProgressFactor is the progress, relative to the usual work, from
	// which an attempt without an answer counts as lost.
	lostProgressFactor = 2.5
	// minRemainingShare is the share of the usual work that is assumed to
	// remain at least while an attempt has not been answered.
	minRemainingShare = 0.2
	// hedgeGain is the share of the remaining time of an attempt that a hedge
	// must be expected to undercut.
	hedgeGain = 0.7
	// maxHedgesPerTick bounds the calls for which a tick looks for a second backend
	// server. Each takes time for all backend servers of the service, and a tick must not
	// take longer the more calls are late.
	maxHedgesPerTick = 4
	// maxProgressStep bounds the time for which progress is credited at once,
	// because the pace is not known for longer.
	maxProgressStep = 200 * time.Millisecond
)

// attempt is one send of a call to a backend server.
type attempt struct {
	id         AttemptID
	call       *call
	server     *Server
	started    time.Time
	progressAt time.Time
	progress   time.Duration
	// uncontendedProgress is the progress if contention with other attempts is
	// ignored.
	uncontendedProgress time.Duration
	// contendedTime is the time during which the backend server had so many
	// attempts that they may have slowed each other down.
	contendedTime time.Duration
	// cold says that the backend server was cold when the attempt began, slowMachine that its
	// machine was slow then.
	cold, slowMachine bool
	cancelled         bool
	lossRecorded      bool
}

// send starts an attempt of a call on a backend server.
func (p *Placer) send(now time.Time, c *call, to *candidate) {
	p.lastAttempt++
	hedge := len(c.inFlight) > 0
	server := to.server
	reason := Choice{
		Route: c.route.Name, Service: c.service.Name, DataCentre: server.DataCentre, Version: p.declared.Declaration.Version,
		Repeat: c.sends > 0, Hedge: hedge, Pace: server.PaceNow(now), PaceAge: age(now, server.PaceMeasuredAt),
		InFlight: server.TotalInFlight(now), Expected: to.expected, Waited: now.Sub(c.arrived),
		Crossing: server.DataCentre != p.Options.DataCentre, LatenessSaved: to.saved,
	}
	started := &attempt{id: p.lastAttempt, call: c, server: server, started: now, progressAt: now, cold: server.Cold(now), slowMachine: server.onSlowMachine()}
	c.service.countRolloutSend(c, server)
	p.attempts[started.id] = started
	c.inFlight = append(c.inFlight, started)
	c.triedServers = append(c.triedServers, server.ID)
	p.noteSent(now, c)
	c.sends++
	p.crossings.count(now, reason.Crossing)
	server.InFlight++
	server.SentAt = now
	p.emit(Send{
		Attempt: started.id, Call: c.id, Server: server.ID, Address: server.Address,
		Connections: c.service.Rule.MaxConnections, Deadline: c.deadline, Reason: reason,
		Tenant: tenantName(c.tenant), Keys: c.keys || p.keys.Required(),
	})
}

// age returns the time since an instant, or -1 if the instant is zero.
func age(now, since time.Time) time.Duration {
	if since.IsZero() {
		return -1
	}

	return now.Sub(since)
}

// observeAttempt updates the state of the backend server from an attempt that
// ended.
func (p *Placer) observeAttempt(now time.Time, ended *attempt, event AttemptEnded) {
	server := ended.server
	server.InFlight--
	p.adoptNotice(now, server, event.Notice)
	if event.Load != nil {
		server.updatePace(now, event.Load.Pace, p.slowdowns)
	}
	switch result := event.Result.(type) {
	case Whole:
		p.observeWhole(now, ended, result, event.Load)
	case Refused, Cut:
		if !ended.cancelled {
			p.recordFailure(now, server)
		}
	case Misdirected:
		p.ejectNow(now, server, false)
	case Unsent:
		if !result.Local {
			p.ejectNow(now, server, true)
		}
	case Cancelled:
	}
	if ended.call.service.rollout != nil {
		p.countEvidence(now, ended, event.Result)
	}
}

// observeWhole updates the backend server, the route and the contention
// estimate from a complete answer.
func (p *Placer) observeWhole(now time.Time, ended *attempt, result Whole, load *Load) {
	if result.Status >= http.StatusInternalServerError {
		p.recordFailure(now, ended.server)

		return
	}
	ended.server.recordSuccess(now)
	ended.server.readmit()
	p.creditProgress(now, ended)
	ended.call.route.observe(ended.progress, result.Size)
	p.observeContention(now, ended)
	if load == nil || load.Pace == 0 {
		ended.server.estimatePace(now, float64(now.Sub(ended.started))/float64(max(ended.call.route.Work, time.Millisecond)))
	}
}

// recordFailure records a failure of a backend server and emits a state change
// if that ejects it.
func (p *Placer) recordFailure(now time.Time, server *Server) {
	if server.recordFailure(now) {
		p.emit(ServerStatusChanged{Server: server.ID, Status: StatusEjected, Failures: server.Failures, For: server.EjectedUntil.Sub(now)})
	}
}

// ejectNow ejects a backend server after evidence that it cannot serve, without
// waiting for further failures.
func (p *Placer) ejectNow(now time.Time, server *Server, unreachable bool) {
	server.eject(now)
	server.Unreachable = unreachable
	p.emit(ServerStatusChanged{Server: server.ID, Status: StatusEjected, Failures: server.FailureRatio(now), For: server.EjectedUntil.Sub(now)})
}

// updateProgress updates the progress of all attempts in flight, and Overdue of
// the backend servers that do not report their load.
func (p *Placer) updateProgress(now time.Time) {
	for _, server := range p.servers {
		server.Overdue = 0
	}
	for _, running := range p.attempts {
		p.creditProgress(now, running)
		if server := running.server; server.Unreported {
			took := float64(now.Sub(running.started)) / float64(max(running.call.route.Work, time.Millisecond))
			server.Overdue = max(server.Overdue, took)
		}
	}
}

// creditProgress adds the estimated work done since the last update to an
// attempt's progress.
func (*Placer) creditProgress(now time.Time, running *attempt) {
	step := min(now.Sub(running.progressAt), maxProgressStep)
	server := running.server
	taken := server.TotalInFlight(now)
	running.progress += time.Duration(float64(step) / max(server.loadedPace(now, taken), minPace))
	running.uncontendedProgress += time.Duration(float64(step) / max(server.PaceNow(now), minPace))
	if server.contends(taken) {
		running.contendedTime += step
	}
	running.progressAt = now
}

// minPace keeps an implausibly low reported pace from crediting unlimited
// progress.
const minPace = 0.1

// remainingTime returns the time until an attempt is expected to be answered,
// and whether it counts as lost.
func (p *Placer) remainingTime(now time.Time, running *attempt) (time.Duration, bool) {
	work := running.call.route.Work
	lost := float64(running.progress) > lostProgressFactor*float64(work)
	left := max(work-running.progress, time.Duration(minRemainingShare*float64(work)))

	duration, _ := running.server.duration(now, left, running.server.loadedPace(now, running.server.TotalInFlight(now)), p.slowdowns)

	return duration, lost
}

// hedgeAll hedges the calls that may run twice and whose backend server has
// slowed down or stopped answering since it was chosen. A tick considers at most
// maxHedgesPerTick of them, each tick others.
func (p *Placer) hedgeAll(now time.Time) {
	considered, from := 0, p.hedgeFrom
	for i := range p.openCalls {
		index := (from + i) % len(p.openCalls)
		c := p.openCalls[index]
		if len(c.inFlight) != 1 || !c.route.Idempotent || c.sends >= c.route.MaxAttempts {
			continue
		}
		remaining, lost := p.observeRemaining(now, c.inFlight[0])
		late := lost || remaining > c.targetDeadline.Sub(now)
		if !late || considered >= maxHedgesPerTick || !c.service.budget.allowsHedge(now, p.peers.Hosts) {
			continue
		}
		considered, p.hedgeFrom = considered+1, index+1
		p.hedge(now, c, remaining, lost)
	}
}

// observeRemaining returns the remaining time of an attempt and whether it counts as
// lost, which is recorded as a failure of the backend server once.
func (p *Placer) observeRemaining(now time.Time, running *attempt) (time.Duration, bool) {
	remaining, lost := p.remainingTime(now, running)
	if lost && !running.lossRecorded {
		running.lossRecorded = true
		p.recordFailure(now, running.server)
	}

	return remaining, lost
}

// hedge sends one call to a second backend server if that is likely to help.
func (p *Placer) hedge(now time.Time, c *call, remaining time.Duration, lost bool) {
	best := p.choose(now, c)
	if best == nil || !best.hasFreeSlot || best.expected >= c.deadline.Sub(now) || p.keyWithdrawn(c) {
		return
	}
	helps := best.expected <= c.targetDeadline.Sub(now) && float64(best.expected) < hedgeGain*float64(remaining)
	if (lost || helps) && c.service.budget.takeHedge(now, p.peers.Hosts) {
		p.send(now, c, best)
	}
}
