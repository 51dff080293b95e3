package dispatch

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// maxReroutes bounds how often a waiting call is routed again.
const maxReroutes = 2

const (
	// tickInterval is the time between deadline checks while calls wait or run.
	tickInterval = 5 * time.Millisecond
	// idleInterval is the time between ticks while there are no calls.
	idleInterval = 50 * time.Millisecond
)

// FreezeThreshold is the gap between two inputs or ticks above which the duty
// treats the process as having been frozen. It then places no call until the
// membership, whose threshold is lower, confirms that this host is not isolated.
const FreezeThreshold = time.Second

// pendingCall is a call without a reply, or one whose response is being
// delivered.
type pendingCall struct {
	request *Request
	call    caller.Call
	reply   *ring.Ring[Reply]
	forward *Attempt
	// order is set for a caller's request for an order.
	order *caller.OrderRequest
	// run is set if the call is the run of an order.
	run *run
	// streamedRun is the run whose large response this request receives, or 0.
	streamedRun caller.CallID
	// reroutes is the number of times that the call was routed again.
	reroutes int
}

// Duty is the state of the dispatch duty. Only its own goroutine uses it.
type Duty struct {
	// Inputs is the ring that the duty reads from.
	Inputs *ring.Ring[Input]
	// Attempts is the ring that the senders read from.
	Attempts *ring.Ring[*Attempt]
	// Probes is the ring that the probers read from.
	Probes *ring.Ring[Probe]
	// Seeks is the ring of the duty that requests capacity from the owners of other
	// cells. If nil, no capacity is requested.
	Seeks *ring.Ring[SeekRoom]
	// Router decides where calls are placed.
	Router *caller.Router
	// Pool queues placed calls and selects backend servers for them.
	Pool *backend.Pool
	// Orders holds the orders of this incarnation.
	Orders *Orders
	// ConfiguredHosts is the number of entry hosts that share a backend server's
	// connections.
	ConfiguredHosts int
	// Targets receives the backend servers of this host's cells, unless it is
	// nil. It has room for one item, the newest; only this duty offers to it.
	Targets *ring.Ring[[]Target]
	// Metrics records calls, attempts, probes and the state of the cells.
	Metrics *prometheus.Dispatch
	// Log receives invariant violations.
	Log *eventlog.Log

	calls       map[caller.CallID]*pendingCall
	pendingAsks map[caller.CallID]*ring.Ring[AskReply]
	attempts    map[backend.AttemptID]*Attempt
	answer      *Answer
	isolated    bool
	steppedAt   time.Time
	resumedAt   time.Time
	observedAt  time.Time
}

// New returns a duty without a configuration.
func New(inputs *ring.Ring[Input], attempts *ring.Ring[*Attempt], probes *ring.Ring[Probe], router *caller.Router, pool *backend.Pool, log *eventlog.Log) *Duty {
	return &Duty{
		Inputs:   inputs,
		Attempts: attempts,
		Probes:   probes,
		Router:   router,
		Pool:     pool,
		Orders:   NewOrders(caller.NewOrderBook("", 0, 0, time.Now()), nil, nil),
		Metrics:  prometheus.NewDispatch(prometheus.New()),

		ConfiguredHosts: 1,

		Log:         log,
		calls:       map[caller.CallID]*pendingCall{},
		pendingAsks: map[caller.CallID]*ring.Ring[AskReply]{},
		attempts:    map[backend.AttemptID]*Attempt{},
	}
}

// Run processes inputs and ticks until the context ends.
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

func interval(idle bool) time.Duration {
	if idle {
		return idleInterval
	}

	return tickInterval
}

// tick processes timeouts and records the periodic metrics.
func (d *Duty) tick(now time.Time) {
	d.detectFreeze(now)
	if d.Pool.Busy() {
		d.stepPool(now, backend.Ticked{})
	}
	d.tickOrders(now)
	d.observe(now)
}

// stop cancels all attempts, so that the senders can stop, and replies to every
// call that has no reply.
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

// suspend makes the router refuse calls while this host is isolated or has not
// been confirmed since a freeze, and accept them otherwise.
func (d *Duty) suspend(now time.Time) {
	d.stepRouter(now, caller.Suspended{On: d.isolated || !d.resumedAt.IsZero()})
	d.updateCells(now)
}

// detectFreeze suspends the host if the time since the last step exceeds
// FreezeThreshold.
func (d *Duty) detectFreeze(now time.Time) {
	frozen := !d.steppedAt.IsZero() && now.Sub(d.steppedAt) > FreezeThreshold
	d.steppedAt = now
	if frozen {
		d.resumedAt = now
		d.suspend(now)
	}
}

// confirm ends the suspension after a freeze if the confirmation is newer.
func (d *Duty) confirm(now, at time.Time) {
	if !d.resumedAt.IsZero() && at.After(d.resumedAt) {
		d.resumedAt = time.Time{}
		d.suspend(now)
	}
}

// Step processes one input and the run events that it causes.
func (d *Duty) Step(now time.Time, input Input) {
	d.detectFreeze(now)
	d.step(now, input)
	d.processRunEvents(now)
}

// step processes one input without the run events that it causes.
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
		d.calls[input.Call.ID] = &pendingCall{request: input.Request, call: input.Call, reply: input.Reply}
		d.stepRouter(now, caller.Called{Call: input.Call})
	case Cancel:
		d.cancel(now, input.Call)
	case Answering:
		d.answering(now, input)
	case Ended:
		d.ended(now, input)
	case Probed:
		d.Metrics.Probe(input.Healthy)
		d.stepPool(now, backend.ProbeEnded{Address: input.Address, Healthy: input.Healthy})
	case Control:
		d.control(now, input)
	}
}

// control processes an input that concerns the host rather than one call.
func (d *Duty) control(now time.Time, input Control) {
	switch input := input.(type) {
	case Route:
		d.Metrics.Configuration(input.Routes.Configuration.Version)
		d.Metrics.Hosts(len(input.Routes.Hosts))
		d.stepRouter(now, caller.RoutesChanged{Routes: input.Routes})
		d.updateCells(now)
	case Isolate:
		d.isolated = input.Isolated
		d.suspend(now)
	case Confirm:
		d.confirm(now, input.At)
	case Shares:
		d.stepPool(now, backend.SharesChanged{Held: input.Held})
	case RoomAsked:
		_ = input.Reply.Offer(schema.Room{Free: d.Pool.Room(now, input.Cell)}) // the ring has room by contract
	case RoomFound:
		d.stepPool(now, backend.RoomFound{Cell: input.Cell, Room: input.Room})
	case Dump:
		_ = input.Reply.Offer(d.dump(now)) // the ring has room by contract
	}
}

// reportViolation counts and logs an invariant violation.
func (d *Duty) reportViolation(violation caller.Violation) {
	d.Metrics.Violation(violation.Invariant)
	d.Log.Event(eventlog.Error, "invariant_broken", violation.Detail, eventlog.Text("invariant", violation.Invariant))
}
