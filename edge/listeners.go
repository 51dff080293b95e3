package edge

import (
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// defaultDescriptors is the number of descriptors of the process if the platform
	// states none.
	defaultDescriptors = 4096
	// fileDescriptors is the number of descriptors reserved for files.
	fileDescriptors = 200
	// callerSocketShare is the share of the other descriptors for callers. The rest is
	// for backend servers, the store, other hosts and the other listeners.
	callerSocketShare = 0.6
	// directorySocketShare is the share for callers that look up entry hosts.
	directorySocketShare = 0.05
	// peerSocketShare is the share for other hosts.
	peerSocketShare = 0.1
	// minServedConnections is the smallest bound of a listener.
	minServedConnections = 16
	// rejectRetryAfter is the retry delay of rejected connections.
	rejectRetryAfter = time.Second
)

// connectionBound returns the largest number of connections of a listener that may
// use a share of the sockets of the process.
func connectionBound(descriptors int, share float64) int {
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}

	return max(int(share*float64(descriptors-fileDescriptors)), minServedConnections)
}

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

// connectionEvents returns the events that a set of connections reports.
func (e *listenerEvents) connectionEvents() tcp.ConnectionEvents {
	return tcp.ConnectionEvents{Failed: e.failed, Evicted: e.evicted, Rejected: e.rejected}
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
