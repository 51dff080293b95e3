package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// run is the only run of an order.
type run struct {
	// begun is the large answer that arrives, or nil.
	begun *Answer
	// streamReceiver is the request that receives it, or 0.
	streamReceiver caller.CallID
}

// runEvent is what the order book has yet to be told about a run. Notes are kept
// until the end of a step because they arise while the pool's actions are
// being carried out.
//
//sumtype:decl
type runEvent interface{ runEvent() }

// runSent says that a run was given to a sender.
type runSent struct {
	run caller.CallID
}

// runBegun says that a large answer arrives.
type runBegun struct {
	run    caller.CallID
	answer *Answer
}

// runFinished says how a run ended.
type runFinished struct {
	run      caller.CallID
	state    *run
	finished Finished
}

func (runSent) runEvent()     {}
func (runBegun) runEvent()    {}
func (runFinished) runEvent() {}

// addRunEvent keeps a note until the end of the step.
func (d *Duty) addRunEvent(event runEvent) {
	d.Orders.runEvents = append(d.Orders.runEvents, event)
}

// addRunSent notes that an attempt of the call was given to a sender.
func (d *Duty) addRunSent(call *pendingCall) {
	if call.run != nil {
		d.addRunEvent(runSent{run: call.call.ID})
	}
}

// processRunEvents tells the order book what happened to runs until nothing more
// follows from it.
func (d *Duty) processRunEvents(now time.Time) {
	for len(d.Orders.runEvents) > 0 {
		note := d.Orders.runEvents[0]
		d.Orders.runEvents = d.Orders.runEvents[1:]
		switch note := note.(type) {
		case runSent:
			d.stepOrders(now, caller.RunSent{Run: note.run}, nil)
		case runBegun:
			d.stepOrders(now, caller.RunAnswering{Run: note.run}, note.answer)
		case runFinished:
			d.runFinished(now, note)
		}
	}
}

// runFinished tells the order book how a run ended.
func (d *Duty) runFinished(now time.Time, event runFinished) {
	ended := caller.RunEnded{Run: event.run, Outcome: event.finished.Outcome}
	if event.finished.Answer != nil {
		ended.Size = len(event.finished.Answer.Body)
	}
	d.stepOrders(now, ended, event.finished.Answer)
	delete(d.calls, event.state.streamReceiver)
}

// startRun runs an order as a call of its own.
func (d *Duty) startRun(now time.Time, action caller.StartRun) {
	d.calls[action.Call.ID] = &pendingCall{request: d.calls[action.For].request, call: action.Call, run: &run{}}
	d.stepRouter(now, caller.Called{Call: action.Call})
}

// beginOrder gives a large answer to a request.
func (d *Duty) beginOrder(event caller.OrderEvent, id caller.CallID, answer *Answer) {
	answering, ok := event.(caller.RunAnswering)
	if !ok {
		return
	}
	d.begin(id, answer)
	d.calls[id].streamedRun = answering.Run
	if running, ok := d.calls[answering.Run]; ok {
		running.run.streamReceiver = id
	}
}
