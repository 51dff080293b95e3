package edge

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

// errRowStore is the error of a store that fails.
var errRowStore = errors.New("store unavailable")

// rowStore is a store with the row of one service that may fail or be changed by others.
// One duty uses it.
type rowStore struct {
	row RolloutRow
	// failing are the requests that fail, counted from 1.
	failing map[int]bool
	// losing are the requests that are carried out and whose answers are lost.
	losing map[int]bool
	// meanwhile are the rows that others write after the reads, in order.
	meanwhile []RolloutRow
	// restored says that the store is restored when others write.
	restored bool
	requests int
	writes   int
}

// ask counts a request and returns whether it is carried out, and its error.
func (s *rowStore) ask() (bool, error) {
	s.requests++
	if s.failing[s.requests] {
		return false, errRowStore
	}
	if s.losing[s.requests] {
		return true, errRowStore
	}

	return true, nil
}

// read returns the row, which another host may change right after.
func (s *rowStore) read(string) (RolloutRow, error) {
	if _, err := s.ask(); err != nil {
		return RolloutRow{}, err
	}
	row := s.row
	if len(s.meanwhile) > 0 {
		next := s.meanwhile[0]
		s.meanwhile = s.meanwhile[1:]
		next.RowVersion = nextVersion(s.row.RowVersion)
		if s.restored {
			next.RowVersion.Epoch++
		}
		s.row = next
	}

	return row, nil
}

// write replaces the row if it has the expected version.
func (s *rowStore) write(row RolloutRow) (bool, error) {
	carriedOut, err := s.ask()
	if !carriedOut {
		return false, err
	}
	if row.RowVersion != s.row.RowVersion {
		return false, err
	}
	row.RowVersion = nextVersion(row.RowVersion)
	s.row = row
	s.writes++

	return err == nil, err
}

// nextVersion returns the version of a row that replaces one of a version. It is later than
// those of all orders.
func nextVersion(row schema.StoreVersion) schema.StoreVersion {
	return schema.StoreVersion{Epoch: row.Epoch, Version: max(row.Version, 100) + 1}
}

// rowOf returns the row of an order with a state.
func rowOf(order, version int, state schema.RolloutState) RolloutRow {
	return RolloutRow{Service: "s", Target: "v2", OrderVersion: storeVersion(order), State: state, RowVersion: storeVersion(version)}
}

