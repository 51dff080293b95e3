package declared_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/schema"
)

// inEpoch returns a version of a store that was restored some times.
func inEpoch(epoch, version int) schema.StoreVersion {
	return schema.StoreVersion{Epoch: epoch, Version: version}
}

// Guards against hosts that compare versions of a restored store with those of the store
// before, and so ignore what it says until its versions have passed the old ones (review/6).
func TestVersionsOfARestoredStore(t *testing.T) {
	type (
		orders        = declared.OrdersRead
		registrations = declared.RegistrationsRead
	)
	declare := func(version int) []schema.Declaration { return []schema.Declaration{newDeclaration(version)} }
	servers := func(names ...string) []schema.Registration {
		list := make([]schema.Registration, 0, len(names))
		for _, name := range names {
			list = append(list, server(name))
		}

		return list
	}
	known := []declared.Event{
		orders{At: inEpoch(1, 100), Full: true, Declarations: declare(3), Evacuated: []string{"north"}},
		registrations{At: inEpoch(1, 112), Full: true, Registered: servers("a", "b")},
	}
	tests := map[string]struct {
		events []declared.Event
		want   string
	}{
		"a whole table with a lower number is in force": {
			events: []declared.Event{
				orders{At: inEpoch(2, 53), Full: true, Declarations: declare(4)},
				registrations{At: inEpoch(2, 53), Full: true, Registered: servers("a", "b", "c")},
			},
			want: "r4 at 2.53, a b c at 2.53",
		},
		"so are the changes after it": {
			events: []declared.Event{
				orders{At: inEpoch(2, 53), Full: true, Declarations: declare(3)},
				orders{At: inEpoch(2, 60), After: inEpoch(2, 53), Declarations: declare(4)},
				registrations{At: inEpoch(2, 53), Full: true, Registered: servers("a", "b")},
				registrations{At: inEpoch(2, 61), After: inEpoch(2, 53), Registered: servers("c")},
			},
			want: "r4 at 2.60, a b c at 2.61",
		},
		"changes of a store that was restored in between are not": {
			events: []declared.Event{
				orders{At: inEpoch(2, 130), After: inEpoch(1, 100), Declarations: declare(4)},
				registrations{At: inEpoch(2, 130), After: inEpoch(1, 112), Registered: servers("c")},
			},
			want: "r3 north at 1.100, a b at 1.112, lost orders, lost registrations",
		},
		"changes after a version before the peer's answer are not": {
			events: []declared.Event{
				peerAnswerOf(orders{At: inEpoch(2, 53), Full: true, Declarations: declare(4)}, registrations{At: inEpoch(2, 53), Full: true, Registered: servers("a", "b")}),
				orders{At: inEpoch(2, 130), After: inEpoch(1, 100), Declarations: declare(5)},
				registrations{At: inEpoch(2, 130), After: inEpoch(1, 112), Registered: servers("c")},
			},
			want: "r4 at 2.53, a b at 2.53, lost orders, lost registrations",
		},
		"an answer of the store before is not": {
			events: []declared.Event{
				orders{At: inEpoch(2, 53), Full: true, Declarations: declare(4)},
				orders{At: inEpoch(1, 130), After: inEpoch(1, 100), Declarations: declare(5), Evacuated: []string{"south"}},
				registrations{At: inEpoch(2, 53), Full: true, Registered: servers("b")},
				registrations{At: inEpoch(1, 130), Full: true, Registered: servers("c")},
			},
			want: "r4 at 2.53, b at 2.53, outdated orders, outdated registrations",
		},
		"a declaration that the store lost stays": {
			events: []declared.Event{orders{At: inEpoch(2, 53), Full: true, Declarations: declare(2)}},
			want:   "r3 at 2.53, a b at 1.112",
		},
		"several returns, some of them missed": {
			events: []declared.Event{
				orders{At: inEpoch(4, 20), Full: true, Declarations: declare(4)},
				orders{At: inEpoch(5, 10), Full: true, Declarations: declare(5)},
				orders{At: inEpoch(5, 12), After: inEpoch(5, 10), Declarations: declare(6)},
			},
			want: "r6 at 5.12, a b at 1.112",
		},
		"a peer's state with lower numbers is in force": {
			events: []declared.Event{
				peerAnswerOf(orders{At: inEpoch(2, 53), Full: true, Declarations: declare(4)}, registrations{At: inEpoch(2, 54), Full: true, Registered: servers("c")}),
			},
			want: "r4 at 2.53, c at 2.54",
		},
		"a peer's state of the store before is not": {
			events: []declared.Event{
				orders{At: inEpoch(2, 53), Full: true, Declarations: declare(4)},
				registrations{At: inEpoch(2, 53), Full: true, Registered: servers("b")},
				peerAnswerOf(orders{At: inEpoch(1, 130), Full: true, Declarations: declare(3), Evacuated: []string{"south"}}, registrations{At: inEpoch(1, 130), Full: true, Registered: servers("c")}),
			},
			want: "r4 at 2.53, b at 2.53",
		},
		"but its newer declaration is": {
			events: []declared.Event{
				orders{At: inEpoch(2, 53), Full: true},
				peerAnswerOf(orders{At: inEpoch(1, 130), Full: true, Declarations: declare(5), Evacuated: []string{"south"}}, registrations{At: inEpoch(1, 90), Full: true, Registered: servers("c")}),
			},
			want: "r5 at 2.53, a b at 1.112",
		},
		"a peer that started since has an older declaration, and newer orders": {
			events: []declared.Event{
				peerAnswerOf(orders{At: inEpoch(2, 53), Full: true, Declarations: declare(2), Evacuated: []string{"south"}}, registrations{At: inEpoch(2, 53), Full: true, Registered: servers("a", "b")}),
			},
			want: "r3 south at 2.53, a b at 2.53",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			var reports []string
			events := append(append([]declared.Event(nil), known...), test.events...)
			for i, event := range append(events, declared.Ticked{}) {
				// Each event is later than what hosts retain after a restore.
				reports = append(reports, reportsOf(replica.Step(at(time.Duration(i)*10*time.Second), event))...)
			}
			assert.Equal(t, strings.Join(append([]string{stateOf(replica)}, reports...), ", "), test.want)
		})
	}
}

