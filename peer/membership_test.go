package peer_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/schema"
)

// interval is the default time between exchanges.
const interval = 250 * time.Millisecond

// start is the time at which the tests begin.
var start = time.UnixMilli(1_800_000_000_000)

// testHost returns the record of a live host.
func testHost(i, incarnation int) schema.Host {
	return schema.Host{
		Name:            fmt.Sprintf("mu-centre-%04d", i),
		DataCentre:      "mu-centre",
		Incarnation:     fmt.Sprintf("01M90CM7XBF6ZJQ2RQVF2%05d", incarnation),
		CallerAddress:   fmt.Sprintf("192.0.2.%d:8080", i%256),
		PeerAddress:     fmt.Sprintf("192.0.2.%d:%d", i%256, 10000+i),
		OperatorAddress: fmt.Sprintf("192.0.2.%d:8082", i%256),
		State:           schema.HostStateLive,
		Heartbeat:       1,
	}
}

// membershipWith returns the membership of a live host that knows the given
// number of other hosts.
func membershipWith(others int) *peer.Membership {
	m := peer.NewMembership(start, testHost(0, 1), interval, 1)
	m.Step(start, peer.ConfigurationInForce{Version: 1})
	for i := range others {
		m.Step(start, peer.DigestReceived{Digest: schema.Digest{Sender: testHost(i+1, 1), ConfigurationVersion: 1}})
	}

	return m
}

// liveNames returns the names of the live hosts.
func liveNames(m *peer.Membership) []string {
	list := make([]string, 0, len(m.Live()))
	for _, host := range m.Live() {
		list = append(list, host.Name)
	}

	return list
}

// hostHash returns the hash that identifies a host in heartbeats.
func hostHash(host schema.Host) int {
	return int(xxhash.Sum64String(host.Name+"\x00"+host.Incarnation) & math.MaxUint32)
}

// TestDigestBytes guards against digest traffic that grows with the number of
// hosts.
func TestDigestBytes(t *testing.T) {
	const (
		seconds = 60
		bound   = 3000
		// frame is the number of bytes that net/rpc adds to a message: method,
		// sequence number and error.
		frame = 24
	)
	tests := map[string]struct{ hosts int }{
		"14 hosts":   {hosts: 14},
		"200 hosts":  {hosts: 200},
		"1000 hosts": {hosts: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := membershipWith(test.hosts - 1)
			_ = m.Digest() // the larger digest for hosts heard for the first time
			sent, now := 0, start
			for tick := range seconds * int(time.Second/interval) {
				now = now.Add(interval)
				beats := make([]schema.Heartbeat, 0, test.hosts-1)
				for i := range test.hosts - 1 {
					beats = append(beats, schema.Heartbeat{HostHash: hostHash(testHost(i+1, 1)), Counter: 1_000_000 + tick})
				}
				m.Step(now, peer.DigestReceived{Digest: schema.Digest{Sender: testHost(1, 1), Heartbeats: beats}})
				for _, digest := range []schema.Digest{m.Digest(), m.Answer(now)} {
					raw, err := digest.MarshalMsg(nil)
					assert.NilError(t, err)
					sent += len(raw) + frame
				}
			}
			t.Logf("%s: %d B/s sent", name, sent/seconds)
			assert.Assert(t, sent/seconds < bound)
		})
	}
}

// hear steps the membership with a digest from another host.
func hear(m *peer.Membership, now time.Time, i, incarnation, counter int, change func(h *schema.Host)) {
	host := testHost(i, incarnation)
	host.Heartbeat = counter
	if change != nil {
		change(&host)
	}
	m.Step(now, peer.DigestReceived{Digest: schema.Digest{Sender: host, ConfigurationVersion: 1}})
}