// Guards against a final state that another one replaces, a state of a later order that
// one of an earlier order replaces, and a request that ends without the state that the
// store has.
func TestRecordRollout(t *testing.T) {
	const running, completed, rolledBack = schema.RolloutStateRunning, schema.RolloutStateCompleted, schema.RolloutStateRolledBack
	tests := map[string]struct {
		store  rowStore
		ask    schema.RolloutState
		want   schema.RolloutState
		failed bool
		// row is the state in the store at the end; writes are the successful ones.
		row      schema.RolloutState
		writes   int
		requests int
	}{
		"no row, running":                 {ask: running, want: running, row: running, writes: 1, requests: 2},
		"no row, completed":               {ask: completed, want: completed, row: completed, writes: 1, requests: 2},
		"running exists":                  {store: rowStore{row: rowOf(5, 102, running)}, ask: running, want: running, row: running, requests: 1},
		"completed exists, running":       {store: rowStore{row: rowOf(5, 102, completed)}, ask: running, want: completed, row: completed, requests: 1},
		"running exists, rolled back":     {store: rowStore{row: rowOf(5, 102, running)}, ask: rolledBack, want: rolledBack, row: rolledBack, writes: 1, requests: 2},
		"completed exists, rolled back":   {store: rowStore{row: rowOf(5, 102, completed)}, ask: rolledBack, want: completed, row: completed, requests: 1},
		"rolled back exists, completed":   {store: rowStore{row: rowOf(5, 102, rolledBack)}, ask: completed, want: rolledBack, row: rolledBack, requests: 1},
		"final state of an earlier one":   {store: rowStore{row: rowOf(4, 102, completed)}, ask: running, want: running, row: running, writes: 1, requests: 2},
		"final state of a later one":      {store: rowStore{row: rowOf(6, 102, completed)}, ask: completed, failed: true, row: completed, requests: 1},
		"running state of a later one":    {store: rowStore{row: rowOf(6, 102, running)}, ask: completed, failed: true, row: running, requests: 1},
		"leftover of an earlier epoch":    {store: rowStore{row: rowOf(60, 54, completed)}, ask: running, want: running, row: running, writes: 1, requests: 2},
		"row of a restored store":         {store: rowStore{row: RolloutRow{Service: "s", RowVersion: schema.StoreVersion{Epoch: 1}}}, ask: running, failed: true, requests: 1},
		"restored between read and write": {store: rowStore{meanwhile: []RolloutRow{{}}, restored: true}, ask: running, failed: true, requests: 3},
		"unreadable row":                  {store: rowStore{row: RolloutRow{Service: "s", RowVersion: storeVersion(7)}}, ask: running, want: running, row: running, writes: 1, requests: 2},
		"state of another target":         {store: rowStore{row: RolloutRow{Service: "s", Target: "v9", OrderVersion: storeVersion(5), State: completed, RowVersion: storeVersion(7)}}, ask: running, want: running, row: running, writes: 1, requests: 2},
		"another host was first":          {store: rowStore{row: rowOf(5, 102, running), meanwhile: []RolloutRow{rowOf(5, 0, rolledBack)}}, ask: completed, want: rolledBack, row: rolledBack, requests: 3},
		"another host ensured the row":    {store: rowStore{meanwhile: []RolloutRow{rowOf(5, 0, running)}}, ask: completed, want: completed, row: completed, writes: 1, requests: 4},
		"a later order came meanwhile":    {store: rowStore{row: rowOf(5, 102, running), meanwhile: []RolloutRow{rowOf(6, 0, running)}}, ask: completed, failed: true, row: running, requests: 3},
		"the row changes again and more":  {store: rowStore{meanwhile: []RolloutRow{rowOf(4, 0, running), rowOf(4, 0, completed), rowOf(4, 0, running)}}, ask: completed, failed: true, row: running, requests: 6},
		"the read fails":                  {store: rowStore{failing: map[int]bool{1: true}}, ask: completed, failed: true, requests: 1},
		"the write fails":                 {store: rowStore{failing: map[int]bool{2: true}}, ask: completed, failed: true, requests: 2},
		"the second read fails":           {store: rowStore{meanwhile: []RolloutRow{rowOf(5, 0, running)}, failing: map[int]bool{3: true}}, ask: completed, failed: true, row: running, requests: 3},
		"the second write fails":          {store: rowStore{meanwhile: []RolloutRow{rowOf(5, 0, running)}, failing: map[int]bool{4: true}}, ask: completed, failed: true, row: running, requests: 4},
		"the answer to a write is lost":   {store: rowStore{losing: map[int]bool{2: true}}, ask: completed, failed: true, row: completed, writes: 1, requests: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			recorder := &RolloutRecorder{Read: test.store.read, Write: test.store.write, Metrics: NewMetrics()}
			request := placement.RecordRollout{Service: "s", Target: "v2", OrderVersion: storeVersion(5), State: test.ask}
			recorded, err := recorder.Record(request)
			assert.Equal(t, err != nil, test.failed, "%v", err)
			assert.DeepEqual(t, recorded, placement.RolloutRecorded{Service: "s", OrderVersion: storeVersion(5), State: test.want, Failed: test.failed})
			assert.Equal(t, test.store.row.State, test.row)
			assert.Equal(t, test.store.writes, test.writes)
			assert.Equal(t, test.store.requests, test.requests)
		})
	}
}