// peerAnswerOf returns the full answer of a peer that read the arguments from the store.
func peerAnswerOf(orders declared.OrdersRead, registrations declared.RegistrationsRead) declared.Event {
	peer := declared.NewReplica(declared.DefaultBound)
	peer.Step(start, orders)
	peer.Step(start, registrations)

	return declared.PeerAnswered{Answer: peer.Answer(start, schema.DeclaredRequest{})}
}

// stateOf describes the state in force with its versions.
func stateOf(replica *declared.Replica) string {
	state := replica.Declared
	list := strings.Join(append([]string{fmt.Sprint("r", state.Declaration.Version)}, state.Evacuated...), " ")

	return fmt.Sprintf("%s at %s, %sat %s", list, state.OrdersAt, ids(replica), state.RegistrationsAt)
}

// reportsOf describes the answers of the store that were not applied.
func reportsOf(actions []declared.Action) []string {
	tables := map[declared.Table]string{declared.Orders: "orders", declared.Registrations: "registrations"}
	var reports []string
	for _, action := range actions {
		switch action := action.(type) {
		case declared.ReadOutdated:
			reports = append(reports, "outdated "+tables[action.Table])
		case declared.HistoryMissed:
			reports = append(reports, "lost "+tables[action.Table])
		case declared.Read, declared.Fetch, declared.Changed, declared.StoreRestored, declared.StoreLost, declared.StoreRegained:
		}
	}

	return reports
}

