package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
)

// ask answers a question.
func (d *Duty) ask(now time.Time, input Ask) {
	id := NextCall()
	d.pendingAsks[id] = input.Reply
	d.stepRouter(now, caller.Asked{ID: id, Service: input.Service})
}

// answerAsk replies to a question.
func (d *Duty) answerAsk(id caller.CallID, reply AskReply) {
	_ = d.pendingAsks[id].Offer(reply) // the ring has room by contract
	delete(d.pendingAsks, id)
}

// refuse ends a call or a question that is not placed.
func (d *Duty) refuse(action caller.Refuse) {
	if _, asked := d.pendingAsks[action.ID]; asked {
		d.answerAsk(action.ID, AskReply{Refusal: action.Outcome})

		return
	}
	d.finish(action.ID, Finished{Outcome: action.Outcome})
}

// stepRouter steps the router and carries out its actions.
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

// stepPool steps the pool and carries out its actions. What steps the pool again
// follows after all of them.
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

// rejectAttempt ends an attempt that the senders' ring had no room for.
func (d *Duty) rejectAttempt(now time.Time, id backend.AttemptID) {
	cause := &ring.FullError{Ring: d.Attempts.Name, Capacity: d.Attempts.Capacity()}
	d.ended(now, Ended{Attempt: d.attempts[id], Result: backend.Unsent{Local: true, Cause: cause}})
}

// rejectProbe ends a probe that the probers' ring had no room for.
func (d *Duty) rejectProbe(now time.Time, address string) {
	d.stepPool(now, backend.ProbeEnded{Address: address, Healthy: true}) // nothing was learned
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
		d.cancelOrderRequest(now, call)

		return
	}
	d.stepPool(now, backend.CallCancelled{Call: id})
}

// answering begins a large answer.
func (d *Duty) answering(now time.Time, input Answering) {
	if input.Attempt.Forward {
		d.begin(input.Attempt.Call, input.Answer)

		return
	}
	d.answer = input.Answer
	d.stepPool(now, backend.AttemptAnswering{Attempt: input.Attempt.ID})
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
	d.stepPool(now, backend.AttemptEnded{Attempt: input.Attempt.ID, Result: input.Result})
	d.answer = nil
	delete(d.attempts, input.Attempt.ID)
}

// tryReroute reports whether a call that waited in a cell of another host now is
// routed again instead of being refused.
func (d *Duty) tryReroute(action backend.EndCall) bool {
	refused, ok := action.Outcome.(caller.NotRun)
	call := d.calls[action.Call]
	if !ok || refused.Reason != caller.ReasonMisdirected || call == nil || call.reroutes >= maxReroutes {
		return false
	}
	call.reroutes++

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
		d.addRunEvent(runBegun{run: id, answer: answer})

		return
	}
	if !ok || call.reply == nil {
		return
	}
	_ = call.reply.Offer(AnswerBegun{Answer: answer}) // the ring has room by contract
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
		d.addRunEvent(runFinished{run: id, state: call.run, finished: finished})

		return
	}
	d.Metrics.Call(callLabels(call.call.Service, finished.Outcome))
	if call.reply != nil {
		_ = call.reply.Offer(finished) // the ring has room by contract
	}
}
