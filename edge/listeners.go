package edge

import (
	"sync/atomic"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
)

// listenerLogInterval is the shortest time between log lines of one kind about one
// listener.
const listenerLogInterval = time.Second

// listenerEvents counts and logs what happens to the connections of one listener.
type listenerEvents struct {
	name    string
	log     *eventlog.Log
	metrics *Metrics

	failures, rejections lineRate
}

// newListenerEvents returns the events of a listener.
func newListenerEvents(name string, log *eventlog.Log, metrics *Metrics) *listenerEvents {
	return &listenerEvents{name: name, log: log, metrics: metrics}
}

// failed records an error of Accept.
func (e *listenerEvents) failed(err error) {
	e.metrics.AcceptFailed(e.name)
	if left, ok := e.failures.next(time.Now()); ok {
		e.log.Event(eventlog.Warning, "accept_failed", "accepting a connection failed; trying again",
			eventlog.Text("listener", e.name), eventlog.Text("error", err.Error()), eventlog.Count("unlogged", left))
	}
}

// evicted records an idle connection that was closed for a new one.
func (e *listenerEvents) evicted() {
	e.metrics.ConnectionEvicted(e.name)
}

// rejected records a connection for which there was no room.
func (e *listenerEvents) rejected(bound int) {
	e.metrics.ConnectionRejected(e.name)
	if left, ok := e.rejections.next(time.Now()); ok {
		e.log.Event(eventlog.Warning, "connection_rejected", "no room for another connection, and none is idle",
			eventlog.Text("listener", e.name), eventlog.Integer("bound", bound), eventlog.Count("unlogged", left))
	}
}

// lineRate limits log lines to one per listenerLogInterval.
type lineRate struct {
	loggedAt atomic.Int64
	unlogged atomic.Uint64
}

// next reports whether a line may be logged now, and how many were left out since the
// last one.
func (r *lineRate) next(now time.Time) (unlogged uint64, ok bool) {
	last := r.loggedAt.Load()
	if now.UnixNano()-last < int64(listenerLogInterval) || !r.loggedAt.CompareAndSwap(last, now.UnixNano()) {
		r.unlogged.Add(1)

		return 0, false
	}

	return r.unlogged.Swap(0), true
}