// Guards against a write whose answer was lost and that is followed by another state.
func TestALostAnswerIsFoundByTheNextRequest(t *testing.T) {
	store := &rowStore{losing: map[int]bool{2: true}}
	recorder := &RolloutRecorder{Read: store.read, Write: store.write, Metrics: NewMetrics()}
	_, err := recorder.Record(placement.RecordRollout{Service: "s", Target: "v2", OrderVersion: storeVersion(5), State: schema.RolloutStateCompleted})
	assert.Assert(t, err != nil)
	recorded, err := recorder.Record(placement.RecordRollout{Service: "s", Target: "v2", OrderVersion: storeVersion(5), State: schema.RolloutStateRolledBack})
	assert.NilError(t, err)
	assert.Equal(t, recorded.State, schema.RolloutStateCompleted)
	assert.Equal(t, store.writes, 1)
}

// newRolloutHost returns a host that is not running and uses a store.
func newRolloutHost(store *rowStore, log *bytes.Buffer) *Host {
	logger := logrus.New()
	logger.SetOutput(log)

	return New(schema.EdgeSettings{Senders: 1}, Site{Name: "h", DataCentre: "north"}, Adapter{
		ReadRollout: store.read, WriteRollout: store.write, CloseStore: func() {},
	}, eventlog.New(logrus.NewEntry(logger)))
}

// recordedBy returns the next report of the duty that records states of rollouts.
func recordedBy(t *testing.T, h *Host) placement.RolloutRecorded {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	input, err := h.changes.Take(ctx)
	assert.NilError(t, err)
	recorded, ok := input.(PlacementEvent).Event.(placement.RolloutRecorded)
	assert.Assert(t, ok)

	return recorded
}

// Guards against a request that ends without a report, and against a duty that retries a
// state which may no longer be wanted.
func TestEachRecordEndsWithAReport(t *testing.T) {
	store := &rowStore{failing: map[int]bool{1: true, 3: true}}
	h := newRolloutHost(store, &bytes.Buffer{})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.runRollouts(ctx) }()
	for attempt, failed := range []bool{true, true, false} {
		assert.NilError(t, h.rollouts.Offer(placement.RecordRollout{Service: "s", Target: "v2", OrderVersion: storeVersion(5), State: schema.RolloutStateRolledBack}))
		assert.Equal(t, recordedBy(t, h).Failed, failed, "attempt %d", attempt)
	}
	cancel()
	assert.Assert(t, <-ended != nil)
	assert.Equal(t, store.requests, 5)
	assert.Equal(t, store.row.State, schema.RolloutStateRolledBack)
}

// Guards against a host that completes a rollout after it has found the version to be
// bad, because the first request had to wait.
func TestALaterRecordReplacesOneThatWaits(t *testing.T) {
	store := &rowStore{}
	h := newRolloutHost(store, &bytes.Buffer{})
	for _, request := range []placement.RecordRollout{
		{Service: "s", Target: "v2", OrderVersion: storeVersion(5), State: schema.RolloutStateCompleted},
		{Service: "s", Target: "v2", OrderVersion: storeVersion(5), State: schema.RolloutStateRolledBack},
	} {
		assert.NilError(t, h.rollouts.Offer(request))
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.runRollouts(ctx) }()
	assert.Equal(t, recordedBy(t, h).State, schema.RolloutStateRolledBack)
	cancel()
	assert.Assert(t, <-ended != nil)
	assert.Equal(t, store.writes, 1)
}

// Guards against a request of one service that replaces that of another.
func TestRecordsOfOtherServicesWait(t *testing.T) {
	var waiting []placement.RecordRollout
	for _, request := range []placement.RecordRollout{{Service: "a", OrderVersion: storeVersion(1)}, {Service: "b", OrderVersion: storeVersion(2)}, {Service: "a", OrderVersion: storeVersion(3)}} {
		waiting = addRecord(waiting, request)
	}
	assert.DeepEqual(t, waiting, []placement.RecordRollout{{Service: "a", OrderVersion: storeVersion(3)}, {Service: "b", OrderVersion: storeVersion(2)}})
}

