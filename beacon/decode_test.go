package beacon_test

import (
	"bytes"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/schema"
)

// validBeacon returns a beacon that Decode accepts.
func validBeacon() schema.Beacon {
	return schema.Beacon{
		Name: "a", DataCentre: "north", CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:7200", Ready: true,
		Loads: []schema.ServerLoad{{ServerHash: 7, PacePercent: 700, AgeMs: -1}},
	}
}

func TestDecodeNamesTheInvalidField(t *testing.T) {
	tests := map[string]struct {
		change func(*schema.Beacon)
		field  string
	}{
		"empty name":                  {change: func(b *schema.Beacon) { b.Name = "" }, field: "name"},
		"empty data centre":           {change: func(b *schema.Beacon) { b.DataCentre = "" }, field: "data_centre"},
		"caller address without IP":   {change: func(b *schema.Beacon) { b.CallerAddress = "north:80" }, field: "caller_address"},
		"empty peer address":          {change: func(b *schema.Beacon) { b.PeerAddress = "" }, field: "peer_address"},
		"negative capacity":           {change: func(b *schema.Beacon) { b.Capacity = -1 }, field: "capacity"},
		"negative state age":          {change: func(b *schema.Beacon) { b.DeclaredAgeMs = -7 }, field: "declared_age_ms"},
		"negative revision":           {change: func(b *schema.Beacon) { b.RegistrationsAt = -7 }, field: "registrations_at"},
		"load age in the future":      {change: func(b *schema.Beacon) { b.Loads[0].AgeMs = -100 }, field: "loads.age_ms"},
		"load age of an hour":         {change: func(b *schema.Beacon) { b.Loads[0].AgeMs = 3_600_000 }, field: "loads.age_ms"},
		"pace out of range":           {change: func(b *schema.Beacon) { b.Loads[0].PacePercent = 1 << 40 }, field: "loads.pace_percent"},
		"cold time out of range":      {change: func(b *schema.Beacon) { b.Loads[0].ColdLeftMs = 1 << 40 }, field: "loads.cold_left_ms"},
		"negative in-flight attempts": {change: func(b *schema.Beacon) { b.Loads[0].InFlight = -4 }, field: "loads.in_flight"},
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
	})
}

// Guards against datagrams of a few bytes for which a host allocates lists of the
// length that they announce.
func TestDecodeAllocatesNothingForAnnouncedLists(t *testing.T) {
	sent := validBeacon()
	sent.Loads = nil
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