func TestLiveHosts(t *testing.T) {
	leaving := func(h *schema.Host) { h.State = schema.HostStateLeaving }
	list := func(state schema.HostState) peer.Event {
		return peer.ListRead{List: schema.HostList{Hosts: []schema.ListedHost{
			{Name: "mu-centre-0001", PeerAddress: testHost(1, 1).PeerAddress, State: state},
		}}}
	}
	tests := map[string]struct {
		run  func(m *peer.Membership)
		want []string
	}{
		"peer heard": {
			run:  func(*peer.Membership) {},
			want: []string{"mu-centre-0000", "mu-centre-0001"},
		},
		"peer silent for the takeover timeout": {
			run: func(m *peer.Membership) {
				for now := start; now.Sub(start) < peer.TakeoverAfter; m.Step(now, peer.Ticked{}) {
					now = now.Add(interval)
				}
			},
			want: []string{"mu-centre-0000"},
		},
		"peer leaving": {
			run:  func(m *peer.Membership) { hear(m, start, 1, 1, 2, leaving) },
			want: []string{"mu-centre-0000"},
		},
		"peer leaving, then a delayed earlier digest": {
			run:  func(m *peer.Membership) { hear(m, start, 1, 1, 3, leaving); hear(m, start, 1, 1, 2, nil) },
			want: []string{"mu-centre-0000"},
		},
		"peer leaving according to the list only": {
			run:  func(m *peer.Membership) { m.Step(start, list(schema.HostStateLeaving)) },
			want: []string{"mu-centre-0000"},
		},
		"peer replaced while the list lags": {
			run:  func(m *peer.Membership) { m.Step(start, list(schema.HostStateLeaving)); hear(m, start, 1, 2, 1, nil) },
			want: []string{"mu-centre-0000", "mu-centre-0001"},
		},
		"peer replaced, then a delayed digest of the previous process": {
			run:  func(m *peer.Membership) { hear(m, start, 1, 2, 1, nil); hear(m, start, 1, 1, 99, leaving) },
			want: []string{"mu-centre-0000", "mu-centre-0001"},
		},
		"peer declared dead by another host": {
			run: func(m *peer.Membership) {
				dead := testHost(1, 1)
				dead.State = schema.HostStateDead
				m.Step(start, peer.DigestReceived{Digest: schema.Digest{Sender: testHost(2, 1), Hosts: []schema.Host{dead}}})
			},
			want: []string{"mu-centre-0000", "mu-centre-0002"},
		},
		"peer declared dead at an older heartbeat": {
			run: func(m *peer.Membership) {
				hear(m, start, 1, 1, 2, nil)
				dead := testHost(1, 1)
				dead.State = schema.HostStateDead
				m.Step(start, peer.DigestReceived{Digest: schema.Digest{Sender: testHost(2, 1), Hosts: []schema.Host{dead}}})
			},
			want: []string{"mu-centre-0000", "mu-centre-0001", "mu-centre-0002"},
		},
		"this host leaving": {
			run:  func(m *peer.Membership) { m.Step(start, peer.LeaveStarted{}) },
			want: []string{"mu-centre-0001"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := membershipWith(1)
			test.run(m)
			assert.DeepEqual(t, liveNames(m), test.want)
		})
	}
}

// TestFrozenHostIsIsolatedBeforeTakeover guards against a host that resumes
// after a freeze and places calls in cells that others have taken over. The
// host must stay isolated until an exchange begun after the freeze is answered
// and its configuration is current.
func TestFrozenHostIsIsolatedBeforeTakeover(t *testing.T) {
	assert.Assert(t, peer.FreezeThreshold < peer.TakeoverAfter)
	answered := func(now time.Time, version int) peer.Event {
		sender := testHost(1, 1)
		sender.Heartbeat = 1_000

		return peer.DigestReceived{Asked: now, Digest: schema.Digest{Sender: sender, ConfigurationVersion: version}}
	}
	tests := map[string]struct {
		freeze   time.Duration
		first    peer.Event
		then     func(resumed time.Time) peer.Event
		isolated bool
	}{
		"freeze at the threshold":       {freeze: peer.FreezeThreshold, first: peer.Ticked{}},
		"freeze above the threshold":    {freeze: peer.FreezeThreshold + 1, first: peer.Ticked{}, isolated: true},
		"message before the first tick": {freeze: time.Minute, first: peer.DigestReceived{Digest: schema.Digest{Sender: testHost(1, 1)}}, isolated: true},
		"response to a request before the freeze": {
			freeze: time.Minute, first: peer.Ticked{}, isolated: true,
			then: func(time.Time) peer.Event { return answered(start, 1) },
		},
		"response to a request after the freeze": {
			freeze: time.Minute, first: peer.Ticked{},
			then: func(resumed time.Time) peer.Event { return answered(resumed.Add(time.Millisecond), 1) },
		},
		"response with a newer configuration": {
			freeze: time.Minute, first: peer.Ticked{}, isolated: true,
			then: func(resumed time.Time) peer.Event { return answered(resumed.Add(time.Millisecond), 2) },
		},
		"platform response after the freeze": {
			freeze: time.Minute, first: peer.Ticked{},
			then: func(resumed time.Time) peer.Event { return peer.ListRead{Asked: resumed.Add(time.Millisecond)} },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := membershipWith(3)
			m.Step(start, peer.Ticked{})
			resumed := start.Add(test.freeze)
			m.Step(resumed, test.first)
			if test.then != nil {
				m.Step(resumed.Add(2*time.Millisecond), test.then(resumed))
			}
			assert.Equal(t, m.Isolated, test.isolated)
			assert.Equal(t, m.Self.State == schema.HostStateLive, !test.isolated)
		})
	}
}

