package dispatch

import (
	"time"

	"github.com/baobabdrum/baobabdrum/caller"
)

// run is the state of the only run of an order.
type run struct {
	// begun is the large response that is arriving, or nil.
	begun *Answer
	// streamReceiver is the request to which it is streamed, or 0.
	streamReceiver caller.CallID
}

// runEvent is an event of a run that the order book has not processed yet. Events
// are queued until the end of a step, because they occur while the pool's actions
// are being carried out.
//
//sumtype:decl
type runEvent interface{ runEvent() }

// runSent reports that an attempt of a run was passed to a sender.
type runSent struct {
	run caller.CallID
}

// runBegun reports that the first part of a large response has arrived.
type runBegun struct {
	run    caller.CallID
	answer *Answer
}

// runFinished reports how a run ended.
type runFinished struct {
	run      caller.CallID
	state    *run
	finished Finished
}

func (runSent) runEvent()     {}
func (runBegun) runEvent()    {}
func (runFinished) runEvent() {}

// addRunEvent queues an event until the end of the step.
func (d *Duty) addRunEvent(event runEvent) {
	d.Orders.runEvents = append(d.Orders.runEvents, event)
}

// addRunSent queues a runSent if the call is the run of an order.
func (d *Duty) addRunSent(call *pendingCall) {
	if call.run != nil {
		d.addRunEvent(runSent{run: call.call.ID})
	}
}

// processRunEvents passes queued events to the order book until none is left,
// including those that the processing adds.
func (d *Duty) processRunEvents(now time.Time) {
	for len(d.Orders.runEvents) > 0 {
		event := d.Orders.runEvents[0]
		d.Orders.runEvents = d.Orders.runEvents[1:]
		switch event := event.(type) {
		case runSent:
			d.stepOrders(now, caller.RunSent{Run: event.run}, nil)
		case runBegun:
			d.stepOrders(now, caller.RunAnswering{Run: event.run}, event.answer)
		case runFinished:
			d.runFinished(now, event)
		}
	}
}

// runFinished passes the end of a run to the order book.
func (d *Duty) runFinished(now time.Time, event runFinished) {
	ended := caller.RunEnded{Run: event.run, Outcome: event.finished.Outcome}
	if event.finished.Answer != nil {
		ended.Size = len(event.finished.Answer.Body)
	}
	d.stepOrders(now, ended, event.finished.Answer)
	delete(d.calls, event.state.streamReceiver)
}

// startRun starts the run of an order as a separate call.
func (d *Duty) startRun(now time.Time, action caller.StartRun) {
	d.calls[action.Call.ID] = &pendingCall{request: d.calls[action.For].request, call: action.Call, run: &run{}}
	d.stepRouter(now, caller.Called{Call: action.Call})
}

// startOrderResponse starts to stream a run's large response to a request.
func (d *Duty) startOrderResponse(event caller.OrderEvent, id caller.CallID, answer *Answer) {
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
