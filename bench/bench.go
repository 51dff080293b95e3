// Package bench compares placement policies in simulated time. It runs the
// decisions of package backend against simulated backend servers of varying
// speed, with the same seeds for every policy. Its Fleet does the same for
// package placement, with faults of hosts. Both call the decisions directly,
// without network or processes. Change this package to compare other policies
// or loads.
package bench

import (
	"cmp"
	"context"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Run compares the policies and prints a table. It also writes the JSON report
// and the plot if the settings name files for them.
func Run(_ context.Context, settings schema.PoliciesSettings) error {
	report := Compare(settings)
	if err := Print(os.Stdout, report); err != nil {
		return eris.Wrap(err, "printing the table")
	}
	if settings.Report != "" {
		if err := write(settings.Report, report); err != nil {
			return eris.Wrapf(err, "writing %s", settings.Report)
		}
	}
	if settings.Plot != "" {
		return eris.Wrapf(plotLatency(settings.Plot, report), "drawing %s", settings.Plot)
	}

	return nil
}

// Compare runs every policy of every scenario at every load with every seed.
func Compare(settings schema.PoliciesSettings) schema.PolicyReport {
	report := schema.PolicyReport{Capacity: capacity(settings)}
	runs := pool.NewWithResults[schema.PolicyRun]().WithMaxGoroutines(settings.Workers)
	for _, scenario := range Scenarios {
		for _, load := range scenario.Loads {
			for _, variant := range scenario.Variants {
				for seed := range settings.Seeds {
					runs.Go(func() schema.PolicyRun {
						return measure(settings, scenario, variant, report.Capacity, load, seed+1)
					})
				}
			}
		}
	}
	report.Runs = runs.Wait()
	slices.SortFunc(report.Runs, func(a, b schema.PolicyRun) int {
		return cmp.Or(
			cmp.Compare(scenarioIndex(a), scenarioIndex(b)), cmp.Compare(a.LoadPercent, b.LoadPercent),
			cmp.Compare(a.Policy, b.Policy), cmp.Compare(a.Seed, b.Seed),
		)
	})
	product := Summarise(report, nameShifting, nameProduct, ratioLoadPercent)
	base := Summarise(report, nameShifting, nameBaseline, ratioLoadPercent)
	report.P99Ratio = product.P99.Mean / base.P99.Mean
	report.P999Ratio = product.P999.Mean / base.P999.Mean

	return report
}

// measure runs a policy at a load in percent of the capacity in calls a second.
func measure(settings schema.PoliciesSettings, scenario Scenario, variant Variant, capacity, load, seed int) schema.PolicyRun {
	rate := float64(capacity) * float64(load) / 100
	run := simulate(settings, scenario, variant, rate, uint64(seed)) //nolint:gosec // a small number
	run.LoadPercent = load

	return run
}

// scenarioIndex returns the position of a run's scenario in the report.
func scenarioIndex(run schema.PolicyRun) int {
	return slices.IndexFunc(Scenarios, func(scenario Scenario) bool { return scenario.Name == run.Scenario })
}

// capacity measures the calls a second that the backend servers answer with
// every slot always busy, as the mean over the seeds.
func capacity(settings schema.PoliciesSettings) int {
	saturating := float64(settings.BackendServers*settings.Slots) / settings.ServiceTime.Seconds()
	saturated := independent("capacity", backend.RoundRobin{})
	saturated.Owner = true
	total := 0.0
	for seed := range settings.Seeds {
		run := simulate(settings, Scenario{}, saturated, saturating, uint64(seed)+1)
		total += float64(run.Answered) / settings.Duration.Seconds()
	}

	return int(total) / settings.Seeds
}
