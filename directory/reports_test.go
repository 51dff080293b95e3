package directory_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against load reports that make up most of the bytes between data centres, and
// against hosts of the own data centre that get them less often.
func TestLoadReportsBetweenDataCentresAreFewer(t *testing.T) {
	serves := func(beacon *schema.Beacon) { beacon.Serves = true }
	host := directory.New(beacon("a", "north", 1))
	host.Self.Ready = true
	near, far := with(beacon("b", "north", 2), serves), with(beacon("c", "south", 3), serves)
	host.Self.Serves = true
	all, reports := map[string]int{}, map[string]int{}
	const rounds = 20
	for round := range rounds {
		now := start.Add(time.Duration(round) * 100 * time.Millisecond)
		for _, other := range []schema.Beacon{near, far} {
			other.Sequence = round + 1
			host.Step(now, directory.BeaconReceived{Beacon: other})
		}
		for _, action := range host.Step(now, directory.Ticked{}) {
			send, ok := action.(directory.SendBeacon)
			for _, name := range []string{"b:2", "c:2"} {
				if !ok || !slices.Contains(send.Addresses, name) {
					continue
				}
				all[name]++
				if send.Loads {
					reports[name]++
				}
			}
		}
	}
	assert.Assert(t, all["b:2"] >= rounds-2 && all["c:2"] >= rounds-2, "%v", all)
	assert.Assert(t, reports["b:2"] >= rounds-3, "%v", reports)
	assert.Assert(t, reports["c:2"] >= rounds/2-2 && reports["c:2"] <= rounds/2+2, "%v", reports)
}

// Guards against a host that places calls in other data centres by old load reports: on a
// small deployment under load it served fewer calls in time.
func TestHostsThatSendCallsElsewhereGetAllLoadReports(t *testing.T) {
	host := directory.New(beacon("a", "north", 1))
	host.Self.Ready, host.Self.Serves = true, true
	far := with(beacon("c", "south", 3), func(beacon *schema.Beacon) { beacon.Serves, beacon.Crosses = true, true })
	all, reports := 0, 0
	for round := range 20 {
		now := start.Add(time.Duration(round) * 100 * time.Millisecond)
		far.Sequence = round + 1
		host.Step(now, directory.BeaconReceived{Beacon: far})
		for _, action := range host.Step(now, directory.Ticked{}) {
			if send, ok := action.(directory.SendBeacon); ok && slices.Contains(send.Addresses, "c:2") {
				all++
				if send.Loads {
					reports++
				}
			}
		}
	}
	assert.Assert(t, all >= 18 && reports >= all-2, "%d of %d", reports, all)
}
