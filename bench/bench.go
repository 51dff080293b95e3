// Package bench compares placement policies: it runs the decisions of package
// backend over simulated backend servers whose speed shifts, on the same seeds.
// It is a fake at the interface of the decisions, without network, processes or
// faults. Change this package to compare other policies or loads.
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

// Names of the policies that the ratios compare.
const (
	nameProduct  = "owner"
	nameBaseline = "two choices, in flight"
)

// ratioLoad is the load of the ratios in percent of the capacity.
const ratioLoad = 75

// loads are the loads in percent of the capacity.
var loads = []int{40, 60, ratioLoad, 85}

// Variant is a policy under comparison.
type Variant struct {
	// Name is its name in the report.
	Name string
	// Owner says that one host places all calls; otherwise each host places its
	// own and knows nothing of the others'.
	Owner bool
	// Options are those of each host's pool.
	Options backend.Options
}

// baseline returns a policy of independent hosts.
func baseline(name string, policy backend.Policy) Variant {
	return Variant{Name: name, Options: backend.Options{
		Policy: policy, WithoutHedge: true, WithoutRamp: true, WithoutEjection: true,
	}}
}

// Variants are the policies in the order of the report.
var Variants = []Variant{
	baseline("random", backend.Random{}),
	baseline("round robin", backend.RoundRobin{}),
	baseline(nameBaseline, backend.TwoChoicesInFlight{}),
	baseline("two choices, latency", backend.TwoChoicesLatency{}),
	{Name: nameProduct, Owner: true},
	{Name: "owner without hedge", Owner: true, Options: backend.Options{WithoutHedge: true}},
	{Name: "owner without ramp", Owner: true, Options: backend.Options{WithoutRamp: true}},
	{Name: "independent, lowest latency, hedged"},
	{Name: "owner, random choice", Owner: true, Options: backend.Options{Policy: backend.Random{}}},
}

// Run compares the policies, prints a table and writes what the settings ask for.
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
		return eris.Wrapf(draw(settings.Plot, report), "drawing %s", settings.Plot)
	}

	return nil
}

// Compare runs every policy at every load with every seed.
func Compare(settings schema.PoliciesSettings) schema.PolicyReport {
	report := schema.PolicyReport{Capacity: capacity(settings)}
	runs := pool.NewWithResults[schema.PolicyRun]().WithMaxGoroutines(settings.Workers)
	for _, variant := range Variants {
		for _, load := range loads {
			for seed := range settings.Seeds {
				runs.Go(func() schema.PolicyRun {
					rate := float64(report.Capacity) * float64(load) / 100
					run := simulate(settings, variant, rate, uint64(seed)+1) //nolint:gosec // a small number
					run.LoadPercent = load

					return run
				})
			}
		}
	}
	report.Runs = runs.Wait()
	slices.SortStableFunc(report.Runs, func(a, b schema.PolicyRun) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.LoadPercent, b.LoadPercent), cmp.Compare(a.Seed, b.Seed))
	})
	product, base := Summarise(report, nameProduct, ratioLoad), Summarise(report, nameBaseline, ratioLoad)
	report.P99Ratio = product.P99.Mean / base.P99.Mean
	report.P999Ratio = product.P999.Mean / base.P999.Mean

	return report
}

// rank returns the place of a run's policy in the report.
func rank(run schema.PolicyRun) int {
	return slices.IndexFunc(Variants, func(variant Variant) bool { return variant.Name == run.Policy })
}

// capacity measures how many calls a second the backend servers answer when
// every slot is always busy, as a mean over the seeds.
func capacity(settings schema.PoliciesSettings) int {
	saturating := float64(settings.BackendServers*settings.Slots) / settings.ServiceTime.Seconds()
	saturated := baseline("capacity", backend.RoundRobin{})
	saturated.Owner = true
	total := 0.0
	for seed := range settings.Seeds {
		run := simulate(settings, saturated, saturating, uint64(seed)+1)
		total += float64(run.Answered) / settings.Duration.Seconds()
	}

	return int(total) / settings.Seeds
}
