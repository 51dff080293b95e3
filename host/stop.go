package host

import (
	"context"
	"net"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// stopInterval is the time between checks for a planned stop that is due.
const stopInterval = 100 * time.Millisecond

// StoppedError ends the group of a host that has finished a planned stop.
type StoppedError struct{}

// Error says that the stop was planned, not caused by a failure.
func (*StoppedError) Error() string {
	return "the planned stop is finished"
}

// plannedStops carries the planned stops of the configuration in force.
type plannedStops struct {
	stops []schema.PlannedStop
}

// runStop owns the planned stop of this host. A stop starts at the time that the
// sheet sets, at an operator's request or at the end of the context interrupted.
// closeFrontEnd makes the caller front end finish.
func (h *Host) runStop(ctx, interrupted context.Context, closeFrontEnd context.CancelFunc) error {
	stopper := operator.NewStopper(time.Now(), h.Self.Name, h.Settings.AnswerKeep)
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	done := interrupted.Done()
	for {
		var event operator.StopEvent
		var reply *ring.Ring[schema.StopResult]
		select {
		case planned := <-h.stops.Items():
			event = operator.StopsDeclared{Stops: planned.stops}
		case request := <-h.stopRequests.Items():
			event, reply = operator.StopAsked{}, request.Reply
		case <-done:
			event, done = operator.StopAsked{}, nil
		case <-ticker.C:
			event = operator.StopTicked{}
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := h.executeStopActions(ctx, stopper.Step(time.Now(), event), closeFrontEnd); err != nil {
			return err
		}
		if reply != nil {
			wait := stopper.Wait(time.Now())
			_ = reply.Offer(schema.StopResult{ // the ring has room by contract
				Host: h.Self.Name, State: schema.HostStateLeaving, WaitMs: int(wait.Milliseconds()),
			})
		}
	}
}

// executeStopActions executes the stopper's actions.
func (h *Host) executeStopActions(ctx context.Context, actions []operator.StopAction, closeFrontEnd context.CancelFunc) error {
	for _, action := range actions {
		switch action.(type) {
		case operator.Leave:
			h.Log.Event(eventlog.Info, "stop_started", "planned stop started; forwarding calls to other hosts")
			h.front.Leave()
			if err := h.peers.Put(ctx, peerEvent{peer.LeaveStarted{}}); err != nil {
				return err
			}
		case operator.CloseFront:
			h.Log.Event(eventlog.Info, "front_closed", "caller front end closed; finishing calls in flight")
			closeFrontEnd()
		}
	}

	return nil
}

// runFrontEnd serves callers until the group's context ends or a planned stop
// closes the front end. After a planned stop it ends the group with a
// *StoppedError once no call is in flight.
func runFrontEnd(
	ctx, closing context.Context, listener *net.TCPListener, serve func(ctx context.Context, listener *net.TCPListener) error,
) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(closing, cancel)
	defer stop()
	err := serve(ctx, listener)
	if err == nil && closing.Err() != nil {
		return &StoppedError{}
	}

	return err
}
