package directory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/schema"
)

// dataCentres is the number of data centres of a seeded fleet.
const dataCentres = 5

// maxControlBytes is the largest control traffic of a host in bytes a second.
const maxControlBytes = 3000

// newSeededFleet returns hosts that know only the addresses of the first three, and
// are ready as soon as they have settled. The fourth of each data centre is the
// largest.
func newSeededFleet(hosts int) *fleet {
	f := &fleet{now: start, down: map[int]bool{}, indexes: map[string]int{}, sharers: map[*directory.Directory]int{}}
	for i := range hosts {
		f.views = append(f.views, nil)
		f.restart(i)
	}

	return f
}

// restart starts a host anew.
func (f *fleet) restart(i int) {
	capacity := 34
	if i/dataCentres == 3 {
		capacity = 400
	}
	self := with(beacon(fmt.Sprint("h", i), fmt.Sprint("dc", i%dataCentres), int(f.now.UnixMilli())+i), func(beacon *schema.Beacon) {
		beacon.Ready, beacon.Capacity = false, capacity
	})
	view := directory.New(self)
	f.views[i], f.indexes[self.PeerAddress], f.down[i] = view, i, false
	f.perform(view, view.Step(f.now, directory.AddressesAdded{Addresses: []string{"h0:2", "h1:2", "h2:2"}}))
}

// run advances the fleet and makes the hosts ready that have settled.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); {
		for i, view := range f.views {
			if !f.down[i] && view.Settled(f.now) && !view.Self.Ready {
				f.perform(view, view.Step(f.now, directory.ReadyChanged{Ready: true}))
			}
		}
		f.advance(50 * time.Millisecond)
	}
}

// kill stops hosts of a data centre that match a condition.
func (f *fleet) kill(dataCentre int, matches func(view *directory.Directory) bool) []int {
	var killed []int
	for i, view := range f.views {
		if i%dataCentres == dataCentre && !f.down[i] && matches(view) {
			f.down[i] = true
			killed = append(killed, i)
		}
	}

	return killed
}

// servingNow returns the live hosts of a data centre that have chosen themselves.
func (f *fleet) servingNow(dataCentre int) []string {
	var names []string
	for i, view := range f.views {
		if i%dataCentres == dataCentre && !f.down[i] && view.Self.Serves {
			names = append(names, view.Self.CallerAddress)
		}
	}

	return names
}

// Guards against control traffic and store requests that grow with the number of
// hosts: all hosts start at once and know three of them.
func TestHostsThatStartTogether(t *testing.T) {
	for _, hosts := range []int{30, 100, 300, 1000} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newSeededFleet(hosts)
			f.run(3 * time.Second)
			started, startedBytes := f.sent, f.bytes
			for dataCentre := range dataCentres {
				want := fmt.Sprintf("[h%d:1]", 3*dataCentres+dataCentre)
				assert.Equal(t, f.agreedAnswer(fmt.Sprint("dc", dataCentre)), want)
			}
			assert.Assert(t, f.joined <= dataCentres, "%d hosts used the store", f.joined)
			const seconds = 4
			f.run(seconds * time.Second)
			perHost := (f.bytes - startedBytes) / hosts / seconds
			t.Logf("%d beacons a host in the first 3 s, %d bytes a second later, %d asks", started/hosts, perHost, f.asked)
			assert.Assert(t, started/hosts < 100, "%d beacons a host in the first 3 s", started/hosts)
			assert.Assert(t, perHost < maxControlBytes, "%d bytes a second and host", perHost)
			assert.Equal(t, f.lostCount, 0)
		})
	}
}

// Guards against a data centre without serving hosts after a loss: the next host
// takes over, and all hosts direct callers to it.
func TestTakeover(t *testing.T) {
	serving := func(view *directory.Directory) bool { return view.Self.Serves }
	tests := map[string]struct {
		lost   func(f *fleet)
		within time.Duration
	}{
		"serving host": {lost: func(f *fleet) { f.kill(0, serving) }, within: 700 * time.Millisecond},
		"serving host, then the next": {
			lost: func(f *fleet) {
				f.kill(0, serving)
				f.run(3 * time.Second)
				f.kill(0, serving)
			},
			within: 700 * time.Millisecond,
		},
		"large host that is not a deputy": {lost: func(f *fleet) { f.down[95] = true }, within: time.Second},
		"serving hosts of all data centres": {
			lost: func(f *fleet) {
				for dataCentre := range dataCentres {
					f.kill(dataCentre, serving)
				}
			},
			within: 8 * time.Second,
		},
		"first ten hosts of a data centre": {
			lost:   func(f *fleet) { f.kill(0, func(view *directory.Directory) bool { return len(view.Self.Name) <= 3 }) },
			within: 20 * time.Second,
		},
		"a whole data centre, which returns": {
			lost: func(f *fleet) {
				killed := f.kill(0, func(*directory.Directory) bool { return true })
				f.run(2 * time.Second)
				for _, host := range killed {
					f.restart(host)
				}
			},
			within: 3 * time.Second,
		},
		// The hosts that remain know no host of another data centre.
		"serving hosts and seeds of all data centres": {
			lost: func(f *fleet) {
				for dataCentre := range dataCentres {
					f.kill(dataCentre, func(view *directory.Directory) bool { return serving(view) || len(view.Self.Name) < 3 })
				}
			},
			within: 20 * time.Second,
		},
		"seeds": {lost: func(f *fleet) { f.down[0], f.down[1], f.down[2] = true, true, true }, within: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newSeededFleet(150)
			f.run(20 * time.Second)
			test.lost(f)
			f.run(test.within)
			for dataCentre := range dataCentres {
				names := f.servingNow(dataCentre)
				assert.Equal(t, len(names), 1, "hosts that serve in data centre %d: %s", dataCentre, strings.Join(names, " "))
				assert.Equal(t, f.agreedAnswer(fmt.Sprint("dc", dataCentre)), fmt.Sprintf("[%s]", names[0]))
			}
		})
	}
}

