package directory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/directory"
	"github.com/baobabdrum/baobabdrum/schema"
)

// start is the time at which each test starts.
var start = time.Unix(1000, 0)

// beacon returns the beacon of a ready host.
func beacon(name, dataCentre string, started int) schema.Beacon {
	return schema.Beacon{
		Name: name, DataCentre: dataCentre, StartedMs: started, CallerAddress: name + ":1", PeerAddress: name + ":2", Ready: true, Capacity: 100,
	}
}

// with returns a copy of a beacon with a change.
func with(changed schema.Beacon, change func(beacon *schema.Beacon)) schema.Beacon {
	change(&changed)

	return changed
}

func TestAnswer(t *testing.T) {
	unready := func(beacon *schema.Beacon) { beacon.Ready = false }
	serves := func(beacon *schema.Beacon) { beacon.Serves = true }
	tests := map[string]struct {
		self   schema.Beacon
		heard  []schema.Beacon
		after  time.Duration
		asks   string
		answer []string
	}{
		"the host with the longest uptime": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{beacon("b", "north", 3), beacon("c", "north", 4)}, asks: "north", answer: []string{"b:1"},
		},
		"the host of the caller's data centre": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{beacon("b", "south", 3)}, asks: "south", answer: []string{"b:1"},
		},
		"all serving hosts when the data centre has none": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{beacon("b", "south", 3)}, asks: "west", answer: []string{"a:1", "b:1"},
		},
		"no host that is not ready": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{with(beacon("b", "north", 3), unready)}, asks: "north", answer: []string{"a:1"},
		},
		"no silent host": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{beacon("b", "north", 3)}, after: 5 * time.Second, asks: "north", answer: []string{"a:1"},
		},
		"the host that serves already": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{beacon("b", "north", 3), with(beacon("c", "north", 4), serves)}, asks: "north", answer: []string{"c:1"},
		},
		"the larger host before one that serves already": {
			self: with(beacon("a", "north", 5), func(beacon *schema.Beacon) { beacon.Capacity = 300 }), heard: []schema.Beacon{beacon("b", "north", 3)}, asks: "north", answer: []string{"a:1"},
		},
		"the larger host": {
			self: beacon("a", "north", 1), heard: []schema.Beacon{with(beacon("b", "north", 3), func(beacon *schema.Beacon) { beacon.Capacity = 300 })}, asks: "north", answer: []string{"b:1"},
		},
		"two hosts when one is busy": {
			self:  with(beacon("a", "north", 1), func(beacon *schema.Beacon) { beacon.Calls = 10 }),
			heard: []schema.Beacon{with(beacon("b", "north", 3), func(beacon *schema.Beacon) { beacon.Calls, beacon.Serves = 80, true })}, asks: "north", answer: []string{"a:1", "b:1"},
		},
		"no small host that callers would use as much as a large one": {
			self: with(beacon("a", "north", 1), func(beacon *schema.Beacon) { beacon.Capacity = 20 }),
			heard: []schema.Beacon{with(beacon("b", "north", 3), func(beacon *schema.Beacon) {
				beacon.Capacity, beacon.Calls, beacon.Serves = 400, 300, true
			})}, asks: "north", answer: []string{"b:1"},
		},
		"not the earlier incarnation": {
			self: beacon("a", "north", 5), heard: []schema.Beacon{
				with(beacon("b", "north", 9), func(beacon *schema.Beacon) { beacon.Sequence = 1 }), with(beacon("b", "north", 3), func(beacon *schema.Beacon) { beacon.Sequence = 7 }),
			}, asks: "north", answer: []string{"a:1"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := directory.New(test.self)
			for _, heard := range test.heard {
				view.Step(start, directory.BeaconReceived{Beacon: heard})
			}
			view.Step(start, directory.ReadyChanged{Ready: true})
			for at := time.Duration(0); at <= test.after; at += 50 * time.Millisecond {
				view.Step(start.Add(at), directory.Ticked{})
			}
			answer, ttl := view.Answer(test.asks)
			assert.DeepEqual(t, answer, test.answer)
			assert.Assert(t, ttl > 0 && ttl <= 5*time.Second)
		})
	}
}

// fleet simulates hosts that send each other beacons.
type fleet struct {
	now   time.Time
	views []*directory.Directory
	down  map[int]bool
	// indexes holds the index of each host by its peer address.
	indexes map[string]int
	sent    int
	// bytes counts the bytes of the beacons, at most.
	bytes int
	// asked counts the requests for members, joined those that use the store.
	asked, joined int
	asks          []pendingAsk
	// registered are the peer addresses in the store, joining the hosts that read them.
	registered []string
	// emptyStore leaves out all hosts from the answers of the store.
	emptyStore bool
	joining    []*directory.Directory
	// lostCount counts the losses that hosts reported.
	lostCount int
	seq       int
	// sharers is the number of hosts that share quotas by the last report of each host.
	sharers map[*directory.Directory]int
}