// Guards against an evacuation, an order of a rollout or a backend server that hosts drop
// because the restored store lacks it until it is written again, and against backend servers
// that had left and get calls again because the copy lists them.
func TestWhatARestoredStoreHasLost(t *testing.T) {
	type (
		orders        = declared.OrdersRead
		registrations = declared.RegistrationsRead
	)
	declaration := []schema.Declaration{newDeclaration(3)}
	reborn := server("d")
	reborn.StartedMs++
	known := []step{
		{0, orders{At: inEpoch(1, 100), Full: true, Declarations: declaration, Evacuated: []string{"north"}, Rollouts: []schema.RolloutOrder{rollout("s", 90)}}},
		{0, registrations{At: inEpoch(1, 100), Full: true, Registered: []schema.Registration{server("a"), server("b"), server("c"), server("d"), server("e")}}},
		{10 * time.Millisecond, registrations{At: inEpoch(1, 110), After: inEpoch(1, 100), Registered: []schema.Registration{draining("c"), draining("d")}}},
		{20 * time.Millisecond, registrations{At: inEpoch(1, 112), After: inEpoch(1, 110), Gone: []string{"d", "e"}}},
	}
	restored := []step{
		{time.Second, orders{At: inEpoch(2, 53), Full: true, Declarations: declaration}},
		{time.Second, registrations{At: inEpoch(2, 53), Full: true, Registered: []schema.Registration{server("a"), server("c"), server("d"), server("e")}}},
	}
	tests := map[string]struct {
		steps []step
		until time.Duration
		want  string
	}{
		"before":              {steps: nil, until: time.Second, want: "north, s90, a b c- "},
		"at the return":       {steps: restored, until: time.Second, want: "north, s90, a b c- d- e- "},
		"two seconds later":   {steps: restored, until: 3 * time.Second, want: "north, s90, a b c- d- e- "},
		"three seconds later": {steps: restored, until: 4 * time.Second, want: ", , a c- d- e- "},
		// A backend server without heartbeats would have been removed by then.
		"seven seconds later": {steps: restored, until: 8 * time.Second, want: ", , a c- d- e "},
		"written again": {steps: append(restored,
			step{1500 * time.Millisecond, orders{At: inEpoch(2, 60), After: inEpoch(2, 53), Evacuated: []string{"north"}, Rollouts: []schema.RolloutOrder{{Service: "s", Target: "v90", DurationMs: 12_000, OrderVersion: inEpoch(2, 59)}}}},
			step{1500 * time.Millisecond, registrations{At: inEpoch(2, 60), After: inEpoch(2, 53), Registered: []schema.Registration{server("b"), draining("c")}}},
		), until: 8 * time.Second, want: "north, s59, a b c- d- e "},
		"taken back": {steps: append(restored,
			step{1500 * time.Millisecond, orders{At: inEpoch(2, 60), After: inEpoch(2, 53), Returned: []string{"north"}, Withdrawn: []string{"s"}}},
		), until: 2 * time.Second, want: ", , a b c- d- e- "},
		"started again": {steps: append(restored,
			step{1500 * time.Millisecond, registrations{At: inEpoch(2, 60), After: inEpoch(2, 53), Registered: []schema.Registration{reborn}}},
		), until: 2 * time.Second, want: "north, s90, a b c- d e- "},
		"removed again": {steps: append(restored,
			step{1500 * time.Millisecond, registrations{At: inEpoch(2, 60), After: inEpoch(2, 53), Gone: []string{"c", "d", "e"}}},
		), until: 4 * time.Second, want: ", , a "},
		"restored once more": {steps: append(restored,
			step{1500 * time.Millisecond, orders{At: inEpoch(3, 40), Full: true, Declarations: declaration}},
			step{1500 * time.Millisecond, registrations{At: inEpoch(3, 40), Full: true, Registered: []schema.Registration{server("c"), server("e")}}},
		), until: 3 * time.Second, want: "north, s90, a b c- e- "},
		"from another host": {steps: []step{
			{time.Second, peerAnswerOf(restored[0].event.(orders), restored[1].event.(registrations))},
		}, until: 3 * time.Second, want: "north, s90, a b c- d- e- "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replica := declared.NewReplica(declared.DefaultBound)
			for _, step := range append(append([]step(nil), known...), test.steps...) {
				replica.Step(at(step.at), step.event)
			}
			replica.Step(at(test.until), declared.Ticked{})
			got := fmt.Sprintf("%s, %s, %s", strings.Join(replica.Declared.Evacuated, " "), strings.TrimSpace(ordersOf(replica)), ids(replica))
			assert.Equal(t, got, test.want)
		})
	}
}

// Guards against a host that tells others as the state of the store what it retains, so that
// nothing ends the retention.
func TestRetainedOrdersAreNotPassedOn(t *testing.T) {
	replica := declared.NewReplica(declared.DefaultBound)
	replica.Step(start, declared.OrdersRead{At: inEpoch(1, 100), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}, Evacuated: []string{"north"}, Rollouts: []schema.RolloutOrder{rollout("s", 90)}})
	replica.Step(at(time.Millisecond), declared.OrdersRead{At: inEpoch(2, 53), Full: true})
	assert.DeepEqual(t, replica.Declared.Evacuated, []string{"north"})
	answer := replica.Answer(at(time.Millisecond), schema.DeclaredRequest{})
	assert.Equal(t, len(answer.Evacuated)+len(answer.Rollouts), 0)
	other := declared.NewReplica(declared.DefaultBound)
	other.Step(start, declared.OrdersRead{At: inEpoch(2, 53), Full: true, Declarations: []schema.Declaration{newDeclaration(3)}})
	assert.Equal(t, replica.Hash, other.Hash)
}

// Guards against answers of a store before it was restored that count as confirmations, by
// which a host rejects calls that a newer declaration allows.
func TestOutdatedAnswersConfirmNothing(t *testing.T) {
	replica := declared.NewReplica(declared.DefaultBound)
	for _, event := range []declared.Event{
		declared.OrdersRead{At: inEpoch(2, 5), Full: true, Declarations: []schema.Declaration{newDeclaration(1)}},
		declared.RegistrationsRead{At: inEpoch(2, 5), Full: true},
	} {
		replica.Step(start, event)
	}
	replica.Step(at(100*time.Millisecond), declared.OrdersRead{At: inEpoch(1, 9), After: inEpoch(1, 8)})
	replica.Step(at(100*time.Millisecond), declared.RegistrationsRead{At: inEpoch(1, 9), Full: true})
	assert.Equal(t, replica.ConfirmedAt(), start)
	assert.Equal(t, replica.OrdersConfirmedAt(), start)
}
