package edge

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
)

const (
	// minDrainTime is how long a stopping host serves at least, so that callers hear
	// of other hosts before its listener closes.
	minDrainTime = 1200 * time.Millisecond
	// maxDrainTime is how long it serves at most: callers keep an answer for three
	// times as long as they are told.
	maxDrainTime = 3300 * time.Millisecond
	// quietPeriod is how long no call may be open until the host counts as left.
	quietPeriod = 600 * time.Millisecond
	// stopPollInterval is the time between checks whether calls are open.
	stopPollInterval = 100 * time.Millisecond
	// killMargin is the time before the kill at which the host ends in any case.
	killMargin = 250 * time.Millisecond
)

// runStop waits for the request to stop, then has callers told other hosts,
// waits until they have left, closes the front and ends the process.
func (h *Host) runStop(ctx, interrupted context.Context, closeFront func()) error {
	select {
	case <-interrupted.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	startedAt := time.Now()
	h.front.stopping.Store(true)
	h.Log.Event(eventlog.Info, "host_stopping", "callers are told other hosts", eventlog.Duration("grace", time.Duration(h.grace.Load())))
	if err := h.control.Put(ctx, Stopping{}); err != nil {
		return err
	}
	h.awaitDrained(ctx, startedAt)
	closeFront()
	h.awaitConnectionsClosed(ctx, startedAt.Add(time.Duration(h.grace.Load())-killMargin))
	h.Log.Event(eventlog.Info, "host_stopped", "the planned stop is finished",
		eventlog.Duration("took", time.Since(startedAt)), eventlog.Integer("open_calls", int(h.front.active.Load())))

	return &StoppedError{}
}

// awaitConnectionsClosed returns when the front has no connection left, not even one on which
// a request is still being sent, or at the latest time.
func (h *Host) awaitConnectionsClosed(ctx context.Context, latest time.Time) {
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	if _, err := h.front.finished.Take(ctx); err != nil {
		h.Log.Event(eventlog.Warning, "front_not_finished", "callers' connections are left at the end of the grace period",
			eventlog.Integer("open_calls", int(h.front.active.Load())))
	}
}

// awaitDrained returns when callers seem to have left.
func (h *Host) awaitDrained(ctx context.Context, startedAt time.Time) {
	lastActiveAt := startedAt
	for ctx.Err() == nil {
		now := time.Now()
		if h.front.active.Load() > 0 {
			lastActiveAt = now
		}
		drained := now.Sub(startedAt) >= minDrainTime && now.Sub(lastActiveAt) >= quietPeriod
		if drained || now.Sub(startedAt) >= maxDrainTime {
			return
		}
		pause(ctx, stopPollInterval)
	}
}

// pause waits for some time or until the context ends.
func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