// newFleet returns ready hosts, each with the addresses of those before it.
func newFleet(hosts int) *fleet {
	f := &fleet{now: start, down: map[int]bool{}, indexes: map[string]int{}, sharers: map[*directory.Directory]int{}}
	for i := range hosts {
		view := directory.New(beacon(fmt.Sprint("h", i), fmt.Sprint("dc", i%3), 100+i))
		for earlier := range i {
			view.Step(start, directory.AddressesAdded{Addresses: []string{fmt.Sprint("h", earlier, ":2")}})
		}
		view.Step(start, directory.ReadyChanged{Ready: true})
		f.indexes[view.Self.PeerAddress] = i
		f.views = append(f.views, view)
	}

	return f
}

// advance runs the live hosts for a length of time.
func (f *fleet) advance(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		for i, view := range f.views {
			if !f.down[i] {
				f.perform(view, view.Step(f.now, directory.Ticked{}))
			}
		}
	}
}

// pendingAsk is a request for members in transit.
type pendingAsk struct {
	from *directory.Directory
	ask  directory.AskMembers
}

// delivery is a beacon in transit.
type delivery struct {
	to     *directory.Directory
	beacon schema.Beacon
}

// perform carries out a host's actions and those that follow at the receivers.
func (f *fleet) perform(from *directory.Directory, actions []directory.Action) {
	waiting := f.deliveries(from, actions)
	for len(waiting) > 0 {
		next := waiting[0]
		waiting = append(waiting[1:], f.deliveries(next.to, next.to.Step(f.now, directory.BeaconReceived{Beacon: next.beacon}))...)
	}
	for len(f.asks) > 0 {
		next := f.asks[0]
		f.asks = f.asks[1:]
		f.ask(next.from, next.ask)
	}
	for len(f.joining) > 0 {
		next := f.joining[0]
		f.joining = f.joining[1:]
		f.perform(next, next.Step(f.now, directory.AddressesAdded{Addresses: slices.Clone(f.registered)}))
	}
}

// register adds a host to the store.
func (f *fleet) register(host *directory.Directory) {
	f.joined++
	if !f.emptyStore && !slices.Contains(f.registered, host.Self.PeerAddress) {
		f.registered = append(f.registered, host.Self.PeerAddress)
	}
}

// ask carries out a request of a host for the hosts that another one knows.
func (f *fleet) ask(from *directory.Directory, ask directory.AskMembers) {
	f.asked++
	asked := f.at(ask.Address)
	if asked == nil {
		f.perform(from, from.Step(f.now, directory.AskFailed{}))

		return
	}
	answer := asked.Members(schema.MembersRequest{Sender: from.Self.Name, DataCentre: ask.DataCentre})
	f.perform(from, from.Step(f.now, directory.MembersAnswered{Answer: answer}))
}

// deliveries returns the beacons that a host's actions send to live hosts, and
// counts beacons and losses.
func (f *fleet) deliveries(from *directory.Directory, actions []directory.Action) []delivery {
	var all []delivery
	for _, action := range actions {
		switch action := action.(type) {
		case directory.PeerLost:
			f.lostCount++
		case directory.SendBeacon:
			f.seq++
			sent := with(from.Self, func(beacon *schema.Beacon) { beacon.Sequence, beacon.Lost = f.seq, from.Lost(f.now) })
			for _, address := range action.Addresses {
				f.sent++
				f.bytes += sent.Msgsize()
				if to := f.at(address); to != nil {
					all = append(all, delivery{to, sent})
				}
			}
		case directory.JoinStore:
			f.register(from)
			f.joining = append(f.joining, from)
		case directory.Register:
			f.register(from)
		case directory.AskMembers:
			f.asks = append(f.asks, pendingAsk{from: from, ask: action})
		case directory.ServingChanged:
			f.sharers[from] = action.Sharers
		case directory.PeerFound:
		}
	}

	return all
}

// at returns the live host with an address, or nil.
func (f *fleet) at(address string) *directory.Directory {
	if i, known := f.indexes[address]; known && !f.down[i] {
		return f.views[i]
	}

	return nil
}

