package directory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/schema"
)

// notChecked marks a number that differs between hosts: spare hosts exchange no
// beacons with those of other data centres and need the number when they serve.
const notChecked = -1

// Guards against a quota that is divided among fewer hosts than may admit calls, and
// against shares that stay small after a host has said that it ceases to serve.
func TestSharers(t *testing.T) {
	tests := map[string]struct {
		change func(f *fleet)
		within time.Duration
		// serving and spare are the numbers that hosts which serve and the others state.
		serving, spare int
	}{
		"all hosts that serve, and a spare host itself": {change: func(*fleet) {}, serving: 3, spare: 4},
		"a lost host counts beside the one that takes over": {
			change: func(f *fleet) { f.down[1] = true }, within: 2 * time.Second, serving: 4, spare: 5,
		},
		"lost spare hosts do not count": {
			change: func(f *fleet) { f.down[7], f.down[8] = true, true }, within: 20 * time.Second, serving: 3, spare: 4,
		},
		"a lost host that says that it does not serve": {
			change: func(f *fleet) {
				f.down[1] = true
				f.advance(3 * time.Second)
				f.restart(1)
				f.run(2 * time.Second)
			}, serving: 3, spare: notChecked,
		},
		"a lost host that does not return for 10 minutes": {
			change: func(f *fleet) { f.down[1] = true }, within: 10*time.Minute + time.Second, serving: 3, spare: 4,
		},
		"a lost host until then": {
			change: func(f *fleet) { f.down[1] = true }, within: 9 * time.Minute, serving: 4, spare: 5,
		},
		"a host that stops": {
			change: func(f *fleet) { f.perform(f.views[1], f.views[1].Step(f.now, directory.ReadyChanged{Ready: false})) }, within: 50 * time.Millisecond, serving: 3, spare: 4,
		},
		"a host that begins to serve": {
			change: func(f *fleet) { f.perform(f.views[1], f.views[1].Step(f.now, directory.CallsCounted{Calls: 90})) }, within: time.Second, serving: 4, spare: 5,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9)
			f.advance(5 * time.Second)
			test.change(f)
			f.advance(test.within)
			for i, view := range f.views {
				want := test.spare
				if view.Self.Serves {
					want = test.serving
				}
				if !f.down[i] && want != notChecked && f.sharers[view] != want {
					t.Errorf("%s, serving %v: %d hosts share, %d expected", view.Self.Name, view.Self.Serves, f.sharers[view], want)
				}
			}
		})
	}
}

// Guards against a share that grows when hosts only become silent, as on one side of
// a network partition.
func TestSilentHostsContinueToShare(t *testing.T) {
	view := directory.New(beacon("a", "north", 1))
	sharers := 0
	step := func(at time.Time, event directory.Event) {
		for _, action := range view.Step(at, event) {
			if change, ok := action.(directory.ServingChanged); ok {
				sharers = change.Sharers
			}
		}
	}
	step(start, directory.ReadyChanged{Ready: true})
	for _, name := range []string{"b", "c"} {
		step(start, directory.BeaconReceived{Beacon: with(beacon(name, name, 2), func(beacon *schema.Beacon) { beacon.Serves, beacon.Sequence = true, 1 })})
	}
	assert.Equal(t, sharers, 3)
	for second := 1; second < 300; second++ {
		step(start.Add(time.Duration(second)*time.Second), directory.Ticked{})
		assert.Equal(t, sharers, 3, "after %d s", second)
	}
	step(start.Add(5*time.Minute), directory.BeaconReceived{Beacon: with(beacon("b", "b", 2), func(beacon *schema.Beacon) { beacon.Sequence = 2 })})
	assert.Equal(t, sharers, 3, "b is the only host of its data centre, so callers may be directed to it")
	step(start.Add(5*time.Minute), directory.BeaconReceived{Beacon: with(beacon("b", "b", 2), func(beacon *schema.Beacon) { beacon.Sequence, beacon.Ready = 3, false })})
	assert.Equal(t, sharers, 2)
	assert.Assert(t, view.Self.Serves)
}

// Guards against hosts that all stop at about the same time, none of which serves any more,
// and each of which takes the whole quota for the callers that it still has.
func TestStoppingHostsShareWithEachOther(t *testing.T) {
	view := directory.New(beacon("a", "north", 1))
	sharers := 0
	step := func(at time.Time, event directory.Event) {
		for _, action := range view.Step(at, event) {
			if change, ok := action.(directory.ServingChanged); ok {
				sharers = change.Sharers
			}
		}
	}
	hear := func(at time.Time, name string, sequence int, serves, ready bool) {
		step(at, directory.BeaconReceived{Beacon: with(beacon(name, name, 2), func(beacon *schema.Beacon) {
			beacon.Serves, beacon.Ready, beacon.Sequence = serves, ready, sequence
		})})
	}
	step(start, directory.ReadyChanged{Ready: true})
	hear(start, "b", 1, true, true)
	hear(start, "c", 1, true, true)
	assert.Equal(t, sharers, 3)
	hear(start, "b", 2, false, false)
	assert.Equal(t, sharers, 2, "a host that serves does not count one that stops")
	step(start, directory.ReadyChanged{Ready: false})
	assert.Equal(t, sharers, 3, "this host stops, b stops and c serves")
	hear(start, "c", 2, false, false)
	assert.Equal(t, sharers, 3, "all three stop")
	for second := 1; second < 60; second++ {
		step(start.Add(time.Duration(second)*time.Second), directory.Ticked{})
	}
	assert.Equal(t, sharers, 1, "the others are gone")
}
