package backend

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// Pool schedules the calls of all cells that this host owns. It is not safe for
// concurrent use.
type Pool struct {
	// Options are the options that the pool was created with.
	Options Options
	// Shares is the number of hosts' shares of the probe budget that this host may
	// spend.
	Shares int
	// Cells are the cells that this host owns.
	Cells map[caller.Cell]*CellState

	orderedCells []*CellState
	servers      map[string]*Server
	calls        map[caller.CallID]*placedCall
	attempts     map[AttemptID]*attempt
	timers       timers
	random       *rand.Rand
	lastAttempt  AttemptID
	probedAt     time.Time
	actions      []Action
}

// NewPool returns a pool without cells.
func NewPool(options Options) *Pool {
	options.Hosts = max(options.Hosts, 1)
	if options.Policy == nil {
		options.Policy = LowestLatency{}
	}
	if options.Discipline == nil {
		options.Discipline = ControlledDelay{}
	}

	return &Pool{
		Options:  options,
		Shares:   1,
		Cells:    map[caller.Cell]*CellState{},
		servers:  map[string]*Server{},
		calls:    map[caller.CallID]*placedCall{},
		attempts: map[AttemptID]*attempt{},
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)), //nolint:gosec // placement needs no secrets
	}
}

// Busy reports whether the pool needs Ticked events: calls are waiting or
// running, or backend servers may need probes.
func (p *Pool) Busy() bool {
	return len(p.calls) > 0 || len(p.Cells) > 0
}

// Step processes an event and returns the resulting actions. The slice is
// reused by the next call.
func (p *Pool) Step(now time.Time, event Event) []Action {
	p.actions = p.actions[:0]
	switch event := event.(type) {
	case CallPlaced:
		p.place(now, event)
	case CallCancelled:
		p.cancel(event.Call)
	case AttemptAnswering:
		p.attemptAnswering(event.Attempt)
	case AttemptEnded:
		p.attemptEnded(now, event)
	case CellsChanged:
		p.changeCells(now, event.Cells)
	case SharesChanged:
		p.earnProbes(now)
		p.Shares = max(event.Held, 0)
	case ProbeEnded:
		p.probeEnded(now, event)
	case RoomFound:
		p.moveWaitingCalls(now, event)
	case Ticked:
		p.tick(now)
	}

	return p.actions
}

// tick ends calls past their deadline, hedges slow calls, dispatches waiting
// calls to backend servers whose ejection ended, and starts probes.
func (p *Pool) tick(now time.Time) {
	for placed := p.timers.next(now); placed != nil; placed = p.timers.next(now) {
		if now.Before(placed.call.Deadline) {
			p.hedge(now, placed)

			continue
		}
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonDeadline})
	}
	for _, cell := range p.orderedCells {
		if cell.Queue.Len() > 0 {
			p.dispatch(now, cell)
			p.seekRoom(now, cell)
		}
	}
	p.probe(now)
}

// changeCells replaces the set of cells that this host owns. Calls that wait in
// a released cell are not run; attempts in flight finish.
func (p *Pool) changeCells(now time.Time, cells map[caller.Cell][]Declared) {
	p.earnProbes(now)
	for _, cell := range p.orderedCells {
		if _, kept := cells[cell.Cell]; !kept {
			p.releaseCell(cell)
		}
	}
	p.declare(now, cells)
	p.orderedCells = p.orderedCells[:0]
	for _, cell := range p.Cells {
		p.orderedCells = append(p.orderedCells, cell)
	}
	slices.SortFunc(p.orderedCells, func(a, b *CellState) int {
		return cmp.Or(cmp.Compare(a.Cell.Service, b.Cell.Service), cmp.Compare(a.Cell.DataCentre, b.Cell.DataCentre))
	})
	for _, cell := range p.orderedCells {
		cell.readmit(now)
		p.dispatch(now, cell)
	}
}

// releaseCell removes a cell and ends its waiting calls as misdirected.
func (p *Pool) releaseCell(cell *CellState) {
	delete(p.Cells, cell.Cell)
	for _, placed := range cell.Queue.All() {
		p.end(placed, 0, caller.NotRun{Reason: caller.ReasonMisdirected})
	}
}

// declare applies the declared backend servers. The state of a removed backend
// server is kept until its attempts have ended.
func (p *Pool) declare(now time.Time, cells map[caller.Cell][]Declared) {
	owned := map[string]bool{}
	for key, declared := range cells {
		cell, ok := p.Cells[key]
		if !ok {
			cell = NewCellState(now, key, p.Options)
			p.Cells[key] = cell
		}
		cell.Servers = cell.Servers[:0]
		for _, entry := range declared {
			if owned[entry.Address] {
				continue
			}
			owned[entry.Address] = true
			cell.Servers = append(cell.Servers, p.server(key, entry))
		}
	}
	for address, server := range p.servers {
		if !owned[address] {
			server.Owned = false
			p.removeUnused(server)
		}
	}
}

// server returns the state of a declared backend server, creating it if needed.
func (p *Pool) server(cell caller.Cell, declared Declared) *Server {
	server, ok := p.servers[declared.Address]
	if !ok {
		server = NewServer(declared.Address)
		p.servers[declared.Address] = server
	}
	server.declare(cell, declared)
	if p.Options.WithoutRamp {
		server.Allowance = float64(declared.Slots)
	}

	return server
}

// removeUnused removes a backend server that is not owned and has no attempt or
// probe in flight.
func (p *Pool) removeUnused(server *Server) {
	if !server.Owned && server.InFlight == 0 && !server.Probes.Running {
		delete(p.servers, server.Address)
	}
}

// violatedf appends an action that reports a broken invariant.
func (p *Pool) violatedf(invariant, format string, args ...any) {
	p.actions = append(p.actions, Violation{caller.Violation{
		Invariant: invariant, Detail: fmt.Sprintf(format, args...),
	}})
}
