package backend

import (
	"container/list"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// placedCall is the state of a call from its placement to its end.
type placedCall struct {
	call      caller.Call
	cell      caller.Cell
	attempts  []AttemptID
	tried     []string
	delivered bool
	// mayHaveRun reports whether an earlier attempt was sent and not answered.
	mayHaveRun bool
	// started is the start of the first attempt.
	started time.Time
	// failure is the outcome of the last attempt that was retried.
	failure caller.Outcome

	waiting      *list.Element
	waitingSince time.Time
	retried      bool

	due   time.Time
	timer int
}

// place queues or starts a call, or refuses it at once.
func (p *Pool) place(now time.Time, event CallPlaced) {
	placed := &placedCall{call: event.Call, cell: event.Cell}
	if _, known := p.calls[event.Call.ID]; known {
		p.violatedf("one_call", "call %d was placed twice", event.Call.ID)

		return
	}
	p.calls[event.Call.ID] = placed
	p.timers.add(placed, event.Call.Deadline)
	cell, owned := p.Cells[event.Cell]
	switch {
	case !owned:
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonMisdirected})
	case !cell.Serving():
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonNoBackendServer})
	case !now.Before(event.Call.Deadline):
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonDeadline})
	default:
		p.enqueue(now, cell, placed)
	}
}

// enqueue queues a call and dispatches. It refuses a call that is expected to
// end after its deadline (expected wait plus median duration), and the call that
// a full queue drops.
func (p *Pool) enqueue(now time.Time, cell *CellState, placed *placedCall) {
	cell.Budget.Earn()
	dropped := cell.Queue.Push(now, placed)
	p.dispatch(now, cell)
	if dropped != nil {
		p.end(dropped, 0, caller.NotRun{Reason: caller.ReasonOverloaded})
	}
	if placed.waiting != nil && p.missesDeadline(placed, now.Add(cell.wait(now, placed)), cell.Latency.Median) {
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonDeadline})
	}
	p.seekRoom(now, cell)
}

// missesDeadline reports whether a call with the given start and duration would
// end after its deadline.
func (*Pool) missesDeadline(placed *placedCall, start time.Time, duration time.Duration) bool {
	return start.Add(duration).After(placed.call.Deadline)
}

// dispatch starts waiting calls while backend servers are free. If none may
// receive work, it refuses all waiting calls.
func (p *Pool) dispatch(now time.Time, cell *CellState) {
	if !cell.Serving() {
		for _, placed := range cell.Queue.All() {
			p.end(placed, 0, caller.NotRun{Reason: caller.ReasonNoBackendServer})
		}

		return
	}
	p.dispatchRetried(now, cell)
	cell.Latency.Refresh(now)
	for cell.Queue.untried > 0 {
		server := choose(p.Options.Policy, now, cell, cell.free(now, nil), p.random)
		if server == nil {
			return
		}
		placed, overdue := cell.Queue.Pop(now, cell.Latency.Median)
		switch {
		case overdue:
			p.end(placed, 0, caller.NotRun{Reason: caller.ReasonOverloaded})
		case p.missesDeadline(placed, now, cell.Latency.Fast):
			p.end(placed, 0, caller.NotRun{Reason: caller.ReasonDeadline})
		default:
			p.start(now, placed, server)
		}
	}
}

// dispatchRetried starts the retried calls for which an untried backend server
// is free, and ends those for which none is left.
func (p *Pool) dispatchRetried(now time.Time, cell *CellState) {
	for _, placed := range cell.Queue.Retried() {
		if !cell.untried(now, placed.tried) {
			p.end(placed, 0, placed.failure)

			continue
		}
		if server := choose(p.Options.Policy, now, cell, cell.free(now, placed.tried), p.random); server != nil {
			cell.Queue.Remove(placed)
			p.start(now, placed, server)
		}
	}
}

// retry queues a call again if an untried backend server is left and the retry
// budget permits it, and ends it otherwise. It does nothing while another
// attempt of the call is in flight, which may still answer.
func (p *Pool) retry(now time.Time, placed *placedCall, outcome caller.Outcome) {
	if len(placed.attempts) > 0 {
		return
	}
	cell, owned := p.Cells[placed.cell]
	switch {
	case !owned:
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonMisdirected})
	case !now.Before(placed.call.Deadline), !cell.untried(now, placed.tried), !cell.Budget.Retry(now):
		p.end(placed, 0, outcome)
	default:
		placed.failure = outcome
		cell.Queue.PushRetried(now, placed)
	}
}

// cancel ends a call that its caller cancelled.
func (p *Pool) cancel(id caller.CallID) {
	if placed, ok := p.calls[id]; ok {
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonCancelled})
	}
}

// end ends a call with one outcome and cancels its attempts. The outcome of a
// call that may have run is never NotRun.
func (p *Pool) end(placed *placedCall, answeredBy AttemptID, outcome caller.Outcome) {
	if _, open := p.calls[placed.call.ID]; !open {
		p.violatedf("one_outcome", "call %d ended twice", placed.call.ID)

		return
	}
	notRun, refused := outcome.(caller.NotRun)
	if refused && (placed.mayHaveRun || len(placed.attempts) > 0) {
		outcome = caller.Unknown{Reason: notRun.Reason}
	}
	delete(p.calls, placed.call.ID)
	p.timers.remove(placed)
	if cell, owned := p.Cells[placed.cell]; owned {
		cell.Queue.Remove(placed)
	}
	p.cancelAttempts(placed, 0)
	p.actions = append(p.actions, EndCall{Call: placed.call.ID, Attempt: answeredBy, Outcome: outcome})
}

// cancelAttempts cancels all attempts of a call in flight except one.
func (p *Pool) cancelAttempts(placed *placedCall, except AttemptID) {
	for _, id := range slices.Clone(placed.attempts) {
		if id != except && !p.attempts[id].cancelled {
			p.attempts[id].cancelled = true
			p.actions = append(p.actions, CancelAttempt{Attempt: id})
		}
	}
}
