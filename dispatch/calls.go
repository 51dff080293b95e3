package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
)

// ask routes an Ask and remembers where its reply goes.
func (d *Duty) ask(now time.Time, input Ask) {
	id := NextCall()
	d.pendingAsks[id] = input.Reply
	d.stepRouter(now, caller.Asked{ID: id, Service: input.Service})
}

// answerAsk replies to an Ask.
func (d *Duty) answerAsk(id caller.CallID, reply AskReply) {
	_ = d.pendingAsks[id].Offer(reply) // the ring has room by contract
	delete(d.pendingAsks, id)
}

// refuse replies to a call or an Ask that the router refused.
func (d *Duty) refuse(action caller.Refuse) {
	if _, asked := d.pendingAsks[action.ID]; asked {
		d.answerAsk(action.ID, AskReply{Refusal: action.Outcome})

		return
	}
	d.finish(action.ID, Finished{Outcome: action.Outcome})
}

// stepRouter passes an event to the router and carries out the actions.
func (d *Duty) stepRouter(now time.Time, event caller.Event) {
	for _, action := range d.Router.Step(now, event) {
		switch action := action.(type) {
		case caller.PlaceCall:
			d.stepPool(now, backend.CallPlaced{Call: action.Call, Cell: action.Cell})
		case caller.ForwardCall:
			d.forward(action)
		case caller.AnswerAsk:
			d.answerAsk(action.ID, AskReply{Answer: &action.Answer})
		case caller.Refuse:
			d.refuse(action)
		case caller.Violation:
			d.reportViolation(action)
		}
	}
}

// stepPool passes an event to the pool and carries out the actions. Actions that
// step the pool again are deferred until the others are done.
func (d *Duty) stepPool(now time.Time, event backend.Event) {
	var after []func()
	for _, action := range d.Pool.Step(now, event) {
		switch action := action.(type) {
		case backend.StartAttempt:
			if !d.start(action) {
				after = append(after, func() { d.rejectAttempt(now, action.Attempt) })
			}
		case backend.CancelAttempt:
			d.attempts[action.Attempt].Cancel()
		case backend.DeliverAnswer:
			d.begin(action.Call, d.answer)
		case backend.EndCall:
			if !d.tryReroute(action) {
				d.endCall(action)

				continue
			}
			call := d.calls[action.Call].call
			after = append(after, func() { d.stepRouter(now, caller.Called{Call: call}) })
		case backend.MoveCall:
			after = append(after, func() { d.move(now, action) })
		case backend.SeekRoom:
			after = append(after, func() { d.seekRoom(now, action.Cell) })
		case backend.StartProbe:
			if d.Probes.Offer(Probe{Address: action.Address, Timeout: action.Timeout}) != nil {
				after = append(after, func() { d.rejectProbe(now, action.Address) })
			}
		case backend.Violation:
			d.reportViolation(action.Violation)
		}
	}
	for _, follow := range after {
		follow()
	}
}

// rejectAttempt ends an attempt for which the senders' ring had no room.
func (d *Duty) rejectAttempt(now time.Time, id backend.AttemptID) {
	cause := &ring.FullError{Ring: d.Attempts.Name, Capacity: d.Attempts.Capacity()}
	d.ended(now, Ended{Attempt: d.attempts[id], Result: backend.Unsent{Local: true, Cause: cause}})
}

// rejectProbe ends a probe for which the probers' ring had no room.
func (d *Duty) rejectProbe(now time.Time, address string) {
	d.stepPool(now, backend.ProbeEnded{Address: address, Healthy: true}) // not sent, so not a failure
}

// start offers an attempt to the senders and reports whether their ring had room.
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
	d.addRunSent(call)

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
	d.addRunSent(call)
}

// cancel cancels a call whose caller has disconnected.
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
		d.cancelOrderRequest(now, call)

		return
	}
	d.stepPool(now, backend.CallCancelled{Call: id})
}

// answering processes the first part of a large response.
func (d *Duty) answering(now time.Time, input Answering) {
	if input.Attempt.Forward {
		d.begin(input.Attempt.Call, input.Answer)

		return
	}
	d.answer = input.Answer
	d.stepPool(now, backend.AttemptAnswering{Attempt: input.Attempt.ID})
	d.answer = nil
}

// ended processes the result of an attempt.
func (d *Duty) ended(now time.Time, input Ended) {
	if input.Attempt.Forward {
		d.finish(input.Attempt.Call, d.forwarded(input))

		return
	}
	d.Metrics.Attempt(resultName(input.Result))
	d.answer = input.Answer
	d.stepPool(now, backend.AttemptEnded{Attempt: input.Attempt.ID, Result: input.Result})
	d.answer = nil
	delete(d.attempts, input.Attempt.ID)
}

// tryReroute reports whether a refused call is to be routed again because the
// cell in which it waited now belongs to another host. Reroutes are limited to
// maxReroutes for each call.
func (d *Duty) tryReroute(action backend.EndCall) bool {
	refused, ok := action.Outcome.(caller.NotRun)
	call := d.calls[action.Call]
	if !ok || refused.Reason != caller.ReasonMisdirected || call == nil || call.reroutes >= maxReroutes {
		return false
	}
	call.reroutes++

	return true
}

// endCall replies with the outcome that the pool determined.
func (d *Duty) endCall(action backend.EndCall) {
	finished := Finished{Outcome: action.Outcome}
	if _, answered := action.Outcome.(caller.Answered); answered {
		finished.Answer = d.answer
	}
	d.finish(action.Call, finished)
}

// begin replies with the first part of a large response. The call is kept until
// its attempt ends, so that it can still be cancelled.
func (d *Duty) begin(id caller.CallID, answer *Answer) {
	call, ok := d.calls[id]
	if ok && call.run != nil {
		call.run.begun = answer
		d.addRunEvent(runBegun{run: id, answer: answer})

		return
	}
	if !ok || call.reply == nil {
		return
	}
	_ = call.reply.Offer(AnswerBegun{Answer: answer}) // the ring has room by contract
	call.reply = nil
}

// finish removes the call and replies, unless a large response has already been
// started.
func (d *Duty) finish(id caller.CallID, finished Finished) {
	call, ok := d.calls[id]
	if !ok {
		return
	}
	delete(d.calls, id)
	if call.run != nil {
		d.addRunEvent(runFinished{run: id, state: call.run, finished: finished})

		return
	}
	d.Metrics.Call(callLabels(call.call.Service, finished.Outcome))
	if call.reply != nil {
		_ = call.reply.Offer(finished) // the ring has room by contract
	}
}
