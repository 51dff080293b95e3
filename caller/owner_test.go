package caller_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

// entryHosts returns count hosts distributed over three data centres.
func entryHosts(count int) []schema.Host {
	hosts := make([]schema.Host, 0, count)
	for i := range count {
		hosts = append(hosts, schema.Host{Name: fmt.Sprintf("host-%d", i), DataCentre: fmt.Sprintf("centre-%d", i%3)})
	}

	return hosts
}

func TestRankKeepsOwnersOfRemainingHosts(t *testing.T) {
	tests := map[string]struct {
		hosts  int
		leaves int
	}{
		"the first of fourteen leaves": {hosts: 14, leaves: 0},
		"the last of fourteen leaves":  {hosts: 14, leaves: 13},
		"one of three leaves":          {hosts: 3, leaves: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			all := entryHosts(test.hosts)
			remaining := append(append([]schema.Host{}, all[:test.leaves]...), all[test.leaves+1:]...)
			before, after := caller.NewRanker(all), caller.NewRanker(remaining)
			for i := range 300 {
				cell := caller.Cell{Service: fmt.Sprintf("service-%d", i), DataCentre: fmt.Sprintf("centre-%d", i%3)}
				first, second := before.Rank(cell, 2)[0], before.Rank(cell, 2)[1]
				if first.Name == all[test.leaves].Name {
					first = second
				}
				assert.Equal(t, after.Rank(cell, 1)[0].Name, first.Name)
			}
		})
	}
}

func TestRankPrefersTheCellsDataCentre(t *testing.T) {
	tests := map[string]struct {
		dataCentre string
		local      int
	}{
		"a data centre with hosts":    {dataCentre: "centre-1", local: 2},
		"a data centre without hosts": {dataCentre: "centre-9", local: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ranked := caller.NewRanker(entryHosts(6)).Rank(caller.Cell{Service: "catalogue", DataCentre: test.dataCentre}, 6)
			assert.Equal(t, len(ranked), 6)
			for i, host := range ranked {
				assert.Equal(t, host.DataCentre == test.dataCentre, i < test.local)
			}
		})
	}
}
