package edge

import (
	"context"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/group"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// busyTickInterval is the time between ticks while calls are open. It is a
	// small part of any latency objective.
	busyTickInterval = 10 * time.Millisecond
	// servingTickInterval is the time between ticks of a serving host without open
	// calls, which still probes backend servers.
	servingTickInterval = 25 * time.Millisecond
	// idleTickInterval is the time between ticks of any other host.
	idleTickInterval = 250 * time.Millisecond
	// loadReportInterval is the time between load reports to the control duty.
	loadReportInterval = 50 * time.Millisecond
	// rateInterval is the time over which the rate of arriving calls is averaged.
	rateInterval = 2 * time.Second
	// heldUpThreshold is the time between two steps of the calls duty, which are at most
	// idleTickInterval apart otherwise, from which the declared state may be too old to
	// place calls by. Together with a normal propagation it is below any agreed bound.
	heldUpThreshold = time.Second
	// lateInForce is how long a declared state may wait for the calls duty before it is
	// logged as late.
	lateInForce = 50 * time.Millisecond
)

// openCall is a call that has not been answered yet.
type openCall struct {
	request  *Request
	reply    *ring.Ring[Reply]
	attempts []*Attempt
}

// callsDuty owns every call from its arrival to its reply.
type callsDuty struct {
	placer *placement.Placer
	inputs *ring.Ring[Input]
	// changes are taken before inputs: declared states, the hosts that serve, and what a
	// planned stop needs.
	changes  *ring.Ring[Input]
	attempts *ring.Ring[*Attempt]
	probes   *ring.Ring[placement.Probe]
	control  *ring.Ring[ControlInput]
	rollouts *ring.Ring[placement.RecordRollout]
	log      *eventlog.Log
	metrics  *Metrics
	// steps measures each step, as every call waits for this duty.
	steps group.Step

	calls    map[placement.CallID]*openCall
	inFlight map[placement.AttemptID]*Attempt
	serving  bool
	// unrecorded are the states of rollouts for which the ring had no room.
	unrecorded      []placement.RolloutRecorded
	loadsReportedAt time.Time
	arrivals        int
	rateSince       time.Time
	rate            int
	steppedAt       time.Time
	confirmation    *confirmation
	adopted         adoption
	tenants         tenantLabels
	borrowed        borrowedShares
}

// run handles inputs and ticks until the context ends, then cancels the
// in-flight attempts.
func (d *callsDuty) run(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	defer d.cancelAttempts()
	delay := idleTickInterval
	for {
		select {
		case change := <-d.changes.Items():
			d.steps.Begin()
			d.step(time.Now(), change)
		case input := <-d.inputs.Items():
			d.steps.Begin()
			d.takeChanges()
			d.step(time.Now(), input)
			if interval := d.interval(); interval < delay {
				delay = interval
				timer.Reset(delay)
			}
		case <-timer.C:
			d.steps.Begin()
			d.tick(time.Now())
			delay = d.interval()
			timer.Reset(delay)
		case <-ctx.Done():
			return ctx.Err()
		}
		d.steps.End()
	}
}

// takeChanges handles the changes that wait, so that calls are placed by the newest
// declared state however many inputs wait before them.
func (d *callsDuty) takeChanges() {
	for change, found := d.changes.Poll(); found; change, found = d.changes.Poll() {
		d.step(time.Now(), change)
	}
}

// interval returns the time until the next tick.
func (d *callsDuty) interval() time.Duration {
	switch {
	case d.placer.Open() > 0:
		return busyTickInterval
	case d.serving:
		return servingTickInterval
	default:
		return idleTickInterval
	}
}

// cancelAttempts cancels all in-flight attempts.
func (d *callsDuty) cancelAttempts() {
	for _, attempt := range d.inFlight {
		attempt.cancel()
	}
}

