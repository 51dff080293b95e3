package edge

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/beacon"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against beacons without reports that wipe out what their sender reported before:
// its attempts in flight would count as ended.
func TestOnlyBeaconsWithReportsReachTheCallsDuty(t *testing.T) {
	tests := map[string]struct {
		reports bool
		want    int
	}{
		"with reports, although there are none": {reports: true, want: 1},
		"without reports":                       {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			duty := &controlDuty{
				replica:   declared.NewReplica(declared.DefaultBound),
				directory: directory.New(schema.Beacon{Name: "a", DataCentre: "north", PeerAddress: "a:2"}),
				calls:     ring.New[Input]("calls", 2), changes: ring.New[Input]("changes", 8), beacons: ring.New[beacon.Datagram]("beacons", 8),
				asks: ring.New[directory.AskMembers]("asks", 2), storeMembers: ring.New[directory.Action]("store_members", 2),
				orders: ring.New[declared.Read]("orders", 1), registrations: ring.New[declared.Read]("registrations", 1), fetches: ring.New[declared.Fetch]("fetches", 1),
				log: eventlog.New(logrus.NewEntry(logger)), metrics: NewMetrics(), confirmation: &confirmation{},
			}
			received := schema.Beacon{Name: "b", DataCentre: "south", CallerAddress: "b:1", PeerAddress: "b:2", StartedMs: 1, Sequence: 1, Serves: true, Reports: test.reports}
			assert.NilError(t, duty.handleBeacon(t.Context(), time.Now(), BeaconArrived{Beacon: received}))
			passed := 0
			for _, found := duty.calls.Poll(); found; _, found = duty.calls.Poll() {
				passed++
			}
			assert.Equal(t, passed, test.want)
		})
	}
}