// newRolloutCalls returns a calls duty with a ring of one place for states to record.
func newRolloutCalls(log *bytes.Buffer) *callsDuty {
	logger := logrus.New()
	logger.SetOutput(log)

	return &callsDuty{
		placer: placement.New(placement.Options{Host: "h", DataCentre: "north"}), rollouts: ring.New[placement.RecordRollout]("rollouts", 1),
		control: ring.New[ControlInput]("control", 4), log: eventlog.New(logrus.NewEntry(logger)), metrics: NewMetrics(),
	}
}

// Guards against a state that is never recorded because the ring was full once: the
// placer waits for the end of a request that nobody carries out.
func TestRecordsAtAFullRingAreReportedAsFailed(t *testing.T) {
	d := newRolloutCalls(&bytes.Buffer{})
	now := time.Unix(1000, 0)
	for order := range 3 {
		d.apply(now, []placement.Action{placement.RecordRollout{Service: "s", OrderVersion: storeVersion(order + 1), State: schema.RolloutStateRunning}})
	}
	taken, found := d.rollouts.Poll()
	assert.Assert(t, found)
	assert.Equal(t, taken.OrderVersion, storeVersion(1))
	assert.DeepEqual(t, d.unrecorded, []placement.RolloutRecorded{{Service: "s", OrderVersion: storeVersion(2), Failed: true}, {Service: "s", OrderVersion: storeVersion(3), Failed: true}})
	var text bytes.Buffer
	d.metrics.Write(&text)
	assert.Assert(t, bytes.Contains(text.Bytes(), []byte(`baobabdrum_dropped_messages_total{what="rollouts"} 2`)))
	d.tick(now)
	assert.Equal(t, len(d.unrecorded), 0)
}

// Guards against a host without orders that pays for rollouts: a message to the duty that
// records them, or reports in its beacons.
func TestAHostWithoutOrdersReportsNothing(t *testing.T) {
	d := newRolloutCalls(&bytes.Buffer{})
	d.serving = true
	d.tick(time.Unix(1000, 0))
	input, found := d.control.Poll()
	assert.Assert(t, found)
	assert.Equal(t, len(input.(LoadsReported).Rollouts), 0)
	_, found = d.rollouts.Poll()
	assert.Assert(t, !found)
	control := &controlDuty{rollouts: input.(LoadsReported).Rollouts}
	assert.Equal(t, testing.AllocsPerRun(10, func() { control.nextRollouts() }), 0.0)
}

// Guards against a change that operators cannot trace.
func TestRolloutChangesAreLogged(t *testing.T) {
	tests := map[string]struct {
		phase rollout.Phase
		level string
	}{
		"observing":   {phase: rollout.PhaseObserving, level: "level=info"},
		"rolled back": {phase: rollout.PhaseRolledBack, level: "level=warning"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var log, text bytes.Buffer
			d := newRolloutCalls(&log)
			d.apply(time.Unix(1000, 0), []placement.Action{placement.RolloutChanged{
				Service: "s", Target: "v2", OrderVersion: storeVersion(5), Phase: test.phase, Share: 0.05, Reason: rollout.ReasonFailures,
				Evidence: rollout.Counts{Target: rollout.Answers{All: 9, Failures: 4, Slow: 3, Cold: 2}, Others: rollout.Answers{All: 70, Failures: 1}},
			}})
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			assert.Assert(t, d.log.Run(ended) != nil) // writes the lines that wait
			for _, field := range []string{test.level, "event=rollout_changed", "service=s", "target=v2", "order_version=0.5", "phase=" + string(test.phase), "reason=failures", "target_answers=9", "target_failures=4", "target_slow=3", "target_cold=2", "other_answers=70", "other_failures=1"} {
				assert.Assert(t, bytes.Contains(log.Bytes(), []byte(field)), "%s is not in %s", field, log.String())
			}
			d.metrics.Write(&text)
			assert.Assert(t, bytes.Contains(text.Bytes(), []byte(`baobabdrum_rollout_share{service="s"} 0.05`)), "%s", text.String())
		})
	}
}

