package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Guards against placers that do not pass share reports to each other, do not know which
// hosts serve, or go on with loans after a freeze.
func TestPlacersLendShares(t *testing.T) {
	newSharer := func(name string) *placement.Placer {
		declared := withTenants(declaration(schema.Route{Idempotent: true}, registration("a")))
		declared.Declaration.Tenants[0].RatePerSecond, declared.Declaration.Tenants[0].Burst = 100, 50
		placer := placement.New(placement.Options{
			QuotaLoans: true,
			Host:       name, DataCentre: "north", Budget: retryBudget, ProbeInterval: 100 * time.Millisecond,
			Tolerance: allotment.Tolerance{Window: 5 * time.Second, Over: 0.1, Slack: 20},
		})
		placer.Step(begin, placement.PeersChanged{Peers: placement.Peers{
			Hosts: 2, Sharers: 2, Serving: []placement.Peer{{Name: "one", DataCentre: "north"}, {Name: "two", DataCentre: "north"}},
		}})
		placer.Step(begin, placement.DeclaredChanged{Declared: declared})
		placer.Step(begin, currentUntil(begin, begin.Add(time.Hour)))

		return placer
	}
	one, two := newSharer("one"), newSharer("two")
	now, call := begin, 0
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		for range 9 {
			call++
			callWith(one, now, placement.CallID(call), "/x/1", "a1")
		}
		one.Step(now, placement.Ticked{})
		two.Step(now, placement.Ticked{})
		two.Step(now, placement.LoadsReceived{Host: "one", Shares: one.ShareReport(now)})
		one.Step(now, placement.LoadsReceived{Host: "two", Shares: two.ShareReport(now)})
	}
	borrowed := one.Shares(now)
	assert.Equal(t, len(borrowed), 1)
	assert.Assert(t, borrowed[0].Borrowed > 400, "%+v", borrowed)
	assert.Equal(t, two.Shares(now)[0].Lent, borrowed[0].Borrowed)
	now = now.Add(time.Second)
	one.Step(now, placement.Ticked{})
	assert.Equal(t, len(one.Shares(now)), 0)
}