// agreedAnswer returns the answer that all live hosts give for a data centre, or an
// empty string if their answers differ.
func (f *fleet) agreedAnswer(dataCentre string) string {
	agreed := ""
	for i, view := range f.views {
		if f.down[i] {
			continue
		}
		answer, _ := view.Answer(dataCentre)
		if agreed == "" {
			agreed = fmt.Sprint(answer)
		}
		if agreed != fmt.Sprint(answer) {
			return ""
		}
	}

	return agreed
}

func TestLostHostIsExcludedWithinTimeout(t *testing.T) {
	f := newFleet(15)
	f.advance(3 * time.Second)
	assert.Equal(t, f.agreedAnswer("dc1"), "[h1:1]")
	f.down[1] = true
	f.advance(700 * time.Millisecond)
	assert.Equal(t, f.agreedAnswer("dc1"), "[h4:1]")
	f.advance(1200 * time.Millisecond)
	f.down[4] = true
	f.advance(700 * time.Millisecond)
	assert.Equal(t, f.agreedAnswer("dc1"), "[h7:1]")
}

func TestFewBeaconsAreSent(t *testing.T) {
	f := newFleet(15)
	f.advance(5 * time.Second)
	sent := f.sent
	f.advance(10 * time.Second)
	// A host sends at most 3 KB/s of control traffic; a beacon has about 200 bytes.
	assert.Assert(t, f.sent-sent < 15*10*3000/200, "%d beacons in ten seconds", f.sent-sent)
}

func TestStoppingHostIsExcludedImmediately(t *testing.T) {
	f := newFleet(6)
	f.advance(3 * time.Second)
	f.perform(f.views[0], f.views[0].Step(f.now, directory.ReadyChanged{Ready: false}))
	f.advance(50 * time.Millisecond)
	assert.Equal(t, f.agreedAnswer("dc0"), "[h3:1]")
}

func TestAnswerIsNeverEmptyWhileAHostIsReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 9).Draw(t, "hosts"))
		f.advance(3 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			host := rapid.IntRange(0, len(f.views)-1).Draw(t, "host")
			f.down[host] = !f.down[host]
			f.advance(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			for i, view := range f.views {
				if answer, _ := view.Answer("dc0"); !f.down[i] && len(answer) == 0 {
					t.Fatalf("host %d gives an empty answer", i)
				}
			}
		}
	})
}

// Guards against hosts that wait for a reader which has lost the store, because the
// beacon that said so was lost.
func TestChangeOfReadingIsSentTwiceToAllHosts(t *testing.T) {
	f := newFleet(6)
	f.advance(5 * time.Second)
	view, sentTo := f.views[0], map[string]int{}
	count := func(actions []directory.Action) {
		for _, action := range actions {
			if send, sends := action.(directory.SendBeacon); sends {
				for _, address := range send.Addresses {
					sentTo[address]++
				}
			}
		}
	}
	count(view.Step(f.now, directory.ReadsChanged{}))
	count(view.Step(f.now.Add(50*time.Millisecond), directory.Ticked{}))
	for i := 1; i < len(f.views); i++ {
		address := f.views[i].Self.PeerAddress
		assert.Assert(t, sentTo[address] >= 2, "%d beacons were sent to %s", sentTo[address], address)
	}
}

// Guards against false losses when a host begins to serve. A burst made a second
// host of a data centre serve; it considered every host silent that had had no
// reason to send it beacons, and announced those losses to all others.
func TestAHostThatBeginsToServeLosesNoLiveHost(t *testing.T) {
	f := newFleet(70)
	f.advance(20 * time.Second)
	f.lostCount = 0
	f.perform(f.views[1], f.views[1].Step(f.now, directory.CallsCounted{Calls: 90}))
	f.advance(30 * time.Second)
	assert.Equal(t, f.agreedAnswer("dc1"), "[h1:1 h4:1]")
	assert.Equal(t, f.lostCount, 0)
}

// Guards against false losses when hosts disagree on the serving hosts. A host that
// alone had heard of a short rise in calls counted itself as serving. The others
// sent it few beacons, so it considered them lost and announced that to all hosts.
func TestHostsAgreeOnHowManyServe(t *testing.T) {
	f := newFleet(12)
	f.advance(3 * time.Second)
	f.perform(f.views[1], f.views[1].Step(f.now, directory.CallsCounted{Calls: 50}))
	f.advance(3 * time.Second)
	busy := with(f.views[1].Self, func(beacon *schema.Beacon) { beacon.Calls, beacon.Sequence = 70, f.seq+1 })
	f.perform(f.views[4], f.views[4].Step(f.now, directory.BeaconReceived{Beacon: busy}))
	f.lostCount = 0
	f.advance(20 * time.Second)
	assert.Assert(t, f.agreedAnswer("dc1") != "", "hosts give different answers")
	assert.Equal(t, f.lostCount, 0)
}
