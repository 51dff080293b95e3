package edge

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against share reports that a host does not pass on to the others, or passes on
// from them without the calls duty learning of it.
func TestShareReportsReachTheOtherHost(t *testing.T) {
	s := newSimulation(2, 1, 1)
	sender, receiver := s.hosts[0].duty, s.hosts[1].duty
	report := schema.ShareReport{Number: 7}
	for i := range allotment.MaxNeeds + 1 {
		report.Needs = append(report.Needs, schema.ShareNeed{TenantHash: i})
	}
	assert.NilError(t, sender.step(t.Context(), s.now, LoadsReported{Shares: report}))
	sender.sendBeacon(s.now, directory.SendBeacon{})
	assert.Assert(t, lastDatagram(t, sender).Beacon.Shares == nil, "a beacon without loads has a share report")
	told := map[int]bool{}
	for range 2 {
		sender.sendBeacon(s.now, directory.SendBeacon{Loads: true})
		sent := lastDatagram(t, sender).Beacon
		assert.NilError(t, receiver.step(t.Context(), s.now, BeaconArrived{Beacon: sent}))
		input, found := receiver.calls.Poll()
		assert.Assert(t, found)
		received := input.(PlacementEvent).Event.(placement.LoadsReceived)
		assert.Equal(t, received.Shares.Number, 7)
		for _, need := range received.Shares.Needs {
			told[need.TenantHash] = true
		}
	}
	assert.Equal(t, len(told), allotment.MaxNeeds+1)
}

// Guards against loans that operators cannot see, and a log that grows with the number
// of tenants.
func TestBorrowedSharesAreLogged(t *testing.T) {
	var log bytes.Buffer
	d := newRolloutCalls(&log)
	shares := make([]allotment.Share, 0, eventlog.MaxBurstLines+5)
	for i := range eventlog.MaxBurstLines + 5 {
		shares = append(shares, allotment.Share{Tenant: fmt.Sprint("t", i), Borrowed: 500})
	}
	now := time.Unix(1000, 0)
	d.noteShares(now, shares)
	assert.Assert(t, hasMetric(d.metrics, "baobabdrum_quota_shares_borrowed 12.5"))
	d.noteShares(now.Add(eventlog.BurstInterval), []allotment.Share{{Tenant: "t0", Lent: 250}})
	assert.Assert(t, hasMetric(d.metrics, "baobabdrum_quota_shares_borrowed 0"))
	assert.Assert(t, hasMetric(d.metrics, "baobabdrum_quota_shares_lent 0.25"))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, d.log.Run(ended) != nil) // writes the lines that wait
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("event=shares_borrowed")), eventlog.MaxBurstLines)
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("event=shares_returned")), eventlog.MaxBurstLines)
}