// reportsOf returns reports on rollouts of as many services, each with evidence for as
// many routes.
func reportsOf(services, routes int) []schema.RolloutReport {
	reports := make([]schema.RolloutReport, services)
	for i := range reports {
		reports[i] = schema.RolloutReport{ServiceHash: i, OrderVersion: storeVersion(1), State: schema.RolloutStateRunning, Evidence: make([]schema.RolloutEvidence, routes)}
	}

	return reports
}

// Guards against a beacon that other hosts drop, so that they take this host for lost,
// and against reports that are never sent because there are too many.
func TestReportsOfRolloutsFitIntoBeacons(t *testing.T) {
	tests := map[string]struct {
		services, routes int
		beacons          int
	}{
		"one":                            {services: 1, routes: 4, beacons: 1},
		"as many as fit":                 {services: beacon.MaxRollouts, routes: 1, beacons: 1},
		"too many services":              {services: beacon.MaxRollouts + 1, routes: 0, beacons: 2},
		"far too many services":          {services: 3*beacon.MaxRollouts + 5, routes: 1, beacons: 4},
		"too many routes of one service": {services: 1, routes: beacon.MaxRolloutRoutes + 7, beacons: 1},
		"too many routes":                {services: 40, routes: beacon.MaxRolloutRoutes, beacons: 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &controlDuty{rollouts: reportsOf(test.services, test.routes)}
			for i := range d.rollouts {
				for j := range d.rollouts[i].Evidence {
					for _, count := range beacon.RolloutCounts(&d.rollouts[i].Evidence[j]) {
						*count = beacon.MaxRolloutCount + 9
					}
				}
			}
			told := map[int]bool{}
			for range test.beacons {
				sent := schema.Beacon{
					Name: "a", DataCentre: "north", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:7200", Loads: make([]schema.ServerLoad, 1000),
					Rollouts: d.nextRollouts(),
				}
				raw, err := sent.MarshalMsg(nil)
				assert.NilError(t, err)
				assert.Assert(t, len(raw) < 60<<10, "%d bytes", len(raw))
				_, err = beacon.Decode(raw)
				assert.NilError(t, err)
				for _, report := range sent.Rollouts {
					told[report.ServiceHash] = true
				}
			}
			assert.Equal(t, len(told), test.services)
		})
	}
}

// lastDatagram returns the newest beacon that a control duty has sent.
func lastDatagram(t *testing.T, d *controlDuty) beacon.Datagram {
	t.Helper()
	var last beacon.Datagram
	for next, found := d.beacons.Poll(); found; next, found = d.beacons.Poll() {
		last = next
	}
	assert.Assert(t, last.Beacon.Name != "", "no beacon was sent")

	return last
}

// Guards against reports that a host does not pass on to the others, or passes on from
// them without the calls duty learning of it.
func TestReportsOfRolloutsReachTheOtherHost(t *testing.T) {
	s := newSimulation(2, 1, 1)
	sender, receiver := s.hosts[0].duty, s.hosts[1].duty
	reports := reportsOf(2, 1)
	assert.NilError(t, sender.step(t.Context(), s.now, LoadsReported{Rollouts: reports}))
	sender.sendBeacon(s.now, directory.SendBeacon{})
	assert.Equal(t, len(lastDatagram(t, sender).Beacon.Rollouts), 0, "a beacon without loads has reports")
	sender.sendBeacon(s.now, directory.SendBeacon{Loads: true})
	sent := lastDatagram(t, sender).Beacon
	assert.DeepEqual(t, sent.Rollouts, reports)
	assert.NilError(t, receiver.step(t.Context(), s.now, BeaconArrived{Beacon: sent}))
	input, found := receiver.calls.Poll()
	assert.Assert(t, found)
	assert.DeepEqual(t, input, PlacementEvent{Event: placement.LoadsReceived{Host: sent.Name, Rollouts: reports}})
}
