package edge

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// minDrainTime is the shortest time for which a stopping host still accepts
	// connections, so that callers learn of other hosts before its listener closes.
	minDrainTime = 1200 * time.Millisecond
	// maxDrainTime is the longest such time.
	maxDrainTime = 3300 * time.Millisecond
	// onlyHostTime is how long callers may know no other host: they keep a list of
	// hosts for three times as long as they are told. The time counts from the signal,
	// which may be handled late.
	onlyHostTime = 3*directory.AnswerTTL - exitMargin
	// quietPeriod is how long no call may be open until the host counts as
	// drained.
	quietPeriod = 600 * time.Millisecond
	// stopPollInterval is the time between checks for open calls.
	stopPollInterval = 100 * time.Millisecond
	// exitMargin is how long before the kill the host exits in any case.
	exitMargin = 300 * time.Millisecond
	// deliveryTime is how long before the exit the open calls are concluded, so that
	// callers receive the outcome.
	deliveryTime = 200 * time.Millisecond
	// exitMarginDivisor and deliveryDivisor bound these times to a part of the grace
	// period.
	exitMarginDivisor, deliveryDivisor = 10, 15
)

// runStop waits for the request to stop, withdraws this host from the
// directory, waits until callers have left, closes the caller front and ends
// the duties. Meanwhile calls are admitted as long as they end before the exit. All
// times count from when the request can have been sent at the earliest.
func (h *Host) runStop(ctx, interrupted context.Context, closeFront func()) error {
	select {
	case <-interrupted.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	handledAt := time.Now()
	startedAt := h.wakeups.lastWakeup().EarliestSignal(handledAt)
	grace := time.Duration(h.grace.Load())
	delivery := min(deliveryTime, grace/deliveryDivisor)
	exitAt := startedAt.Add(grace - min(exitMargin, grace/exitMarginDivisor))
	if earliest := handledAt.Add(delivery); exitAt.Before(earliest) {
		exitAt = earliest
	}
	workUntil := exitAt.Add(-delivery)
	h.front.stopping.Store(true)
	h.front.connections.Finish()
	h.Log.Event(eventlog.Info, "host_stopping", "planned stop begins; directing callers to other hosts",
		eventlog.Duration("grace", grace), eventlog.Duration("signal_delay", handledAt.Sub(startedAt)))
	if err := h.control.Put(ctx, Stopping{}); err != nil {
		return err
	}
	if err := h.changes.Put(ctx, PlacementEvent{Event: placement.StopBegun{WorkUntil: workUntil, OnlyHostUntil: startedAt.Add(onlyHostTime)}}); err != nil {
		return err
	}
	h.awaitDrained(ctx, handledAt, min(maxDrainTime, workUntil.Sub(startedAt))-handledAt.Sub(startedAt))
	closeFront()
	h.awaitConnectionsClosed(ctx, exitAt)
	h.logStopped(startedAt)

	return &StoppedError{}
}

// logStopped logs the calls that the end of the process breaks off, and when the
// last call arrived.
func (h *Host) logStopped(startedAt time.Time) {
	open := queryDuty(h.changes, func(reply *ring.Ring[OpenCalls]) Input { return OpenCallsQuery{Reply: reply} })
	fields := []eventlog.Field{
		eventlog.Duration("took", time.Since(startedAt)), eventlog.Integer("open_calls", int(h.front.active.Load())),
		eventlog.Integer("calls_queued", open.Queued), eventlog.Integer("calls_in_flight", open.InFlight),
		eventlog.Integer("late_calls", int(h.front.lateCalls.Load())),
	}
	if last := h.front.lastCallAt.Load(); last > 0 {
		fields = append(fields, eventlog.Duration("last_call_after", time.Unix(0, last).Sub(startedAt)))
	}
	h.Log.Event(eventlog.Info, "host_stopped", "planned stop finished", fields...)
}

// awaitConnectionsClosed returns when the caller front has closed its last
// connection, including connections on which a request is still being sent, or
// when the latest time is reached.
func (h *Host) awaitConnectionsClosed(ctx context.Context, latest time.Time) {
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	if _, err := h.front.finished.Take(ctx); err != nil {
		h.Log.Event(eventlog.Warning, "front_not_finished", "grace period ends with open caller connections; exiting anyway",
			eventlog.Integer("open_calls", int(h.front.active.Load())))
	}
}

// awaitDrained returns after the longest time, or after minDrainTime once no call
// has been open for quietPeriod.
func (h *Host) awaitDrained(ctx context.Context, startedAt time.Time, longest time.Duration) {
	lastActiveAt := startedAt
	for ctx.Err() == nil {
		now := time.Now()
		if h.front.active.Load() > 0 {
			lastActiveAt = now
		}
		drained := now.Sub(startedAt) >= minDrainTime && now.Sub(lastActiveAt) >= quietPeriod
		if drained || now.Sub(startedAt) >= longest {
			return
		}
		pause(ctx, stopPollInterval)
	}
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
