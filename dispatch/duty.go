package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// maxMoves bounds how often a waiting call is routed again.
const maxMoves = 2

const (
	// tickInterval is the time between checks of deadlines while calls wait or run.
	tickInterval = 5 * time.Millisecond
	// idleInterval is the time between ticks while there is no call.
	idleInterval = 50 * time.Millisecond
)

// FrozenAfter is the gap between two inputs or ticks after which the duty knows
// that it was frozen. It then places no call until the membership, whose bound
// is smaller, confirms that this host is not isolated.
const FrozenAfter = time.Second

// pending is a call that has no reply yet or whose answer is being delivered.
type pending struct {
	request *Request
	call    caller.Call
	reply   *ring.Ring[Reply]
	forward *Attempt
	// order is set for a caller's request for an order.
	order *caller.OrderRequest
	// run is set for the run of an order.
	run *run
	// streams is the run whose large answer the request receives, or 0.
	streams caller.CallID
	// moves counts how often the call was routed again.
	moves int
}

// Duty is the state of the dispatch duty.
type Duty struct {
	// Inputs is the ring that the duty takes from.
	Inputs *ring.Ring[Input]
	// Attempts is the ring that the senders take from.
	Attempts *ring.Ring[*Attempt]
	// Probes is the ring that the probers take from.
	Probes *ring.Ring[Probe]
	// Seeks is the ring of the duty that asks other owners for room; nil asks none.
	Seeks *ring.Ring[Seek]
	// Router decides where calls are placed.
	Router *caller.Router
	// Pool decides how placed calls are run.
	Pool *backend.Pool
	// Orders holds the orders of this incarnation.
	Orders *Orders
	// ConfiguredHosts is the number of entry hosts that share a backend server's
	// connections.
	ConfiguredHosts int
	// Targets receives the backend servers of this host's cells, unless it is
	// nil. It has room for one item, the newest; only this duty offers to it.
	Targets *ring.Ring[[]Target]
	// Metrics counts what happens.
	Metrics *prometheus.Dispatch
	// Log receives broken invariants.
	Log *logrus.Entry

	calls      map[caller.CallID]*pending
	questions  map[caller.CallID]*ring.Ring[AskReply]
	attempts   map[backend.AttemptID]*Attempt
	answer     *Answer
	isolated   bool
	seenAt     time.Time
	thawedAt   time.Time
	observedAt time.Time
}

// New returns a duty that has no configuration yet.
func New(inputs *ring.Ring[Input], attempts *ring.Ring[*Attempt], probes *ring.Ring[Probe], router *caller.Router, pool *backend.Pool, log *logrus.Entry) *Duty {
	return &Duty{
		Inputs:   inputs,
		Attempts: attempts,
		Probes:   probes,
		Router:   router,
		Pool:     pool,
		Orders:   NewOrders(caller.NewOrderBook("", 0, 0, time.Now()), nil, nil),
		Metrics:  prometheus.NewDispatch(prometheus.New()),

		ConfiguredHosts: 1,

		Log:       log,
		calls:     map[caller.CallID]*pending{},
		questions: map[caller.CallID]*ring.Ring[AskReply]{},
		attempts:  map[backend.AttemptID]*Attempt{},
	}
}

