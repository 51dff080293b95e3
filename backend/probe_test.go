package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
)

func TestProbesStayWithinHeldShares(t *testing.T) {
	tests := map[string]struct {
		rateMilli int
		shares    int
		run       func(d *driver)
		want      int
	}{
		"own share":                           {rateMilli: 1000, shares: 1, want: 10},
		"own share and three borrowed ones":   {rateMilli: 1000, shares: 4, want: 40},
		"shares are capped at the host count": {rateMilli: 1000, shares: 99, want: 100},
		"no share":                            {rateMilli: 1000, shares: 0, want: 0},
		"no budget":                           {rateMilli: 0, shares: 10, want: 0},
		"a server with recent answers is not probed": {
			rateMilli: 1000, shares: 10, want: 0,
			run: func(d *driver) { d.serve(1, quick) },
		},
		"no second probe while one is in flight": {
			rateMilli: 1000, shares: 10, want: 1,
			run: func(d *driver) { d.probes = d.probes[:min(len(d.probes), 0)] },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16, Hosts: 10})
			d.step(backend.CellsChanged{Cells: map[caller.Cell][]backend.Declared{
				cell: {{Address: "a", Slots: 4, ProbeRateMilli: test.rateMilli}},
			}})
			d.step(backend.SharesChanged{Held: test.shares})
			started := 0
			for range 1000 {
				d.tick(100 * time.Millisecond)
				started += len(d.probes)
				if test.run != nil {
					test.run(d)

					continue
				}
				for _, probe := range d.probes {
					d.step(backend.ProbeEnded{Address: probe.Address, Healthy: true})
				}
				d.probes = nil
			}
			assert.Assert(t, started == test.want || started == test.want-1, "%d probes, want %d", started, test.want)
		})
	}
}

func TestProbeResultsLowerLimitWithinBounds(t *testing.T) {
	tests := map[string]struct {
		healthy bool
		probes  int
		want    int
		ejected bool
	}{
		"successful probes change nothing":          {healthy: true, probes: 100, want: 4},
		"a failed probe halves the limit":           {probes: 1, want: 2},
		"consecutive failed probes eject a server":  {probes: 3, want: 1, ejected: true},
		"failed probes never eject the last server": {probes: 100, want: 1, ejected: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, backend.Options{QueueLength: 16})
			d.declare(4, "a", "b")
			d.fill(40)
			for range test.probes {
				d.step(backend.ProbeEnded{Address: "a", Healthy: test.healthy})
				d.step(backend.ProbeEnded{Address: "b", Healthy: test.healthy})
			}
			assert.Equal(t, d.server("a").Limit(), test.want)
			assert.Equal(t, d.server("a").Ejected(d.now), test.ejected)
			assert.Assert(t, !d.server("b").Ejected(d.now))
		})
	}
}
