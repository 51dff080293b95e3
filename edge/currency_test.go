package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/schema"
)

// current reports whether the calls duty of a host takes its declaration for the newest
// one.
func (s *simulation) current(host *simulatedHost) bool {
	told := host.duty.currency

	return told.Current && !s.now.After(told.Until)
}

// withTenants adds a tenant to the declaration in the store.
func (s *simulation) withTenants() {
	s.declaration.Tenants = []schema.Tenant{{Name: "acme", KeyDigests: []string{"digest"}}}
}

// startWithTenants returns hosts that have run for a while with a declaration that has
// tenants.
func startWithTenants(hosts, dataCentres int) *simulation {
	s := newSimulation(hosts, dataCentres, 1)
	s.withTenants()
	for _, host := range s.hosts {
		host.duty.propagation = simulatedBound
	}
	s.run(6 * time.Second)

	return s
}

// Guards against hosts that cannot tell whether a key is valid although the store or a
// peer confirms their declaration, and against hosts that claim to know without that.
func TestCurrencyFollowsTheConfirmations(t *testing.T) {
	// settled is the time within which a host notices that it is cut off.
	const settled = simulatedBound + simulatedStep
	cut := func(kind simulatedCut, affected func(int) bool) func(*simulation) {
		return func(s *simulation) {
			for i, host := range s.hosts {
				if affected(i) {
					host.cut = kind
				}
			}
		}
	}
	all := func(int) bool { return true }
	first := func(i int) bool { return i == 0 }
	none := func(int) bool { return false }
	tests := map[string]struct {
		change func(*simulation)
		// outdated are the hosts that cannot judge keys from then on; the others can.
		outdated func(int) bool
	}{
		"normal operation":                             {change: func(*simulation) {}, outdated: none},
		"the store answers nobody":                     {change: cut(cutSilent, all), outdated: all},
		"the store rejects everybody":                  {change: cut(cutRejected, all), outdated: all},
		"a host that lost the store reaches peers":     {change: cut(cutSilent, first), outdated: none},
		"a host that lost the store and all its peers": {change: cut(cutAll, first), outdated: first},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startWithTenants(8, 2)
			test.change(s)
			s.run(settled)
			s.run(3 * time.Second) // in which other hosts take over the reads
			judging := map[bool]int{}
			for range 200 {
				s.run(2 * simulatedStep)
				for i, host := range s.hosts {
					if host.duty.serving {
						judging[s.current(host)]++
						assert.Equal(t, s.current(host), !test.outdated(i), "host %d, confirmed %v ago", i, s.now.Sub(host.duty.replica.OrdersConfirmedAt()))
					}
				}
			}
			assert.Equal(t, judging[false] > 0, test.outdated(0), "hosts seen to be outdated: %v", judging)
		})
	}
}

// Guards against a host that judges keys by a declaration although another host has
// announced a newer one.
func TestAnnouncedOrdersMakeAHostOutdated(t *testing.T) {
	s := startWithTenants(4, 1)
	behind := s.hosts[3]
	behind.cut = cutRejected
	s.fetchLoss = 1
	s.run(time.Second)
	s.declare()
	s.withTenants()
	s.run(simulatedBound)
	assert.Assert(t, behind.duty.replica.Declared.Declaration.Version < s.declaration.Version, "the host is not behind")
	assert.Assert(t, !behind.duty.currency.Current)
	assert.Assert(t, s.current(s.hosts[0]))

	s.fetchLoss = 0
	s.run(3 * time.Second)
	assert.Equal(t, behind.duty.replica.Declared.Declaration.Version, s.declaration.Version)
	assert.Assert(t, s.current(behind))
}

// Guards against hosts that cannot tell whether a route exists because their declaration
// has no tenants, and against reports before there is a declaration.
func TestHostsWithoutTenantsReportTheirCurrency(t *testing.T) {
	s := newSimulation(3, 1, 1)
	for _, host := range s.hosts {
		host.duty.propagation = simulatedBound
		assert.Assert(t, host.duty.currency.ConfirmedAt.IsZero())
	}
	s.run(6 * time.Second)
	for _, host := range s.hosts {
		assert.Assert(t, host.duty.replica.HasState())
		assert.Assert(t, s.current(host))
	}
	s.hosts[0].cut = cutAll
	s.run(2 * simulatedBound)
	assert.Assert(t, !s.current(s.hosts[0]))
	assert.Assert(t, s.current(s.hosts[1]))
}

// Guards against an announcement of newer orders that is forgotten with the host that made
// it.
func TestOrdersOfALostHostStayAnnounced(t *testing.T) {
	s := startWithTenants(4, 1)
	host := s.hosts[2]
	host.cut = cutRejected
	announced := schema.Beacon{
		Name: "gone", StartedMs: 1, DataCentre: "dc0", CallerAddress: "10.9.9.9:1", PeerAddress: "10.9.9.9:1",
		DeclaredHash: 1, OrdersAt: storeVersion(s.version + 50), RegistrationsAt: storeVersion(1), Sequence: 1,
	}
	s.deliver(host, 0, BeaconArrived{Beacon: announced})
	s.run(4 * time.Second)
	assert.Assert(t, !host.duty.currency.Current)
	assert.Assert(t, s.current(s.hosts[0]))
}