func TestIsolation(t *testing.T) {
	const others = 4
	tests := map[string]struct {
		heard    int
		platform bool
		isolated bool
	}{
		"all peers heard":                  {heard: 4},
		"half of the peers heard":          {heard: 2},
		"fewer than half heard":            {heard: 1, isolated: true},
		"neither peers nor platform":       {isolated: true},
		"platform only":                    {platform: true},
		"fewer than half and the platform": {heard: 1, platform: true},
		"half and the platform":            {heard: 2, platform: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, now := membershipWith(others), start
			for tick := 1; now.Sub(start) < 2*peer.IsolatedAfter; tick++ {
				now = now.Add(interval)
				m.Step(now, peer.Ticked{})
				for i := range test.heard {
					hear(m, now, i+1, 1, 1+tick, nil)
				}
				if test.platform {
					m.Step(now, peer.ListRead{Asked: now})
				}
			}
			assert.Equal(t, m.Isolated, test.isolated)
		})
	}
}

func TestOneFetchAtATime(t *testing.T) {
	m := membershipWith(3)
	fetches := 0
	for i := range 3 {
		for _, action := range m.Step(start, peer.DigestReceived{Digest: schema.Digest{Sender: testHost(i+1, 1), ConfigurationVersion: 2}}) {
			if _, ok := action.(peer.FetchConfiguration); ok {
				fetches++
			}
		}
	}
	assert.Equal(t, fetches, 1)
}

// TestReplacedProcessIsIsolated guards against a process that goes on placing
// calls after a later process of the same name has started.
func TestReplacedProcessIsIsolated(t *testing.T) {
	before, other := membershipWith(1), peer.NewMembership(start, testHost(1, 1), interval, 1)
	after := peer.NewMembership(start, testHost(0, 2), interval, 1)
	now := start.Add(interval)
	other.Step(now, peer.DigestReceived{Digest: after.Digest()})
	other.Step(now, peer.DigestReceived{Digest: before.Digest()})
	assert.Assert(t, !before.Isolated)
	before.Step(now, peer.DigestReceived{Digest: other.Answer(now), Asked: now})
	assert.Assert(t, before.Isolated)
	assert.Assert(t, !other.Isolated)
}

// countExchanges returns the number of actions that start an exchange with the
// host.
func countExchanges(actions []peer.Action, host schema.Host) int {
	count := 0
	for _, action := range actions {
		if exchange, ok := action.(peer.Exchange); ok && exchange.Address == host.PeerAddress {
			count++
		}
	}

	return count
}

func TestSuspicion(t *testing.T) {
	const soon = peer.TakeoverAfter / 4
	suspected := testHost(1, 1)
	tests := map[string]struct {
		failures []time.Duration
		heard    time.Duration
		dead     bool
	}{
		"one failure":                {failures: []time.Duration{soon}},
		"second failure too early":   {failures: []time.Duration{soon, 2 * soon}},
		"second failure later":       {failures: []time.Duration{soon, soon + peer.TakeoverAfter}, dead: true},
		"heard between two failures": {failures: []time.Duration{soon, soon + peer.TakeoverAfter}, heard: 2 * soon},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m, asked := membershipWith(60), 0
			for after := time.Duration(0); after <= 2*peer.TakeoverAfter; after += soon {
				asked += countExchanges(m.Step(start.Add(after), peer.Ticked{}), suspected)
				if test.heard > 0 && after == test.heard {
					hear(m, start.Add(after), 1, 1, 2, nil)
				}
				if slices.Contains(test.failures, after) {
					m.Step(start.Add(after), peer.ExchangeFailed{Address: suspected.PeerAddress})
				}
			}
			assert.Equal(t, !slices.Contains(liveNames(m), suspected.Name), test.dead)
			assert.Assert(t, test.heard > 0 || asked > 0, "suspected host was not retried")
		})
	}
}