// tick advances the placer's clock and, at most once per loadReportInterval,
// sends a load report to the control duty.
func (d *callsDuty) tick(now time.Time) {
	d.noteHeldUp(now)
	d.reportUnrecorded(now)
	d.apply(now, d.placer.Step(now, placement.Ticked{}))
	if !d.serving && len(d.inFlight) == 0 || now.Sub(d.loadsReportedAt) < loadReportInterval {
		return
	}
	d.loadsReportedAt = now
	if elapsed := now.Sub(d.rateSince); elapsed >= rateInterval {
		d.rate = int(float64(d.arrivals) / elapsed.Seconds())
		d.arrivals, d.rateSince = 0, now
	}
	d.noteShares(now, d.placer.Shares(now))
	if d.control.Offer(LoadsReported{
		Loads: d.placer.Loads(now), Calls: d.rate, Crosses: d.placer.Crosses(now), Leaving: d.placer.Leaving(now), Rollouts: d.placer.Rollouts(now), Shares: d.placer.ShareReport(now),
	}) != nil {
		d.metrics.Dropped("loads")
	}
}

// step handles one input.
func (d *callsDuty) step(now time.Time, input Input) {
	d.noteHeldUp(now)
	switch input := input.(type) {
	case CallArrived:
		d.arrivals++
		d.calls[input.Call] = &openCall{request: input.Request, reply: input.Reply}
		d.apply(now, d.placer.Step(now, placement.CallArrived{
			Call: input.Call, HostName: input.Request.HostName, Path: input.Request.Path, Wait: input.Request.Wait, Elapsed: input.ReadFor,
			Ahead:     input.Ahead,
			KeyDigest: input.Request.KeyDigest,
		}))
	case CallerLeft:
		d.apply(now, d.placer.Step(now, placement.CallerLeft{Call: input.Call}))
	case AttemptEnded:
		d.handleAttemptEnded(now, input)
	case PlacementEvent:
		d.apply(now, d.placer.Step(now, input.Event))
	case DeclaredChanged:
		d.adopted.note(input)
		d.apply(now, d.placer.Step(now, placement.DeclaredChanged{Declared: input.Declared}))
		d.noteInForce(now, input)
	case ServingChanged:
		d.serving = input.Serving
	case DumpQuery:
		_ = input.Reply.Offer(d.placer.Dump(now)) // the sender of the query guarantees room
	case OpenCallsQuery:
		_ = input.Reply.Offer(d.countOpenCalls()) // as above
	}
}

// noteHeldUp keeps calls from being placed after the process was held up, until the
// control duty reports that the declared state has been confirmed.
func (d *callsDuty) noteHeldUp(now time.Time) {
	heldUp := now.Sub(d.steppedAt)
	if d.steppedAt.IsZero() || heldUp < heldUpThreshold {
		d.steppedAt = now

		return
	}
	d.steppedAt = now
	d.log.Event(eventlog.Warning, "calls_held_up", "process was held up; placing no calls until the declared state is confirmed", eventlog.Duration("for", heldUp))
	d.apply(now, d.placer.Step(now, placement.Resumed{}))
	if d.control.Offer(ConfirmationRequested{Since: now}) != nil {
		d.metrics.Dropped("confirmations")
	}
}

// noteInForce records how long a declared state waited for this duty, from which on calls
// are placed by it.
func (d *callsDuty) noteInForce(now time.Time, change DeclaredChanged) {
	waited := now.Sub(change.AdoptedAt)
	d.metrics.InForce(waited)
	if waited >= lateInForce {
		d.log.Event(eventlog.Warning, "declared_in_force_late", "calls were placed by an older declared state meanwhile",
			eventlog.Text("orders_at", change.Declared.OrdersAt.String()), eventlog.Text("registrations_at", change.Declared.RegistrationsAt.String()),
			eventlog.Duration("waited", waited))
	}
}

// handleAttemptEnded releases the attempt, logs its result and passes the
// result to the placer.
func (d *callsDuty) handleAttemptEnded(now time.Time, input AttemptEnded) {
	attempt := input.Attempt
	attempt.cancel()
	attempt.answer, attempt.signed = input.Decoded.Answer, input.Decoded.Signed
	delete(d.inFlight, attempt.Attempt)
	d.logEnded(now, attempt, input.Decoded.Result)
	if whole, ok := input.Decoded.Result.(placement.Whole); ok && attempt.Reason.Crossing {
		d.metrics.Crossed(attempt.Reason.Service, whole.Size+len(attempt.Request.Body))
	}
	d.apply(now, d.placer.Step(now, placement.AttemptEnded{
		Attempt: attempt.Attempt, Result: input.Decoded.Result, Load: input.Decoded.Load, Notice: input.Decoded.Notice,
	}))
	if _, open := d.calls[attempt.Call]; !open {
		d.releaseAnswer(attempt)
	}
}

