package beacon_test

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/schema"
)

// validBeacon returns a beacon that Decode accepts.
func validBeacon() schema.Beacon {
	return schema.Beacon{
		Name: "a", DataCentre: "north", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:7200", Ready: true,
		Loads: []schema.ServerLoad{{ServerHash: 7, PacePercent: 700, AgeMs: -1}},
		Rollouts: []schema.RolloutReport{{
			ServiceHash: 1<<32 - 1, OrderVersion: schema.StoreVersion{Version: 9}, State: schema.RolloutStateRunning, ShareMilli: 1000, OtherInFlight: 3,
			Evidence: []schema.RolloutEvidence{{RouteHash: 1<<32 - 1, TargetAnswers: 1 << 31, TargetFailures: 2, OtherAnswers: 1 << 31}},
		}},
		Shares: &schema.ShareReport{
			Number: 1<<31 - 1, Needs: []schema.ShareNeed{{TenantHash: 1<<31 - 1, Calls: 1 << 30}},
			Loans:   []schema.ShareLoan{{ReceiverHash: 1<<31 - 1, TenantHash: 1<<31 - 1, PartMilli: 1000, Echo: 1<<31 - 1}},
			Returns: []schema.ShareReturn{{LenderHash: 1<<31 - 1, TenantHash: 1<<31 - 1, Number: 1<<31 - 1}},
		},
	}
}