// Run takes inputs until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	defer d.stop()
	idle := true
	for {
		select {
		case input := <-d.Inputs.Items():
			d.Step(time.Now(), input)
			if idle && len(d.calls) > 0 {
				idle = false
				timer.Reset(tickInterval)
			}
		case <-timer.C:
			d.tick(time.Now())
			idle = len(d.calls) == 0
			timer.Reset(interval(idle))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// interval returns the time until the next tick.
func interval(idle bool) time.Duration {
	if idle {
		return idleInterval
	}

	return tickInterval
}

// tick carries out what the passing of time brings.
func (d *Duty) tick(now time.Time) {
	d.notice(now)
	if d.Pool.Busy() {
		d.backend(now, backend.Ticked{})
	}
	d.tickOrders(now)
	d.observe(now)
}

// stop gives up all attempts, so that the senders can stop, and replies to every
// call that has no reply yet.
func (d *Duty) stop() {
	for _, attempt := range d.attempts {
		attempt.Cancel()
	}
	stopping := Finished{Outcome: caller.Unknown{Reason: caller.ReasonStopping}}
	for _, call := range d.calls {
		if call.forward != nil {
			call.forward.Cancel()
		}
		if call.reply != nil {
			_ = call.reply.Offer(stopping) // the ring has room by contract
		}
	}
	for input, ok := d.Inputs.Poll(); ok; input, ok = d.Inputs.Poll() {
		if call, isCall := input.(Call); isCall {
			_ = call.Reply.Offer(Finished{Outcome: caller.NotRun{Reason: caller.ReasonStopping}}) // as above
		}
		if order, isOrder := input.(OrderCall); isOrder {
			_ = order.Reply.Offer(Finished{Outcome: order.Order.Undelivered(caller.ReasonStopping)}) // as above
		}
	}
}

// suspend makes the router refuse calls while this host is isolated or frozen.
func (d *Duty) suspend(now time.Time) {
	d.caller(now, caller.Suspended{On: d.isolated || !d.thawedAt.IsZero()})
	d.adoptCells(now)
}

// notice notices that the duty was frozen.
func (d *Duty) notice(now time.Time) {
	frozen := !d.seenAt.IsZero() && now.Sub(d.seenAt) > FrozenAfter
	d.seenAt = now
	if frozen {
		d.thawedAt = now
		d.suspend(now)
	}
}

// confirm resumes after a freeze.
func (d *Duty) confirm(now, at time.Time) {
	if !d.thawedAt.IsZero() && at.After(d.thawedAt) {
		d.thawedAt = time.Time{}
		d.suspend(now)
	}
}

// Step carries out one input.
func (d *Duty) Step(now time.Time, input Input) {
	d.notice(now)
	d.step(now, input)
	d.settleRuns(now)
}

// step carries out one input except for what follows from it for orders.
func (d *Duty) step(now time.Time, input Input) {
	switch input := input.(type) {
	case Ask:
		d.ask(now, input)
	case OrderCall:
		d.orderCalled(now, input)
	case OrderAsk:
		_ = input.Reply.Offer(d.orderStatus(now, input.Order)) // the ring has room by contract
	case OrdersDump:
		_ = input.Reply.Offer(d.Orders.Book.Dump()) // the ring has room by contract
	case Claimed:
		d.claimed(now, input)
	case Call:
		d.calls[input.Call.ID] = &pending{request: input.Request, call: input.Call, reply: input.Reply}
		d.caller(now, caller.Called{Call: input.Call})
	case Cancel:
		d.cancel(now, input.Call)
	case Answering:
		d.answering(now, input)
	case Ended:
		d.ended(now, input)
	case Probed:
		d.Metrics.Probe(input.Healthy)
		d.backend(now, backend.ProbeEnded{Address: input.Address, Healthy: input.Healthy})
	case Control:
		d.control(now, input)
	}
}

// control carries out an input that concerns the host.
func (d *Duty) control(now time.Time, input Control) {
	switch input := input.(type) {
	case Route:
		d.Metrics.Configuration(input.Routes.Configuration.Version)
		d.Metrics.Hosts(len(input.Routes.Hosts))
		d.caller(now, caller.RoutesChanged{Routes: input.Routes})
		d.adoptCells(now)
	case Isolate:
		d.isolated = input.Isolated
		d.suspend(now)
	case Confirm:
		d.confirm(now, input.At)
	case Shares:
		d.backend(now, backend.SharesChanged{Held: input.Held})
	case RoomAsked:
		_ = input.Reply.Offer(schema.Room{Free: d.Pool.Room(now, input.Cell)}) // the ring has room by contract
	case RoomFound:
		d.backend(now, backend.RoomFound{Cell: input.Cell, Room: input.Room})
	case Dump:
		_ = input.Reply.Offer(d.dump(now)) // the ring has room by contract
	}
}

// ask answers a question.
func (d *Duty) ask(now time.Time, question Ask) {
	id := NextCall()
	d.questions[id] = question.Reply
	d.caller(now, caller.Asked{ID: id, Service: question.Service})
}

// answerAsk replies to a question.
func (d *Duty) answerAsk(id caller.CallID, reply AskReply) {
	_ = d.questions[id].Offer(reply) // the ring has room by contract
	delete(d.questions, id)
}

// refuse ends a call or a question that is not placed.
func (d *Duty) refuse(action caller.Refuse) {
	if _, asked := d.questions[action.ID]; asked {
		d.answerAsk(action.ID, AskReply{Refusal: action.Outcome})

		return
	}
	d.finish(action.ID, Finished{Outcome: action.Outcome})
}

// caller steps the router and carries out its actions.
func (d *Duty) caller(now time.Time, event caller.Event) {
	for _, action := range d.Router.Step(now, event) {
		switch action := action.(type) {
		case caller.PlaceCall:
			d.backend(now, backend.CallPlaced{Call: action.Call, Cell: action.Cell})
		case caller.ForwardCall:
			d.forward(action)
		case caller.AnswerAsk:
			d.answerAsk(action.ID, AskReply{Answer: &action.Answer})
		case caller.Refuse:
			d.refuse(action)
		case caller.Violation:
			d.violated(action)
		}
	}
}

// backend steps the pool and carries out its actions. What steps the pool again
// follows after all of them.
func (d *Duty) backend(now time.Time, event backend.Event) {
	var after []func()
	for _, action := range d.Pool.Step(now, event) {
		switch action := action.(type) {
		case backend.StartAttempt:
			if !d.start(action) {
				after = append(after, func() { d.unsent(now, action.Attempt) })
			}
		case backend.CancelAttempt:
			d.attempts[action.Attempt].Cancel()
		case backend.DeliverAnswer:
			d.begin(action.Call, d.answer)
		case backend.EndCall:
			if !d.moves(action) {
				d.endCall(action)

				continue
			}
			call := d.calls[action.Call].call
			after = append(after, func() { d.caller(now, caller.Called{Call: call}) })
		case backend.MoveCall:
			after = append(after, func() { d.move(now, action) })
		case backend.SeekRoom:
			after = append(after, func() { d.seek(now, action.Cell) })
		case backend.StartProbe:
			if d.Probes.Offer(Probe{Address: action.Address, Timeout: action.Timeout}) != nil {
				after = append(after, func() { d.unprobed(now, action.Address) })
			}
		case backend.Violation:
			d.violated(action.Violation)
		}
	}
	for _, follow := range after {
		follow()
	}
}

// unsent ends an attempt that the senders' ring had no room for.
func (d *Duty) unsent(now time.Time, id backend.AttemptID) {
	cause := &ring.FullError{Ring: d.Attempts.Name, Capacity: d.Attempts.Capacity()}
	d.ended(now, Ended{Attempt: d.attempts[id], Result: backend.Unsent{Local: true, Cause: cause}})
}

// unprobed ends a probe that the probers' ring had no room for.
func (d *Duty) unprobed(now time.Time, address string) {
	d.backend(now, backend.ProbeEnded{Address: address, Healthy: true}) // nothing was learned
}

// start gives an attempt to the senders and reports whether their ring had room.
func (d *Duty) start(action backend.StartAttempt) bool {
	call := d.calls[action.Call]
	attempt := NewAttempt(Attempt{
		ID:       action.Attempt,
		Call:     action.Call,
		Service:  call.call.Service,
		Address:  action.Address,
		Request:  call.request,
		Deadline: action.Deadline,
		Depth:    call.call.Depth,
	})
	d.attempts[action.Attempt] = attempt
	if d.Attempts.Offer(attempt) != nil {
		return false
	}
	d.noteSent(call)

	return true
}

// forward sends a call to another entry host.
func (d *Duty) forward(action caller.ForwardCall) {
	call := d.calls[action.Call.ID]
	call.forward = NewAttempt(Attempt{
		Call:     action.Call.ID,
		Service:  action.Call.Service,
		Address:  action.Address,
		Request:  call.request,
		Deadline: action.Call.Deadline,
		Forward:  true,
		Hops:     action.Call.Hops + 1,
		Depth:    action.Call.Depth,
		OrderID:  action.Call.OrderID,
	})
	if err := d.Attempts.Offer(call.forward); err != nil {
		d.finish(action.Call.ID, Finished{Outcome: caller.NotRun{Reason: caller.ReasonOverloaded}})

		return
	}
	d.noteSent(call)
}

// cancel gives up a call whose caller went away.
func (d *Duty) cancel(now time.Time, id caller.CallID) {
	call, ok := d.calls[id]
	if !ok {
		return
	}
	if call.forward != nil {
		call.forward.Cancel()

		return
	}
	if call.order != nil {
		d.orderLeft(now, call)

		return
	}
	d.backend(now, backend.CallCancelled{Call: id})
}

// answering begins a large answer.
func (d *Duty) answering(now time.Time, input Answering) {
	if input.Attempt.Forward {
		d.begin(input.Attempt.Call, input.Answer)

		return
	}
	d.answer = input.Answer
	d.backend(now, backend.AttemptAnswering{Attempt: input.Attempt.ID})
	d.answer = nil
}

// ended ends an attempt and what depends on it.
func (d *Duty) ended(now time.Time, input Ended) {
	if input.Attempt.Forward {
		d.finish(input.Attempt.Call, d.forwarded(input))

		return
	}
	d.Metrics.Attempt(resultName(input.Result))
	d.answer = input.Answer
	d.backend(now, backend.AttemptEnded{Attempt: input.Attempt.ID, Result: input.Result})
	d.answer = nil
	delete(d.attempts, input.Attempt.ID)
}

// moves reports whether a call that waited in a cell of another host now is
// routed again instead of being refused.
func (d *Duty) moves(action backend.EndCall) bool {
	refused, ok := action.Outcome.(caller.NotRun)
	call := d.calls[action.Call]
	if !ok || refused.Reason != caller.ReasonMisdirected || call == nil || call.moves >= maxMoves {
		return false
	}
	call.moves++

	return true
}

// endCall replies with the outcome that the pool decided.
func (d *Duty) endCall(action backend.EndCall) {
	finished := Finished{Outcome: action.Outcome}
	if _, answered := action.Outcome.(caller.Answered); answered {
		finished.Answer = d.answer
	}
	d.finish(action.Call, finished)
}

// begin replies with the first part of a large answer. The call stays until
// its attempt ends, so that it can still be cancelled.
func (d *Duty) begin(id caller.CallID, answer *Answer) {
	call, ok := d.calls[id]
	if ok && call.run != nil {
		call.run.begun = answer
		d.note(runBegun{run: id, answer: answer})

		return
	}
	if !ok || call.reply == nil {
		return
	}
	_ = call.reply.Offer(Begun{Answer: answer}) // the ring has room by contract
	call.reply = nil
}

// finish forgets the call and replies unless an answer was begun.
func (d *Duty) finish(id caller.CallID, finished Finished) {
	call, ok := d.calls[id]
	if !ok {
		return
	}
	delete(d.calls, id)
	if call.run != nil {
		d.note(runFinished{run: id, of: call.run, finished: finished})

		return
	}
	d.Metrics.Call(callLabels(call.call.Service, finished.Outcome))
	if call.reply != nil {
		_ = call.reply.Offer(finished) // the ring has room by contract
	}
}

// adoptCells tells the pool which cells this host owns.
func (d *Duty) adoptCells(now time.Time) {
	rates := map[string]int{}
	for _, service := range d.Router.Routes.Configuration.Services {
		rates[service.Name] = service.ProbeRateMilli
	}
	cells := map[caller.Cell][]backend.Declared{}
	for cell, servers := range d.Router.Owned() {
		declared := make([]backend.Declared, 0, len(servers))
		for _, server := range servers {
			declared = append(declared, backend.Declared{
				Address: server.Address, Slots: min(server.Slots, d.share(server)), Leaving: server.Leaving,
				ProbeRateMilli: rates[server.Service],
			})
		}
		cells[cell] = declared
	}
	d.backend(now, backend.CellsChanged{Cells: cells})
	d.offerTargets()
}

// share returns this host's part of the connections that a backend server
// accepts from all hosts together.
func (d *Duty) share(server schema.BackendServer) int {
	return max(server.Connections/d.ConfiguredHosts, 1)
}

// offerTargets tells the opener which backend servers this host dispatches to.
func (d *Duty) offerTargets() {
	if d.Targets == nil {
		return
	}
	var targets []Target
	for _, servers := range d.Router.Owned() {
		for _, server := range servers {
			target := Target{Address: server.Address, Connections: d.share(server)}
			if !server.Leaving {
				target.Ahead = min(server.Slots, target.Connections)
			}
			targets = append(targets, target)
		}
	}
	d.Targets.Poll()
	_ = d.Targets.Offer(targets) // there is room, because only this duty offers
}

// dump describes every routable cell and the state of the owned ones.
func (d *Duty) dump(now time.Time) []schema.CellDump {
	dumps := []schema.CellDump{}
	for _, service := range d.Router.Routes.Configuration.Services {
		for _, dataCentre := range d.Router.Routes.Configuration.DataCentres {
			cell := caller.Cell{Service: service.Name, DataCentre: dataCentre.Name}
			owner := d.Router.Owner(cell)
			if owner == "" {
				continue
			}
			dump := schema.CellDump{Service: cell.Service, DataCentre: cell.DataCentre, Owner: owner}
			dump.BackendServers = []schema.BackendServerDump{}
			if state, ok := d.Pool.Cells[cell]; ok {
				dump.Queued = state.Queue.Len()
				dump.BackendServers = dumpServers(now, state.Servers)
			}
			dumps = append(dumps, dump)
		}
	}

	return dumps
}

// dumpServers describes backend servers in the order of their addresses.
func dumpServers(now time.Time, servers []*backend.Server) []schema.BackendServerDump {
	dumps := make([]schema.BackendServerDump, 0, len(servers))
	for _, server := range servers {
		dumps = append(dumps, schema.BackendServerDump{
			Address:   server.Address,
			Slots:     server.Slots,
			InFlight:  server.InFlight,
			Allowance: server.Allowance,
			LatencyUs: int(server.Latency.Microseconds()),
			Ejected:   server.Ejected(now),
		})
	}
	slices.SortFunc(dumps, func(a, b schema.BackendServerDump) int {
		if a.Address < b.Address {
			return -1
		}

		return 1
	})

	return dumps
}

// violated logs a broken invariant.
func (d *Duty) violated(violation caller.Violation) {
	d.Metrics.Violation(violation.Invariant)
	d.Log.WithFields(logrus.Fields{"event": "invariant_broken", "invariant": violation.Invariant}).Error(violation.Detail)
}
