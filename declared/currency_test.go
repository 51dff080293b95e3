package declared_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/declared"
)

// Guards against a host that rejects a key as unknown because it takes an answer that
// waited while the process was frozen for a confirmation from after the freeze.
func TestAnswersThatWaitedConfirmTheirBeginOnly(t *testing.T) {
	const began, frozen = 400 * time.Millisecond, 600 * time.Millisecond
	tests := map[string]struct {
		events    []step
		confirmed time.Duration
	}{
		"no freeze": {
			events:    []step{{frozen, declared.Ticked{}}, {frozen + 400*time.Millisecond, declared.OrdersRead{At: storeVersion(7)}}},
			confirmed: frozen + 400*time.Millisecond,
		},
		"answer first after a freeze": {
			events:    []step{{frozen, declared.Ticked{}}, {frozen + 600*time.Millisecond, declared.OrdersRead{At: storeVersion(7)}}},
			confirmed: began,
		},
		"answer that was decoded for a while after a freeze": {
			events: []step{
				{frozen, declared.Ticked{}}, {frozen + 600*time.Millisecond, declared.Ticked{}}, {frozen + 800*time.Millisecond, declared.OrdersRead{At: storeVersion(7)}},
			},
			confirmed: began,
		},
		"answer to a read after the freeze": {
			events: []step{
				{frozen, declared.Ticked{}}, {frozen + 600*time.Millisecond, declared.OrdersRead{At: storeVersion(7)}},
				{frozen + 700*time.Millisecond, declared.Ticked{}}, {frozen + 720*time.Millisecond, declared.OrdersRead{At: storeVersion(7)}},
			},
			confirmed: frozen + 720*time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			for passed := time.Duration(0); passed < began; passed += 100 * time.Millisecond {
				replica.Step(at(passed), declared.Ticked{})
			}
			read := false
			for _, action := range replica.Step(at(began), declared.Ticked{}) {
				next, ok := action.(declared.Read)
				read = read || ok && next.Table == declared.Orders
			}
			assert.Assert(t, read, "no read began")
			for _, next := range test.events {
				replica.Step(at(next.at), next.event)
			}
			assert.Equal(t, replica.OrdersConfirmedAt().Sub(start), test.confirmed)
		})
	}
}