func TestDecodeNamesTheInvalidField(t *testing.T) {
	tests := map[string]struct {
		change func(*schema.Beacon)
		field  string
	}{
		"empty name":                {change: func(b *schema.Beacon) { b.Name = "" }, field: "name"},
		"empty data centre":         {change: func(b *schema.Beacon) { b.DataCentre = "" }, field: "data_centre"},
		"caller address without IP": {change: func(b *schema.Beacon) { b.CallerAddress = "north:80" }, field: "caller_address"},
		"empty peer address":        {change: func(b *schema.Beacon) { b.PeerAddress = "" }, field: "peer_address"},
		"negative capacity":         {change: func(b *schema.Beacon) { b.Capacity = -1 }, field: "capacity"},
		"negative state age":        {change: func(b *schema.Beacon) { b.DeclaredAgeMs = -7 }, field: "declared_age_ms"},
		"negative version":          {change: func(b *schema.Beacon) { b.RegistrationsAt.Version = -7 }, field: "registrations_at.version"},
		"negative epoch":            {change: func(b *schema.Beacon) { b.OrdersAt.Epoch = -7 }, field: "orders_at.epoch"},
		"load age in the future":    {change: func(b *schema.Beacon) { b.Loads[0].AgeMs = -100 }, field: "loads.age_ms"},
		"load age of an hour":       {change: func(b *schema.Beacon) { b.Loads[0].AgeMs = 3_600_000 }, field: "loads.age_ms"},
		"pace out of range":         {change: func(b *schema.Beacon) { b.Loads[0].PacePercent = 1 << 40 }, field: "loads.pace_percent"},
		"cold time out of range":    {change: func(b *schema.Beacon) { b.Loads[0].ColdLeftMs = 1 << 40 }, field: "loads.cold_left_ms"},
		"too many rollouts": {change: func(b *schema.Beacon) {
			for len(b.Rollouts) <= beacon.MaxRollouts {
				b.Rollouts = append(b.Rollouts, b.Rollouts[0])
			}
		}, field: "rollouts"},
		"too many routes of a rollout": {change: func(b *schema.Beacon) {
			for len(b.Rollouts[0].Evidence) <= beacon.MaxRolloutRoutes {
				b.Rollouts[0].Evidence = append(b.Rollouts[0].Evidence, b.Rollouts[0].Evidence[0])
			}
		}, field: "rollouts.evidence"},
		"rollout without an order":      {change: func(b *schema.Beacon) { b.Rollouts[0].OrderVersion.Version = 0 }, field: "rollouts.order_version.version"},
		"negative order of a rollout":   {change: func(b *schema.Beacon) { b.Rollouts[0].OrderVersion.Version = -1 }, field: "rollouts.order_version.version"},
		"unknown state of a rollout":    {change: func(b *schema.Beacon) { b.Rollouts[0].State = "odd" }, field: "rollouts.state"},
		"empty state of a rollout":      {change: func(b *schema.Beacon) { b.Rollouts[0].State = "" }, field: "rollouts.state"},
		"share over the whole":          {change: func(b *schema.Beacon) { b.Rollouts[0].ShareMilli = 1001 }, field: "rollouts.share_milli"},
		"negative share":                {change: func(b *schema.Beacon) { b.Rollouts[0].ShareMilli = -1 }, field: "rollouts.share_milli"},
		"attempts on others below 0":    {change: func(b *schema.Beacon) { b.Rollouts[0].OtherInFlight = -1 }, field: "rollouts.other_in_flight"},
		"too many attempts on others":   {change: func(b *schema.Beacon) { b.Rollouts[0].OtherInFlight = 1<<31 + 1 }, field: "rollouts.other_in_flight"},
		"hash of a service over 32 bit": {change: func(b *schema.Beacon) { b.Rollouts[0].ServiceHash = 1 << 32 }, field: "rollouts.service_hash"},
		"negative hash of a service":    {change: func(b *schema.Beacon) { b.Rollouts[0].ServiceHash = -1 }, field: "rollouts.service_hash"},
		"hash of a route over 32 bit":   {change: func(b *schema.Beacon) { b.Rollouts[0].Evidence[0].RouteHash = 1 << 32 }, field: "rollouts.evidence.route_hash"},
		"number of shares over 31 bit":  {change: func(b *schema.Beacon) { b.Shares.Number = 1 << 31 }, field: "shares.number"},
		"negative need":                 {change: func(b *schema.Beacon) { b.Shares.Needs[0].Calls = -1 }, field: "shares.needs.calls"},
		"need out of range":             {change: func(b *schema.Beacon) { b.Shares.Needs[0].Calls = 1<<30 + 1 }, field: "shares.needs.calls"},
		"negative hash of a need":       {change: func(b *schema.Beacon) { b.Shares.Needs[0].TenantHash = -1 }, field: "shares.needs"},
		"too many needs":                {change: func(b *schema.Beacon) { b.Shares.Needs = make([]schema.ShareNeed, 9) }, field: "shares.needs"},
		"loan of more than a share":     {change: func(b *schema.Beacon) { b.Shares.Loans[0].PartMilli = 1001 }, field: "shares.loans.part_milli"},
		"negative loan":                 {change: func(b *schema.Beacon) { b.Shares.Loans[0].PartMilli = -1 }, field: "shares.loans.part_milli"},
		"negative echo":                 {change: func(b *schema.Beacon) { b.Shares.Loans[0].Echo = -1 }, field: "shares.loans"},
		"too many loans":                {change: func(b *schema.Beacon) { b.Shares.Loans = make([]schema.ShareLoan, 7) }, field: "shares.loans"},
		"negative number of a return":   {change: func(b *schema.Beacon) { b.Shares.Returns[0].Number = -1 }, field: "shares.returns"},
		"too many returns":              {change: func(b *schema.Beacon) { b.Shares.Returns = make([]schema.ShareReturn, 5) }, field: "shares.returns"},
		"negative in-flight attempts":   {change: func(b *schema.Beacon) { b.Loads[0].InFlight = -4 }, field: "loads.in_flight"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := validBeacon()
			test.change(&sent)
			raw, err := sent.MarshalMsg(nil)
			assert.NilError(t, err)
			_, err = beacon.Decode(raw)
			var field *beacon.FieldError
			assert.Assert(t, errors.As(err, &field), "%v", err)
			assert.Equal(t, field.Field, test.field)
		})
	}
}

// Guards against counts that overflow sums over all hosts.
func TestDecodeBoundsTheCountsOfRollouts(t *testing.T) {
	valid := validBeacon()
	for i := range beacon.RolloutCounts(&valid.Rollouts[0].Evidence[0]) {
		for _, count := range []int{-1, beacon.MaxRolloutCount + 1} {
			sent := validBeacon()
			*beacon.RolloutCounts(&sent.Rollouts[0].Evidence[0])[i] = count
			raw, err := sent.MarshalMsg(nil)
			assert.NilError(t, err)
			_, err = beacon.Decode(raw)
			var field *beacon.FieldError
			assert.Assert(t, errors.As(err, &field), "count %d of %d: %v", i, count, err)
			assert.Equal(t, field.Field, "rollouts.evidence")
		}
	}
}

