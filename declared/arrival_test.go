package declared_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against a confirmation that counts from when it is handled, so that hosts whose
// inputs wait pass on a state as confirmed more recently than it was.
func TestWaitsArePartOfTheAgeOfAConfirmation(t *testing.T) {
	const last = 5 * time.Second
	handled := last + 400*time.Millisecond
	tests := map[string]struct {
		event     func(hash int) declared.Event
		confirmed time.Duration
	}{
		"beacon handled as it arrives": {confirmed: handled, event: func(hash int) declared.Event {
			return declared.PeerStateReceived{Name: "p", Hash: hash, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8)}
		}},
		"beacon that waited": {confirmed: handled - 150*time.Millisecond, event: func(hash int) declared.Event {
			return declared.PeerStateReceived{Name: "p", Hash: hash, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8), ArrivedAt: at(handled - 150*time.Millisecond)}
		}},
		"beacon of some age that waited": {confirmed: handled - 350*time.Millisecond, event: func(hash int) declared.Event {
			return declared.PeerStateReceived{
				Name: "p", Hash: hash, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8), ArrivedAt: at(handled - 150*time.Millisecond), Age: 200 * time.Millisecond,
			}
		}},
		"answer that waited": {confirmed: handled - 300*time.Millisecond, event: func(int) declared.Event {
			return declared.OrdersRead{At: storeVersion(7), ArrivedAt: at(handled - 300*time.Millisecond)}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			replica.Step(start, declared.OrdersRead{At: storeVersion(7), Full: true, Declarations: []schema.Declaration{newDeclaration(1)}})
			replica.Step(start, peerAnswer(newDeclaration(1), 7, 8, server("a")))
			for passed := time.Duration(0); passed <= last; passed += 200 * time.Millisecond {
				replica.Step(at(passed), declared.Ticked{})
			}
			replica.Step(at(last), declared.RegistrationsRead{At: storeVersion(8)})
			event := test.event(replica.Hash)
			replica.Step(at(handled), event)
			assert.Equal(t, replica.OrdersConfirmedAt().Sub(start), test.confirmed)
			if _, read := event.(declared.OrdersRead); read {
				replica.Step(at(handled), declared.RegistrationsRead{At: storeVersion(8)})
			}
			assert.Equal(t, replica.CertainAt().Sub(start), test.confirmed)
			assert.Equal(t, replica.ConfirmedAt().Sub(start), test.confirmed)
		})
	}
}

// Guards against a host that passes on a state as confirmed just now because of inputs that
// waited while its process was held up.
func TestHeldUpInputsAreNotPassedOn(t *testing.T) {
	const resumed = 5 * time.Second
	tests := map[string]func(hash int) []declared.Event{
		"answers of the store": func(int) []declared.Event {
			return []declared.Event{declared.OrdersRead{At: storeVersion(7)}, declared.RegistrationsRead{At: storeVersion(8)}}
		},
		"beacon": func(hash int) []declared.Event {
			return []declared.Event{declared.PeerStateReceived{Name: "p", Hash: hash, OrdersAt: storeVersion(7), RegistrationsAt: storeVersion(8)}}
		},
	}
	for name, events := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			replica.Step(start, declared.OrdersRead{At: storeVersion(7), Full: true, Declarations: []schema.Declaration{newDeclaration(1)}})
			replica.Step(start, peerAnswer(newDeclaration(1), 7, 8, server("a")))
			for _, event := range events(replica.Hash) {
				replica.Step(at(resumed), event)
			}
			assert.Assert(t, !replica.CertainAt().After(start), "confirmed %v after the start", replica.CertainAt().Sub(start))
			assert.Equal(t, replica.ConfirmedAt(), at(resumed))
		})
	}
}

// Guards against a host that ceases to count as a reader because it handles the answers of
// the store late.
func TestHostsThatHandleAnswersLateStayReaders(t *testing.T) {
	replica := declared.NewReplica(declared.DefaultBound)
	replica.Step(start, declared.OrdersRead{At: storeVersion(7), Full: true, Declarations: []schema.Declaration{newDeclaration(1)}})
	replica.Step(start, peerAnswer(newDeclaration(1), 7, 8, server("a")))
	for passed := time.Duration(0); passed <= 5*time.Second; passed += 200 * time.Millisecond {
		replica.Step(at(passed), declared.Ticked{})
	}
	now := at(5 * time.Second)
	replica.Step(now, declared.OrdersRead{At: storeVersion(7), ArrivedAt: now.Add(-2 * time.Second)})
	replica.Step(now, declared.RegistrationsRead{At: storeVersion(8), ArrivedAt: now.Add(-2 * time.Second)})
	assert.Assert(t, replica.Reads(now))
}
