package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// rolloutRingCapacity is the capacity of the ring of states to record: more than the
	// orders that change at once.
	rolloutRingCapacity = 64
	// recordRounds is how often a state is read and written in a row while other hosts
	// change the row in between.
	recordRounds = 3
	// maxBeaconEvidence is the largest number of routes with evidence in a beacon. At 41
	// bytes each, they take a third of a datagram.
	maxBeaconEvidence = 480
)

// RolloutRow is the row of the store with the state of a service's rollout.
type RolloutRow struct {
	// Service is the name of the service.
	Service string
	// Target is the software version to move to.
	Target string
	// OrderVersion identifies the order to which the state belongs.
	OrderVersion schema.StoreVersion
	// State is the state, or empty if there is none or it is unreadable.
	State schema.RolloutState
	// RowVersion is the version of the row that holds the state, or 0 in the epoch of the
	// store if there is none.
	RowVersion schema.StoreVersion
}

// precedesOrder reports whether the row is older than the order whose state it states: a
// host wrote it that had read the order before the store was restored.
func (r RolloutRow) precedesOrder() bool {
	return r.OrderVersion.Version >= r.RowVersion.Version
}

// SupersededError reports a state that is not recorded because the store has the state
// of a later order for the service.
type SupersededError struct {
	// Service is the name of the service.
	Service string
	// OrderVersion identifies the order whose state was to be recorded.
	OrderVersion schema.StoreVersion
	// Later identifies the later order.
	Later schema.StoreVersion
}

// Error names the service and both orders.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("rollout of %s by order %s is superseded by order %s", e.Service, e.OrderVersion, e.Later)
}

// RestoredError reports a state that is not recorded because the store was restored since
// the order was read.
type RestoredError struct {
	// Service is the name of the service.
	Service string
	// OrderVersion identifies the order whose state was to be recorded.
	OrderVersion schema.StoreVersion
	// Epoch is that of the store.
	Epoch int
}

// Error names the service, the order and the epoch of the store.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("rollout of %s by order %s is of another epoch than the store, which has %d", e.Service, e.OrderVersion, e.Epoch)
}

// ContendedError reports a state that was not recorded because other hosts changed its
// row each time between the read and the write.
type ContendedError struct {
	// Service is the name of the service.
	Service string
}

// Error names the service.
func (e *ContendedError) Error() string {
	return fmt.Sprintf("row with the state of the rollout of %s changed %d times while it was read and written", e.Service, recordRounds)
}

// RolloutRecorder records states of rollouts in the store. Only one duty may use it.
type RolloutRecorder struct {
	// Read returns the row of a service.
	Read func(service string) (RolloutRow, error)
	// Write writes a row if it still has the version in it, and reports whether it has.
	Write func(RolloutRow) (bool, error)
	// Metrics count the requests to the store.
	Metrics *Metrics
}

// Record writes a state unless the store has a final one for the same order, and returns
// what the store has then. It does not retry after an error.
func (r *RolloutRecorder) Record(request placement.RecordRollout) (placement.RolloutRecorded, error) {
	recorded := placement.RolloutRecorded{Service: request.Service, OrderVersion: request.OrderVersion, Failed: true}
	for range recordRounds {
		row, err := r.read(request.Service)
		if err != nil {
			return recorded, err
		}
		next, err := rowAfter(request, row)
		if err != nil {
			return recorded, err
		}
		written := next == row
		if !written {
			if written, err = r.write(next); err != nil {
				return recorded, err
			}
		}
		if written {
			recorded.State, recorded.Failed = next.State, false

			return recorded, nil
		}
	}

	return recorded, &ContendedError{Service: request.Service}
}

// rowAfter returns the row that the store is to have after a request. It is the present
// one if that holds a final state of the same order, or any state if the request only
// ensures that there is one. A state of a later order is not replaced. Orders only compare
// within an epoch of the store.
func rowAfter(request placement.RecordRollout, row RolloutRow) (RolloutRow, error) {
	next := RolloutRow{
		Service: request.Service, Target: request.Target, OrderVersion: request.OrderVersion, State: request.State, RowVersion: row.RowVersion,
	}
	switch {
	case row.RowVersion.Epoch != request.OrderVersion.Epoch:
		return row, &RestoredError{Service: request.Service, OrderVersion: request.OrderVersion, Epoch: row.RowVersion.Epoch}
	case row.State == "" || row.precedesOrder(): // no row, an unreadable one, or a leftover
		return next, nil
	case row.OrderVersion.IsNewer(request.OrderVersion):
		return row, &SupersededError{Service: request.Service, OrderVersion: request.OrderVersion, Later: row.OrderVersion}
	case request.OrderVersion.IsNewer(row.OrderVersion) || row.Target != request.Target:
		return next, nil
	case row.State == schema.RolloutStateRunning:
		return next, nil
	default:
		return row, nil
	}
}

// read reads a row and counts the request.
func (r *RolloutRecorder) read(service string) (RolloutRow, error) {
	startedAt := time.Now()
	row, err := r.Read(service)
	outcome := "read"
	if err != nil {
		outcome = "failed"
	}
	r.Metrics.Store("rollouts", outcome, time.Since(startedAt))

	return row, err
}

// write writes a row and counts the request.
func (r *RolloutRecorder) write(row RolloutRow) (bool, error) {
	startedAt := time.Now()
	written, err := r.Write(row)
	outcome := "written"
	switch {
	case err != nil:
		outcome = "failed"
	case !written:
		outcome = "row_changed"
	}
	r.Metrics.Store("rollouts", outcome, time.Since(startedAt))

	return written, err
}