// Guards against a count that is added to the evidence and not checked.
func TestRolloutCountsAreComplete(t *testing.T) {
	fields := reflect.TypeFor[schema.RolloutEvidence]().NumField()
	assert.Equal(t, len(beacon.RolloutCounts(&schema.RolloutEvidence{})), fields-1, "all fields but the route are counts")
}

// Guards against a beacon that is longer than the receiver's buffer, and whose part is
// taken for the whole.
func TestCutBeaconsAreNotTaken(t *testing.T) {
	sent := validBeacon()
	raw, err := sent.MarshalMsg(nil)
	assert.NilError(t, err)
	for cut := range raw {
		_, err := beacon.Decode(raw[:cut])
		assert.Assert(t, err != nil, "%d bytes of %d were taken", cut, len(raw))
	}
}

// identifiesOrder reports whether a report names an order and its state.
func identifiesOrder(report schema.RolloutReport) bool {
	return report.OrderVersion.Version > 0 && report.OrderVersion.Epoch >= 0 && report.State != ""
}

func FuzzDecode(f *testing.F) {
	valid := validBeacon()
	raw, err := valid.MarshalMsg(nil)
	assert.NilError(f, err)
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0xdc, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		decoded, err := beacon.Decode(raw)
		if err != nil {
			return
		}
		assert.Assert(t, decoded.Name != "" && decoded.PeerAddress != "" && decoded.Capacity >= 0, "%+v", decoded)
		for _, load := range decoded.Loads {
			assert.Assert(t, load.AgeMs >= -1 && load.InFlight >= 0 && load.ColdLeftMs >= 0 && load.PacePercent >= 0, "%+v", load)
		}
		for _, report := range decoded.Rollouts {
			assert.Assert(t, report.ShareMilli >= 0 && report.ShareMilli <= 1000 && identifiesOrder(report), "%+v", report)
			for _, evidence := range report.Evidence {
				for _, count := range beacon.RolloutCounts(&evidence) {
					assert.Assert(t, *count >= 0 && *count <= beacon.MaxRolloutCount, "%+v", evidence)
				}
			}
		}
	})
}

// Guards against datagrams of a few bytes for which a host allocates lists of the
// length that they announce.
func TestDecodeAllocatesNothingForAnnouncedLists(t *testing.T) {
	sent := validBeacon()
	sent.Loads, sent.Rollouts, sent.Shares = nil, nil, &schema.ShareReport{}
	encoded, err := sent.MarshalMsg(nil)
	assert.NilError(t, err)
	lists := 0
	for at, value := range encoded {
		if value != 0x90 { // an empty list
			continue
		}
		lists++
		announced := append(append(bytes.Clone(encoded[:at]), 0xdd, 0x00, 0x00, 0xff, 0xff), encoded[at+1:]...)
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, err := beacon.Decode(announced)
				assert.Assert(b, err != nil)
			}
		})
		assert.Assert(t, result.AllocedBytesPerOp() < 16<<10, "%d bytes for a datagram of %d", result.AllocedBytesPerOp(), len(announced))
	}
	assert.Assert(t, lists > 0)
}

// Guards against share reports that cost more than 3 KB/s for each receiver.
func TestShareReportsAreSmall(t *testing.T) {
	const beaconsPerSecond = 10
	with, without := validBeacon(), validBeacon()
	shares := with.Shares
	for len(shares.Needs) < allotment.MaxNeeds {
		shares.Needs = append(shares.Needs, shares.Needs[0])
	}
	for len(shares.Loans) < allotment.MaxLoans {
		shares.Loans = append(shares.Loans, shares.Loans[0])
	}
	for len(shares.Returns) < allotment.MaxReturns {
		shares.Returns = append(shares.Returns, shares.Returns[0])
	}
	without.Shares = nil
	long, err := with.MarshalMsg(nil)
	assert.NilError(t, err)
	short, err := without.MarshalMsg(nil)
	assert.NilError(t, err)
	perSecond := (len(long) - len(short)) * beaconsPerSecond
	assert.Assert(t, perSecond < 3000, "%d bytes a second", perSecond)
	t.Logf("%d bytes a second", perSecond)
}
