package host

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/baobabdrum/baobabdrum/operator"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// stopInterval is the time between looks at the planned stops.
const stopInterval = 100 * time.Millisecond

// StoppedError ends the group of a host that has finished a planned stop.
type StoppedError struct{}

// Error says that nothing is wrong.
func (*StoppedError) Error() string {
	return "the planned stop is finished"
}

// plannedStops brings the planned stops in force.
type plannedStops struct {
	stops []schema.PlannedStop
}

// runStop owns the planned stop of this host: one of the sheet at its time, one
// that an operator asks for, or the end of the context interrupted. closeFront
// makes the callers' front end finish.
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
			_ = reply.Offer(schema.StopResult{ // it has room by contract
				Host: h.Self.Name, State: schema.HostStateLeaving, WaitMs: int(wait.Milliseconds()),
			})
		}
	}
}

// executeStopActions carries out the stopper's actions.
func (h *Host) executeStopActions(ctx context.Context, actions []operator.StopAction, closeFrontEnd context.CancelFunc) error {
	for _, action := range actions {
		switch action.(type) {
		case operator.Leave:
			h.Log.WithFields(logrus.Fields{"event": "stop_started"}).Info("leaving; calls are forwarded")
			if err := h.peers.Put(ctx, peerEvent{peer.LeaveStarted{}}); err != nil {
				return err
			}
		case operator.CloseFront:
			h.Log.WithFields(logrus.Fields{"event": "front_closed"}).Info("finishing calls in flight")
			closeFrontEnd()
		}
	}

	return nil
}

// runFrontEnd serves callers until the group's context ends or a planned stop
// closes the front; the latter ends the group once no call is in flight.
func runFrontEnd(
	ctx, closing context.Context, listener net.Listener, serve func(ctx context.Context, listener net.Listener) error,
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
