package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against beacons that wait in the ring without a time of arrival, so that they
// count as just arrived when they are handled.
func TestReceivedBeaconsNoteTheirArrival(t *testing.T) {
	host := &Host{control: ring.New[ControlInput]("control", 1), Metrics: NewMetrics()}
	began := time.Now()
	host.receiveBeacon(schema.Beacon{Name: "a"})
	ended := time.Now()
	input, found := host.control.Poll()
	assert.Assert(t, found)
	received, ok := input.(BeaconArrived)
	assert.Assert(t, ok)
	assert.Equal(t, received.Beacon.Name, "a")
	assert.Assert(t, !received.ArrivedAt.Before(began) && !received.ArrivedAt.After(ended))
}
