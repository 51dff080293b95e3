package backend

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// placedCall is a call from its placement to its end.
type placedCall struct {
	call      caller.Call
	cell      *CellState
	attempts  []AttemptID
	tried     []string
	delivered bool
	// mayHaveRun says that an earlier attempt left and was not answered.
	mayHaveRun bool
}

// attempt is one run of a call on a backend server.
type attempt struct {
	call    caller.CallID
	server  *Server
	started time.Time
}

// Pool holds all cells that this host owns.
type Pool struct {
	// QueueLength bounds the calls that wait in one cell.
	QueueLength int
	// Shares is the number of hosts' shares of the probe budget that may be spent.
	Shares int
	// Cells are the cells that this host owns.
	Cells map[caller.Cell]*CellState

	calls       map[caller.CallID]*placedCall
	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	actions     []Action
}

// NewPool returns a pool without cells.
func NewPool(queueLength int) *Pool {
	return &Pool{
		QueueLength: queueLength,
		Shares:      1,
		Cells:       map[caller.Cell]*CellState{},
		calls:       map[caller.CallID]*placedCall{},
		attempts:    map[AttemptID]*attempt{},
	}
}

// Busy reports whether calls wait or run, so that time matters.
func (p *Pool) Busy() bool {
	return len(p.calls) > 0
}

// Step reacts to one event. The actions are valid until the next step.
func (p *Pool) Step(now time.Time, event Event) []Action {
	p.actions = p.actions[:0]
	switch event := event.(type) {
	case CallPlaced:
		p.place(now, event)
	case CallCancelled:
		p.cancel(event.Call)
	case AttemptAnswering:
		p.answering(event.Attempt)
	case AttemptEnded:
		p.ended(now, event)
	case CellsChanged:
		p.change(now, event.Cells)
	case SharesChanged:
		p.Shares = event.Held
	case Ticked:
		p.expire(now)
	}

	return p.actions
}

// place starts a call or queues it.
func (p *Pool) place(now time.Time, event CallPlaced) {
	cell, ok := p.Cells[event.Cell]
	if !ok {
		p.end(event.Call.ID, 0, caller.NotRun{Reason: caller.ReasonMisdirected})

		return
	}
	if len(cell.Queue) >= p.QueueLength {
		p.end(event.Call.ID, 0, caller.NotRun{Reason: caller.ReasonOverloaded})

		return
	}
	p.calls[event.Call.ID] = &placedCall{call: event.Call, cell: cell}
	cell.Queue = append(cell.Queue, event.Call.ID)
	p.dispatch(now, cell)
}

// dispatch starts queued calls while backend servers are free.
func (p *Pool) dispatch(now time.Time, cell *CellState) {
	for len(cell.Queue) > 0 {
		placed := p.calls[cell.Queue[0]]
		server := cell.choose(placed.tried)
		if server == nil {
			return
		}
		cell.Queue = cell.Queue[1:]
		p.start(now, placed, server)
	}
}

// start begins one attempt.
func (p *Pool) start(now time.Time, placed *placedCall, server *Server) {
	p.lastAttempt++
	id := p.lastAttempt
	p.attempts[id] = &attempt{call: placed.call.ID, server: server, started: now}
	placed.attempts = append(placed.attempts, id)
	placed.tried = append(placed.tried, server.Address)
	server.InFlight++
	if server.InFlight > server.Slots {
		p.violatedf("slots", "backend server %s has %d attempts for %d slots", server.Address, server.InFlight, server.Slots)
	}
	p.actions = append(p.actions, StartAttempt{
		Attempt: id, Call: placed.call.ID, Address: server.Address, Deadline: placed.call.Deadline,
	})
}

// answering gives a large answer to its caller unless the call has ended.
func (p *Pool) answering(id AttemptID) {
	running, ok := p.attempts[id]
	if !ok {
		return
	}
	placed, ok := p.calls[running.call]
	if !ok || placed.delivered {
		p.actions = append(p.actions, CancelAttempt{Attempt: id})

		return
	}
	placed.delivered = true
	p.actions = append(p.actions, DeliverAnswer{Call: placed.call.ID, Attempt: id})
}

