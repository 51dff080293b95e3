package declared_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/declared"
)

// Guards against a process that was held up and takes what arrived meanwhile for a
// confirmation of its state: an answer of the store to a read that began before, or a
// beacon that waited in the socket.
func TestConfirmedSince(t *testing.T) {
	const resumed = 5 * time.Second
	orders := declared.OrdersRead{At: storeVersion(7)}
	registrations := declared.RegistrationsRead{At: storeVersion(8)}
	equal := func(hash int) declared.Event {
		return declared.PeerStateReceived{Name: "p", Address: "10.0.0.9:1", Hash: hash, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8)}
	}
	tests := map[string]struct {
		events    func(hash int) []step
		confirmed bool
	}{
		"nothing arrived":              {events: func(int) []step { return nil }},
		"answers to reads from before": {events: func(int) []step { return []step{{resumed, orders}, {resumed, registrations}} }},
		"one table read since": {events: func(int) []step {
			return []step{{resumed, orders}, {resumed, registrations}, {resumed + time.Second, declared.Ticked{}}, {resumed + time.Second, orders}}
		}},
		"both tables read since": {confirmed: true, events: func(int) []step {
			return []step{
				{resumed, orders}, {resumed, registrations}, {resumed + time.Second, declared.Ticked{}},
				{resumed + time.Second, orders}, {resumed + time.Second, registrations},
			}
		}},
		"a beacon from before": {events: func(hash int) []step { return []step{{resumed + 10*time.Millisecond, equal(hash)}} }},
		"a beacon from since":  {confirmed: true, events: func(hash int) []step { return []step{{resumed + 150*time.Millisecond, equal(hash)}} }},
		"a beacon of another state": {events: func(hash int) []step {
			return []step{{resumed + 150*time.Millisecond, equal(hash + 1)}}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			replica.Step(start, declared.OrdersRead{At: storeVersion(7), Full: true, Declarations: nil})
			replica.Step(start, declared.PeerStateReceived{Name: "p", Address: "10.0.0.9:1", Hash: 1, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8)})
			replica.Step(start, peerAnswer(newDeclaration(1), 7, 8, server("a")))
			replica.Step(at(time.Second), declared.Ticked{})
			for _, next := range test.events(replica.Hash) {
				replica.Step(at(next.at), next.event)
			}
			assert.Equal(t, replica.ConfirmedSince(at(resumed)), test.confirmed)
		})
	}
}