// apply carries out the actions of one step. It then ends the attempts that
// found all senders busy, which may lead to further steps.
func (d *callsDuty) apply(now time.Time, actions []placement.Action) {
	var unsent []*Attempt
	for _, action := range actions {
		switch action := action.(type) {
		case placement.Send:
			if attempt := d.send(now, action); attempt != nil {
				unsent = append(unsent, attempt)
			}
		case placement.Cancel:
			if attempt, running := d.inFlight[action.Attempt]; running {
				attempt.cancelledFor = action.Reason
				attempt.cancel()
			}
		case placement.Finish:
			d.finish(now, action)
		case placement.Probe:
			if err := d.probes.Offer(action); err != nil {
				d.metrics.Dropped("probes")
			}
		case placement.ServerStatusChanged:
			d.metrics.StateChanged(string(action.Status))
			d.log.Event(eventlog.Info, "backend_server_"+string(action.Status), "backend server receives fewer calls or none",
				eventlog.Text("backend_server", action.Server), eventlog.Number("failures", action.Failures), eventlog.Duration("for", action.For))
		case placement.RecordRollout:
			d.record(action)
		case placement.RolloutChanged:
			d.logRollout(action)
		case placement.RefusalsOutdated:
			d.logOutdated(action)
		}
	}
	for _, attempt := range unsent {
		d.handleAttemptEnded(now, AttemptEnded{Attempt: attempt, Decoded: DecodedAnswer{Result: placement.Unsent{Local: true, Cause: errSendersBusy}}})
	}
}

// send offers an attempt to the senders and returns it if all of them are busy.
func (d *callsDuty) send(now time.Time, action placement.Send) *Attempt {
	call := d.calls[action.Call]
	attempt := newAttempt(now, action, call.request)
	call.attempts = append(call.attempts, attempt)
	d.inFlight[action.Attempt] = attempt
	d.metrics.Sent(action.Reason)
	d.logSend(now, call.request, action)
	if d.attempts.Offer(attempt) != nil {
		return attempt
	}

	return nil
}

// finish replies to a caller.
func (d *callsDuty) finish(now time.Time, action placement.Finish) {
	call, known := d.calls[action.Call]
	if !known {
		return
	}
	delete(d.calls, action.Call)
	reply := Reply{Outcome: action.Outcome}
	if _, deferred := action.Outcome.(placement.Deferred); deferred {
		d.arrivals-- // it arrives again
		_ = call.reply.Offer(reply)

		return
	}
	if answered, ok := action.Outcome.(placement.Answered); ok {
		reply.takeAnswer(call, answered.Attempt)
	}
	for _, attempt := range call.attempts {
		d.releaseAnswer(attempt)
	}
	d.metrics.Finished(action)
	d.countQuota(action)
	d.logFinish(now, call.request, action, reply)
	_ = call.reply.Offer(reply) // the caller front guarantees room
}

// countOpenCalls counts and logs the calls without an outcome.
func (d *callsDuty) countOpenCalls() OpenCalls {
	var open OpenCalls
	for _, call := range d.calls {
		inFlight := slices.ContainsFunc(call.attempts, func(attempt *Attempt) bool { return d.inFlight[attempt.Attempt] != nil })
		if inFlight {
			open.InFlight++
		} else {
			open.Queued++
		}
		d.logUnanswered(call, inFlight)
	}

	return open
}

// takeAnswer moves the answer to one of a call's attempts, if there is one, and what it
// holds of the memory budget into the reply.
func (r *Reply) takeAnswer(call *openCall, id placement.AttemptID) {
	for _, attempt := range call.attempts {
		if attempt.Attempt == id {
			r.Answer, r.Signed, r.memory = attempt.answer, attempt.signed, attempt.memory
			attempt.answer, attempt.memory = nil, nil
		}
	}
}

// releaseAnswer releases the answer of an attempt that has ended and is not
// delivered.
func (d *callsDuty) releaseAnswer(attempt *Attempt) {
	if _, running := d.inFlight[attempt.Attempt]; !running {
		attempt.memory.Release()
		attempt.answer, attempt.memory = nil, nil
	}
}