// runRollouts records states of rollouts whenever the calls duty requests it. It reports a
// failure at once and does not retry, because the state may no longer be wanted then:
// package rollout decides when a state is requested again.
func (h *Host) runRollouts(ctx context.Context) error {
	defer context.AfterFunc(ctx, h.Adapter.CloseStore)()
	recorder := &RolloutRecorder{Read: h.Adapter.ReadRollout, Write: h.Adapter.WriteRollout, Metrics: h.Metrics}
	var waiting []placement.RecordRollout
	for {
		if len(waiting) == 0 {
			next, err := h.rollouts.Take(ctx)
			if err != nil {
				return err
			}
			waiting = append(waiting, next)
		}
		for next, found := h.rollouts.Poll(); found; next, found = h.rollouts.Poll() {
			waiting = addRecord(waiting, next)
		}
		request := waiting[0]
		waiting = waiting[1:]
		recorded, err := recorder.Record(request)
		h.logRecord(request, recorded, err)
		if err := h.changes.Put(ctx, PlacementEvent{Event: recorded}); err != nil {
			return err
		}
	}
}

// addRecord adds a state to those that wait to be recorded. It replaces an earlier one of
// the same service: a host that rolls back must not complete the rollout because that
// request had to wait for the store.
func addRecord(waiting []placement.RecordRollout, next placement.RecordRollout) []placement.RecordRollout {
	for i, earlier := range waiting {
		if earlier.Service == next.Service {
			waiting[i] = next

			return waiting
		}
	}

	return append(waiting, next)
}

// logRecord logs the end of a request to record a state.
func (h *Host) logRecord(request placement.RecordRollout, recorded placement.RolloutRecorded, err error) {
	fields := []eventlog.Field{
		eventlog.Text("service", request.Service), eventlog.Text("target", request.Target), eventlog.Text("order_version", request.OrderVersion.String()),
		eventlog.Text("requested", string(request.State)),
	}
	if err != nil {
		h.Log.Event(eventlog.Warning, "rollout_not_recorded", "recording the state of a rollout in the store failed", append(fields, eventlog.Text("error", err.Error()))...)

		return
	}
	h.Log.Event(eventlog.Info, "rollout_recorded", "store has the state of a rollout", append(fields, eventlog.Text("state", string(recorded.State)))...)
}

// record passes a state to the duty that records it. If the ring is full, the placer
// learns of the failure at the next tick, so that it requests the state again.
func (d *callsDuty) record(action placement.RecordRollout) {
	if d.rollouts.Offer(action) == nil {
		return
	}
	d.metrics.Dropped("rollouts")
	d.unrecorded = append(d.unrecorded, placement.RolloutRecorded{Service: action.Service, OrderVersion: action.OrderVersion, Failed: true})
}

// reportUnrecorded tells the placer which states were not passed to the duty that records
// them.
func (d *callsDuty) reportUnrecorded(now time.Time) {
	unrecorded := d.unrecorded
	d.unrecorded = nil
	for _, event := range unrecorded {
		d.apply(now, d.placer.Step(now, event))
	}
}

// logRollout logs and counts a change of a rollout at this host.
func (d *callsDuty) logRollout(action placement.RolloutChanged) {
	d.metrics.Rollout(action)
	level := eventlog.Info
	if action.Phase == rollout.PhaseRolledBack {
		level = eventlog.Warning
	}
	target, others := action.Evidence.Target, action.Evidence.Others
	d.log.Event(level, "rollout_changed", "another share of a service's calls goes to the target version of a rollout",
		eventlog.Text("service", action.Service), eventlog.Text("target", action.Target), eventlog.Text("order_version", action.OrderVersion.String()),
		eventlog.Text("phase", string(action.Phase)), eventlog.Number("share", action.Share), eventlog.Text("reason", string(action.Reason)),
		eventlog.Integer("target_answers", target.All), eventlog.Integer("target_failures", target.Failures),
		eventlog.Integer("target_slow", target.Slow), eventlog.Integer("target_cold", target.Cold),
		eventlog.Integer("other_answers", others.All), eventlog.Integer("other_failures", others.Failures), eventlog.Integer("other_slow", others.Slow))
}

// nextRollouts returns the reports on rollouts for the next beacon. Those that do not fit
// into one beacon are sent in turn.
func (d *controlDuty) nextRollouts() []schema.RolloutReport {
	count := len(d.rollouts)
	if count == 0 {
		return nil
	}
	reports, routes := make([]schema.RolloutReport, 0, min(count, beacon.MaxRollouts)), 0
	for i := range min(count, beacon.MaxRollouts) {
		report := d.rollouts[(d.rolloutTurn+i)%count]
		report.Evidence = boundEvidence(report.Evidence)
		if routes += len(report.Evidence); routes > maxBeaconEvidence {
			break
		}
		reports = append(reports, report)
	}
	d.rolloutTurn = (d.rolloutTurn + len(reports)) % count

	return reports
}

// boundEvidence returns evidence within the bounds of beacons. Other hosts drop a beacon
// beyond them and would take this host for lost.
func boundEvidence(evidence []schema.RolloutEvidence) []schema.RolloutEvidence {
	bounded := make([]schema.RolloutEvidence, 0, min(len(evidence), beacon.MaxRolloutRoutes))
	for _, route := range evidence[:cap(bounded)] {
		for _, count := range beacon.RolloutCounts(&route) {
			*count = min(*count, beacon.MaxRolloutCount)
		}
		bounded = append(bounded, route)
	}

	return bounded
}