// Guards against hosts that never find each other because the addresses in their
// settings are stale: they look in the store, and only then.
func TestHostsWithStaleSeedsUseTheStore(t *testing.T) {
	f := newSeededFleet(0)
	f.emptyStore = true
	f.views, f.down = make([]*directory.Directory, 3), map[int]bool{0: true, 1: true}
	f.restart(2)
	f.run(700 * time.Millisecond)
	assert.Equal(t, f.joined, 1) // it serves and registers
	f.run(200 * time.Millisecond)
	assert.Equal(t, f.joined, 2) // it is alone and looks for others
	alone := directory.New(with(beacon("new", "dc4", 1), func(beacon *schema.Beacon) { beacon.Ready, beacon.Capacity = false, 34 }))
	f.views, f.indexes["new:2"] = append(f.views, alone), 3
	f.run(700 * time.Millisecond)
	assert.Equal(t, f.joined, 3) // it serves and registers too
	f.run(200 * time.Millisecond)
	assert.Equal(t, f.joined, 4)
	f.run(30 * time.Second)
	assert.Equal(t, f.joined, 6) // both are still alone and look again
	f.perform(alone, alone.Step(f.now, directory.AddressesAdded{Addresses: []string{"h2:2"}}))
	f.run(2 * time.Second)
	assert.Equal(t, f.joined, 6)
	assert.Equal(t, f.agreedAnswer("dc4"), "[new:1]")
	assert.Equal(t, f.agreedAnswer("dc2"), "[h2:1]")
}

// Guards against hosts that remain alone although the store names the others.
func TestHostsThatAreAloneFindEachOtherInTheStore(t *testing.T) {
	f := newSeededFleet(0)
	f.views, f.down = make([]*directory.Directory, 5), map[int]bool{0: true, 1: true, 2: true}
	f.restart(3)
	f.restart(4)
	f.run(3 * time.Second)
	assert.Equal(t, f.agreedAnswer("dc3"), "[h3:1]")
	assert.Equal(t, f.agreedAnswer("dc4"), "[h4:1]")
}

// Guards against callers that are sent from host to host after a restart of all
// hosts: each host that became ready took over from the one before it.
func TestReadyHostsDoNotTakeOverFromEachOther(t *testing.T) {
	f := newSeededFleet(30)
	for _, view := range f.views {
		view.Self.Capacity = 192
	}
	f.advance(5 * time.Second)
	order := []int{25, 20, 15, 10, 5, 0} // the last started becomes ready first
	for _, host := range order {
		view := f.views[host]
		f.perform(view, view.Step(f.now, directory.ReadyChanged{Ready: true}))
		f.advance(100 * time.Millisecond)
	}
	f.advance(2 * time.Second)
	assert.Equal(t, f.agreedAnswer("dc0"), "[h25:1]")
}

// TestHostsAgreeAfterAnyLosses kills and restarts hosts in any order. Once that
// ends, every data centre with a live host has exactly one that serves, and all
// hosts say so.
func TestHostsAgreeAfterAnyLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSeededFleet(rapid.IntRange(5, 40).Draw(t, "hosts"))
		f.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			host := rapid.IntRange(0, len(f.views)-1).Draw(t, "host")
			if f.down[host] {
				f.restart(host)
			} else {
				f.down[host] = true
			}
			f.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		f.run(40 * time.Second)
		for dataCentre := range dataCentres {
			alive := f.kill(dataCentre, func(*directory.Directory) bool { return true })
			for _, host := range alive {
				f.down[host] = false
			}
			if names := f.servingNow(dataCentre); len(alive) > 0 && len(names) != 1 {
				t.Fatalf("data centre %d is served by %v", dataCentre, names)
			}
			if answer := f.agreedAnswer(fmt.Sprint("dc", dataCentre)); len(alive) > 0 && answer == "" {
				t.Fatalf("hosts give different answers for data centre %d", dataCentre)
			}
		}
	})
}