// ended frees the attempt's slot and ends or retries its call.
func (p *Pool) ended(now time.Time, event AttemptEnded) {
	running, ok := p.attempts[event.Attempt]
	if !ok {
		return
	}
	delete(p.attempts, event.Attempt)
	running.server.InFlight--
	running.server.observe(event.Result, now.Sub(running.started))
	if placed, ok := p.calls[running.call]; ok {
		placed.attempts = slices.DeleteFunc(placed.attempts, func(id AttemptID) bool { return id == event.Attempt })
		p.settle(now, placed, event)
		p.dispatch(now, placed.cell)

		return
	}
	for _, cell := range p.Cells {
		if slices.Contains(cell.Servers, running.server) {
			p.dispatch(now, cell)
		}
	}
}

// settle ends or retries the call of an attempt that ended.
func (p *Pool) settle(now time.Time, placed *placedCall, event AttemptEnded) {
	outcome := OutcomeOf(event.Result)
	switch event.Result.(type) {
	case Whole:
		p.end(placed.call.ID, event.Attempt, outcome)
	case Shed, Unsent:
		p.retry(now, placed, outcome)
	case Cut:
		placed.mayHaveRun = true
		if placed.call.Idempotent && !placed.delivered {
			p.retry(now, placed, outcome)

			return
		}
		p.end(placed.call.ID, 0, outcome)
	case TimedOut, Cancelled:
		p.end(placed.call.ID, 0, outcome)
	}
}

// retry queues the call again at the front if a backend server is left to try,
// and ends it otherwise.
func (p *Pool) retry(now time.Time, placed *placedCall, outcome caller.Outcome) {
	untried := func(server *Server) bool {
		return !server.Leaving && !slices.Contains(placed.tried, server.Address)
	}
	if !now.Before(placed.call.Deadline) || !slices.ContainsFunc(placed.cell.Servers, untried) {
		p.end(placed.call.ID, 0, outcome)

		return
	}
	placed.cell.Queue = slices.Insert(placed.cell.Queue, 0, placed.call.ID)
}

// cancel gives up a call whose caller went away.
func (p *Pool) cancel(id caller.CallID) {
	if _, ok := p.calls[id]; !ok {
		return
	}
	p.end(id, 0, caller.NotRun{Reason: caller.ReasonCancelled})
}

// expire ends the calls whose deadline has passed.
func (p *Pool) expire(now time.Time) {
	for id, placed := range p.calls {
		if now.Before(placed.call.Deadline) {
			continue
		}
		p.end(id, 0, caller.NotRun{Reason: caller.ReasonDeadline})
	}
}

// end ends a call once and gives up its other attempts. A call that may have
// run never ends as not run.
func (p *Pool) end(id caller.CallID, by AttemptID, outcome caller.Outcome) {
	if placed, ok := p.calls[id]; ok {
		notRun, refused := outcome.(caller.NotRun)
		if refused && (placed.mayHaveRun || len(placed.attempts) > 0) {
			outcome = caller.Unknown{Reason: notRun.Reason}
		}
		delete(p.calls, id)
		queue := placed.cell.Queue
		placed.cell.Queue = slices.DeleteFunc(queue, func(queued caller.CallID) bool { return queued == id })
		for _, attempt := range placed.attempts {
			p.actions = append(p.actions, CancelAttempt{Attempt: attempt})
		}
	}
	p.actions = append(p.actions, EndCall{Call: id, Attempt: by, Outcome: outcome})
}

// change adopts the cells that this host owns. Calls that wait in a lost cell
// are not run; those in flight finish.
func (p *Pool) change(now time.Time, cells map[caller.Cell][]Declared) {
	for key, cell := range p.Cells {
		if _, kept := cells[key]; kept {
			continue
		}
		delete(p.Cells, key)
		for _, id := range slices.Clone(cell.Queue) {
			p.end(id, 0, caller.NotRun{Reason: caller.ReasonMisdirected})
		}
	}
	for key, declared := range cells {
		cell, ok := p.Cells[key]
		if !ok {
			cell = &CellState{Cell: key}
			p.Cells[key] = cell
		}
		cell.declare(declared)
		p.dispatch(now, cell)
	}
}

// violatedf reports a broken invariant.
func (p *Pool) violatedf(invariant, format string, args ...any) {
	p.actions = append(p.actions, Violation{caller.Violation{
		Invariant: invariant, Detail: fmt.Sprintf(format, args...),
	}})
}
