package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/baobabdrum/baobabdrum/bench"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// retryBudget is the retry budget in the replays.
var retryBudget = placement.Budget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

// baseFleet returns a fleet at half of its capacity, whose backend servers are
// slowed down by their neighbours a quarter of the time.
func baseFleet(seed uint64) *bench.Fleet {
	return &bench.Fleet{
		Seed: seed, DataCentres: 3, Servers: 18, Slots: 4, Queue: 16, Work: 160 * time.Millisecond, WorkDeviation: 0.3,
		SlowShare: 0.25, SlowFactor: 7, ShiftEvery: 500 * time.Millisecond, Rate: 90, Duration: 15 * time.Second,
		Route:   schema.Route{Idempotent: true, TimeoutMs: 1000, TargetMs: 400, MaxAttempts: 2},
		Options: placement.Options{Budget: retryBudget, ProbeInterval: 50 * time.Millisecond}, ColdPerSecond: 7,
	}
}

// meanInTimeShare returns the share of calls that are answered in time, averaged
// over several seeds.
func meanInTimeShare(change func(fleet *bench.Fleet)) float64 {
	const seeds = 3
	total := 0.0
	for seed := range uint64(seeds) {
		fleet := baseFleet(seed + 1)
		change(fleet)
		total += fleet.Run().InTimeShare()
	}

	return total / seeds
}

func TestReplays(t *testing.T) {
	tests := map[string]struct {
		// load sets up the conditions under which the decision matters.
		load func(fleet *bench.Fleet)
		// without disables the decision, or is nil.
		without func(fleet *bench.Fleet)
		// least is the required share of calls in time.
		least float64
		// gain is the required improvement over the run without the decision.
		gain float64
	}{
		"load reports keep calls off machines that are slow now": {
			load:    func(*bench.Fleet) {},
			without: func(fleet *bench.Fleet) { fleet.WithoutLoadReports, fleet.Route.MaxAttempts = true, 1 },
			least:   0.95, gain: 0.01,
		},
		"paces estimated from durations replace missing load reports": {
			load:  func(fleet *bench.Fleet) { fleet.WithoutLoadReports, fleet.ShiftEvery = true, 3*time.Second },
			least: 0.9,
		},
		"second sends rescue calls whose machine turned slow": {
			load:    func(fleet *bench.Fleet) { fleet.ShiftEvery = 250 * time.Millisecond },
			without: func(fleet *bench.Fleet) { fleet.Route.MaxAttempts = 1 },
			least:   0.95, gain: 0.01,
		},
		"fresh probes place calls better than rare ones": {
			load:    func(fleet *bench.Fleet) { fleet.Route.Idempotent = false },
			without: func(fleet *bench.Fleet) { fleet.Options.ProbeInterval = 2 * time.Second },
			least:   0.9, gain: 0.01,
		},
		"backend servers that get less done when full are not filled": {
			load:  func(fleet *bench.Fleet) { fleet.ContentionFactor, fleet.SlowShare, fleet.Rate = 1.7, 0, 280 },
			least: 0.8,
		},
		"a burst beyond capacity is served up to capacity": {
			load:  func(fleet *bench.Fleet) { fleet.Burst = 5 },
			least: 0.5,
		},
		"backend servers that refuse half of all calls are avoided": {
			load:  func(fleet *bench.Fleet) { fleet.RefusedShare = 0.55 },
			least: 0.85,
		},
		"backend servers that fall silent are left out": {
			load:    func(fleet *bench.Fleet) { fleet.Unresponsive, fleet.Route.Idempotent = true, false },
			without: func(fleet *bench.Fleet) { fleet.Options.ProbeInterval = 2 * time.Second },
			least:   0.9, gain: 0.02,
		},
		"calls that may run twice are retried after a lost answer": {
			load:    func(fleet *bench.Fleet) { fleet.LostAnswerShare = 0.1 },
			without: func(fleet *bench.Fleet) { fleet.Route.MaxAttempts = 1 },
			least:   0.93, gain: 0.02,
		},
		"backend servers that reset when full are not filled": {
			load:  func(fleet *bench.Fleet) { fleet.Queue, fleet.ResetWhenFull, fleet.Rate = 2, true, 150 },
			least: 0.9,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			with := meanInTimeShare(test.load)
			assert.Assert(t, with >= test.least, "share in time %.3f", with)
			if test.without == nil {
				return
			}
			without := meanInTimeShare(func(fleet *bench.Fleet) {
				test.load(fleet)
				test.without(fleet)
			})
			assert.Assert(t, with-without >= test.gain, "share in time %.3f with and %.3f without", with, without)
		})
	}
}

func TestRefusalsAreSoonTrueAndSpread(t *testing.T) {
	fleet := baseFleet(1)
	fleet.Burst, fleet.Route.Idempotent = 6, false
	result := fleet.Run()
	assert.Assert(t, result.NotRun > 50, "only %d refusals", result.NotRun)
	assert.Equal(t, result.FalseRefusals, 0)
	assert.Assert(t, result.LongestRefusalWait <= maxRefusalWait, "a refusal took %s", result.LongestRefusalWait)
	assert.Assert(t, result.Late < result.InTime/5, "%d late answers take slots from %d in time", result.Late, result.InTime)
	distinct := map[time.Duration]bool{}
	for _, after := range result.RetryAfters {
		distinct[after.Truncate(10*time.Millisecond)] = true
	}
	assert.Assert(t, len(distinct) > 10, "refused callers retry at only %d different times", len(distinct))
}

