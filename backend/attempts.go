package backend

import (
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// hedgeRecheckInterval is the time until a hedge is considered again that was
// not started for lack of a free slot or of budget, or because calls waited.
const hedgeRecheckInterval = 5 * time.Millisecond

// attempt is one run of a call on a backend server.
type attempt struct {
	call      caller.CallID
	server    *Server
	started   time.Time
	cancelled bool
	// atLimit reports whether the attempt took the last slot within the backend
	// server's limit.
	atLimit bool
	// alone reports whether no other attempt was in flight on the backend server
	// when this one started.
	alone bool
}

// start starts an attempt of a call. The attempt is a hedge if another attempt
// of the call is in flight.
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

// checkStart checks the invariants of an attempt that is about to start.
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

// planHedge sets the timer after which a second attempt of a call is
// considered.
func (p *Pool) planHedge(now time.Time, placed *placedCall) {
	cell := p.Cells[placed.cell]
	if p.Options.WithoutHedge || !placed.call.Idempotent || cell.Latency.Hedge == 0 {
		return
	}
	if due := now.Add(cell.Latency.Hedge); due.Before(placed.call.Deadline) {
		p.timers.set(placed, due)
	}
}

// hedge starts a second attempt of a slow call if a slot is free, no call waits
// and the budget allows it.
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

// attemptAnswering starts to deliver a large answer to the caller unless the
// call has ended or another attempt is already answering.
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

// attemptEnded releases the slot of an attempt and ends or retries its call.
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

// observe updates the state of the backend server by the result of an attempt.
// The duration of a cancelled attempt is only a lower bound of the latency.
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

// settle ends or retries a call one of whose attempts has ended.
func (p *Pool) settle(now time.Time, placed *placedCall, running *attempt, event AttemptEnded) {
	outcome := OutcomeOf(event.Result)
	if _, whole := event.Result.(Whole); running.cancelled && whole {
		// The caller receives the answer of another attempt.
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

// settleCut retries an idempotent call after its attempt was cut. Only the
// outermost of nested calls is retried, so that retries do not multiply.
func (p *Pool) settleCut(now time.Time, placed *placedCall, outcome caller.Outcome) {
	placed.mayHaveRun = true
	if placed.call.Idempotent && placed.call.Depth == 0 || len(placed.attempts) > 0 {
		p.retry(now, placed, outcome)

		return
	}
	p.end(placed, 0, outcome)
}

// recordLatency adds the duration of a successful call to the cell's latency
// summary.
func (p *Pool) recordLatency(now time.Time, placed *placedCall, result Whole) {
	cell, owned := p.Cells[placed.cell]
	if owned && result.Status < http.StatusInternalServerError {
		cell.Latency.Record(now, now.Sub(placed.started))
	}
}
