package backend

import (
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// hedgeRecheckInterval is the time after which a hedge that found no spare slot or budget
// is considered again.
const hedgeRecheckInterval = 5 * time.Millisecond

// attempt is one run of a call on a backend server.
type attempt struct {
	call      caller.CallID
	server    *Server
	started   time.Time
	cancelled bool
	// atLimit says that the backend server had no further slot free when the
	// attempt started.
	atLimit bool
	// alone says that no other attempt ran on the backend server then.
	alone bool
}

// start begins one attempt.
func (p *Pool) start(now time.Time, placed *placedCall, server *Server) {
	p.checkStart(now, placed, server)
	hedge := len(placed.attempts) > 0
	p.lastAttempt++
	id := p.lastAttempt
	running := &attempt{call: placed.call.ID, server: server, started: now}
	p.attempts[id] = running
	placed.attempts = append(placed.attempts, id)
	placed.tried = append(placed.tried, server.Address)
	server.begin(running)
	p.actions = append(p.actions, StartAttempt{
		Attempt: id, Call: placed.call.ID, Address: server.Address, Deadline: placed.call.Deadline, Hedge: hedge,
	})
	if !hedge {
		placed.started = now
		p.planHedge(now, placed)
	}
}

// checkStart asserts what must hold for each attempt that is about to start.
func (p *Pool) checkStart(now time.Time, placed *placedCall, server *Server) {
	if server.InFlight >= server.Limit() {
		p.violatedf("slots", "backend server %s has %d attempts for a limit of %d", server.Address, server.InFlight, server.Limit())
	}
	if !server.Usable(now) {
		p.violatedf("usable", "backend server %s is not declared, is leaving or is ejected", server.Address)
	}
	if _, open := p.calls[placed.call.ID]; !open {
		p.violatedf("open_call", "call %d has ended", placed.call.ID)
	}
	if placed.mayHaveRun && !placed.call.Idempotent {
		p.violatedf("run_once", "call %d may have run and is not idempotent", placed.call.ID)
	}
}

// planHedge decides when a second attempt of a call is considered.
func (p *Pool) planHedge(now time.Time, placed *placedCall) {
	cell := p.Cells[placed.cell]
	if p.Options.WithoutHedge || !placed.call.Idempotent || cell.Latency.Hedge == 0 {
		return
	}
	if due := now.Add(cell.Latency.Hedge); due.Before(placed.call.Deadline) {
		p.timers.set(placed, due)
	}
}

// hedge starts a second attempt of a slow call in a slot that is free anyway.
func (p *Pool) hedge(now time.Time, placed *placedCall) {
	p.timers.set(placed, placed.call.Deadline)
	cell, owned := p.Cells[placed.cell]
	if !owned || placed.delivered || len(placed.attempts) != 1 || placed.waiting != nil {
		return
	}
	server := choose(p.Options.Policy, now, cell, cell.free(now, placed.tried), p.random)
	if server == nil || cell.Queue.Len() > 0 || !cell.Budget.Hedge() {
		if again := now.Add(hedgeRecheckInterval); again.Before(placed.call.Deadline) {
			p.timers.set(placed, again)
		}

		return
	}
	p.start(now, placed, server)
}

// attemptAnswering gives a large answer to its caller unless the call has ended or
// another attempt answers already.
func (p *Pool) attemptAnswering(id AttemptID) {
	running, ok := p.attempts[id]
	if !ok || running.cancelled {
		return
	}
	placed, ok := p.calls[running.call]
	if !ok || placed.delivered {
		return
	}
	placed.delivered = true
	p.timers.set(placed, placed.call.Deadline)
	p.cancelAttempts(placed, id)
	p.actions = append(p.actions, DeliverAnswer{Call: placed.call.ID, Attempt: id})
}

// attemptEnded frees the attempt's slot and ends or retries its call.
func (p *Pool) attemptEnded(now time.Time, event AttemptEnded) {
	running, ok := p.attempts[event.Attempt]
	if !ok {
		return
	}
	delete(p.attempts, event.Attempt)
	running.server.finish(running)
	p.observe(now, running, event.Result)
	p.removeUnused(running.server)
	if placed, open := p.calls[running.call]; open {
		placed.attempts = slices.DeleteFunc(placed.attempts, func(id AttemptID) bool { return id == event.Attempt })
		p.settle(now, placed, running, event)
	}
	if cell, owned := p.Cells[running.server.Cell]; owned {
		p.dispatch(now, cell)
	}
}

// observe learns from how an attempt ended. An attempt that was cancelled says
// only how long it took at least.
func (p *Pool) observe(now time.Time, running *attempt, result Result) {
	if running.cancelled {
		result = Cancelled{}
	}
	cell, owned := p.Cells[running.server.Cell]
	if !owned || !running.server.Owned {
		return
	}
	running.server.observe(now, result, running, cell.Latency.Median)
	if p.Options.WithoutRamp {
		running.server.Allowance = float64(running.server.Slots)
	}
	if !p.Options.WithoutEjection {
		cell.ejectFailing(now, running.server)
	}
}

// settle ends or retries the call of an attempt that ended.
func (p *Pool) settle(now time.Time, placed *placedCall, running *attempt, event AttemptEnded) {
	outcome := OutcomeOf(event.Result)
	if _, whole := event.Result.(Whole); running.cancelled && whole {
		// The caller gets another attempt's answer.
		return
	}
	if _, whole := event.Result.(Whole); placed.delivered && !whole && !running.cancelled {
		placed.mayHaveRun = true
		p.end(placed, 0, outcome)

		return
	}
	switch result := event.Result.(type) {
	case Whole:
		p.recordLatency(now, placed, result)
		p.end(placed, event.Attempt, outcome)
	case Shed:
		p.retry(now, placed, outcome)
	case Unsent:
		if result.Local {
			outcome = caller.NotRun{Reason: caller.ReasonOverloaded}
		}
		p.retry(now, placed, outcome)
	case Cut:
		p.settleCut(now, placed, outcome)
	case TimedOut, Cancelled:
		placed.mayHaveRun = true
		if len(placed.attempts) == 0 {
			p.end(placed, 0, outcome)
		}
	}
}

// settleCut retries a call that may have run if it may run again. Only the
// outermost of nested calls retries, so that retries do not multiply.
func (p *Pool) settleCut(now time.Time, placed *placedCall, outcome caller.Outcome) {
	placed.mayHaveRun = true
	if placed.call.Idempotent && placed.call.Depth == 0 || len(placed.attempts) > 0 {
		p.retry(now, placed, outcome)

		return
	}
	p.end(placed, 0, outcome)
}

// recordLatency adds the duration of a good answer to the cell's summary.
func (p *Pool) recordLatency(now time.Time, placed *placedCall, result Whole) {
	cell, owned := p.Cells[placed.cell]
	if owned && result.Status < http.StatusInternalServerError {
		cell.Latency.Record(now, now.Sub(placed.started))
	}
}