// maxRefusalWait is the time after which a call of the replays that has not been
// sent can no longer be answered in time: the latency objective minus the work,
// plus two ticks.
const maxRefusalWait = (400-160)*time.Millisecond + 20*time.Millisecond

// drawFaults draws faults of the hosts of a fleet, which may overlap.
func drawFaults(t *rapid.T, fleet *bench.Fleet) []bench.FleetFault {
	host := rapid.IntRange(0, fleet.DataCentres-1)
	at := rapid.IntRange(0, int(fleet.Duration.Milliseconds()))
	lasts := rapid.IntRange(1, 2500)
	draw := rapid.Custom(func(t *rapid.T) bench.FleetFault {
		from := time.Duration(at.Draw(t, "at")) * time.Millisecond
		span := time.Duration(lasts.Draw(t, "for")) * time.Millisecond
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			return bench.HostCrash{Host: host.Draw(t, "host"), At: from, For: span}
		case 1:
			return bench.HostFreeze{Host: host.Draw(t, "host"), At: from, For: span}
		default:
			return bench.DataCentrePartition{One: host.Draw(t, "one"), Other: host.Draw(t, "other"), At: from, For: span}
		}
	})

	return rapid.SliceOfN(draw, 0, 6).Draw(t, "faults")
}

// Backend servers may turn cold while hosts are frozen. Hosts that resume and
// still count them as warm would overload them.
func TestFrozenHostsSpareColdBackendServers(t *testing.T) {
	for seed := range uint64(10) {
		fleet := baseFleet(seed + 1)
		fleet.DataCentres, fleet.Duration, fleet.Rate = 5, 6*time.Second, 400
		fleet.ColdAt, fleet.ColdFor = time.Second, 3*time.Second
		for host := range 4 {
			fleet.Faults = append(fleet.Faults, bench.HostFreeze{Host: host, At: 500 * time.Millisecond, For: 1300 * time.Millisecond})
		}
		assert.Equal(t, fleet.Run().FellOver, 0, "seed %d", seed+1)
	}
}

// A restarted host that starts with a full share of the slack would add it to
// what its predecessor used in the same window, and exceed the budget.
func TestHostsReplacedInSeriesKeepTheRetryBudget(t *testing.T) {
	fleet := baseFleet(1)
	fleet.LostAnswerShare, fleet.Duration = 0.6, 30*time.Second
	for from := time.Second; from < fleet.Duration; from += 700 * time.Millisecond {
		for host := range fleet.DataCentres {
			at := from + time.Duration(host)*200*time.Millisecond
			fleet.Faults = append(fleet.Faults, bench.HostCrash{Host: host, At: at, For: 50 * time.Millisecond})
		}
	}
	result := fleet.Run()
	assert.Assert(t, result.Repeats > 10, "only %d retries and hedges", result.Repeats)
	assert.Assert(t, result.MaxExcessRepeats <= 0, "%.1f retries and hedges beyond the budget", result.MaxExcessRepeats)
}

func TestBoundsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := baseFleet(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		fleet.DataCentres = rapid.IntRange(1, 5).Draw(t, "data centres")
		fleet.Servers = rapid.IntRange(fleet.DataCentres, 24).Draw(t, "servers")
		fleet.Duration = 6 * time.Second
		fleet.Rate = rapid.Float64Range(10, 300).Draw(t, "rate")
		fleet.Route.Idempotent = rapid.Bool().Draw(t, "idempotent")
		fleet.LostAnswerShare = rapid.Float64Range(0, 0.4).Draw(t, "lost answer share")
		fleet.RefusedShare = rapid.Float64Range(0, 0.6).Draw(t, "refused share")
		fleet.LoadMessageLoss = rapid.Float64Range(0, 1).Draw(t, "load message loss")
		fleet.Burst = rapid.Float64Range(0, 4).Draw(t, "burst")
		fleet.ColdAt, fleet.ColdFor = time.Second, 3*time.Second
		fleet.ResetWhenFull = rapid.Bool().Draw(t, "reset when full")
		fleet.Queue = rapid.IntRange(0, 16).Draw(t, "queue")
		fleet.Faults = drawFaults(t, fleet)
		result := fleet.Run()
		if result.MaxExcessRepeats > 0 {
			t.Fatalf("%.1f retries and hedges beyond the budget", result.MaxExcessRepeats)
		}
		if result.RanTwice+result.FalseRefusals+result.OverAttempts > 0 {
			t.Fatalf("%d calls ran twice, %d were refused although run, %d had too many attempts", result.RanTwice, result.FalseRefusals, result.OverAttempts)
		}
		if result.FellOver > 0 {
			t.Fatalf("%d cold backend servers were overloaded", result.FellOver)
		}
	})
}
