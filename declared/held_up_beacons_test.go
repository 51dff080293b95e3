package declared_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/declared"
)

// Guards against a host that takes a beacon that waited while the process was held up for a
// confirmation of its orders from after that.
func TestBeaconsThatWaitedDoNotConfirmOrders(t *testing.T) {
	const resumed = 5 * time.Second
	tests := map[string]struct {
		handled   time.Duration
		confirmed time.Duration
	}{
		"a beacon that waited":         {handled: resumed + 10*time.Millisecond, confirmed: 0},
		"a beacon that was sent since": {handled: resumed + 150*time.Millisecond, confirmed: resumed + 150*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			replica.Step(start, declared.OrdersRead{At: storeVersion(7), Full: true, Declarations: nil})
			replica.Step(start, declared.PeerStateReceived{Name: "p", Address: "10.0.0.9:1", Hash: 1, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8)})
			replica.Step(start, peerAnswer(newDeclaration(1), 7, 8, server("a")))
			replica.Step(at(resumed), declared.Ticked{})
			replica.Step(at(test.handled), declared.PeerStateReceived{
				Name: "p", Address: "10.0.0.9:1", Hash: replica.Hash, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8),
			})
			assert.Equal(t, replica.OrdersConfirmedAt().Sub(start), test.confirmed)
		})
	}
}
