package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Spread is a figure over several seeds.
type Spread struct {
	// Mean, Least and Most are over the seeds.
	Mean, Least, Most float64
}

// spread returns the spread of the values.
func spread(values []float64) Spread {
	s := Spread{Least: values[0], Most: values[0]}
	for _, value := range values {
		s.Mean += value / float64(len(values))
		s.Least = min(s.Least, value)
		s.Most = max(s.Most, value)
	}

	return s
}

// Summary sums up the runs of one policy at one load.
type Summary struct {
	// P50, P99 and P999 are percentiles of the latency in milliseconds.
	P50, P99, P999 Spread
	// Calls counts all calls, NotRun those refused, Unknown those without an
	// answer that may have run, Hedges the hedges and Violations the broken
	// invariants.
	Calls, NotRun, Unknown, Hedges, Violations int
}

// Summarise sums up the runs of a policy at a load in percent.
func Summarise(report schema.PolicyReport, policy string, load int) Summary {
	var summary Summary
	var p50, p99, p999 []float64
	for _, run := range report.Runs {
		if run.Policy != policy || run.LoadPercent != load {
			continue
		}
		p50 = append(p50, milliseconds(run.Latency.P50Us))
		p99 = append(p99, milliseconds(run.Latency.P99Us))
		p999 = append(p999, milliseconds(run.Latency.P999Us))
		summary.Calls += run.Calls
		summary.NotRun += run.NotRun
		summary.Unknown += run.Unknown
		summary.Hedges += run.Hedges
		summary.Violations += run.Violations
	}
	summary.P50, summary.P99, summary.P999 = spread(p50), spread(p99), spread(p999)

	return summary
}

// milliseconds converts microseconds.
func milliseconds(us int) float64 {
	return float64(us) / 1000
}

// Print prints the report as a table, with the least and the most of the seeds.
func Print(out io.Writer, report schema.PolicyReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "capacity=%d calls/s\n", report.Capacity)
	fmt.Fprintln(table, "load\tpolicy\tp50_ms\tp99_ms\tp999_ms\tnot_run\tunknown\thedged\tviolations")
	for _, load := range loads {
		for _, variant := range Variants {
			s := Summarise(report, variant.Name, load)
			fmt.Fprintf(table, "0.%02d\t%s\t%.1f\t%s\t%s\t%d\t%d\t%.2f%%\t%d\n", load, variant.Name, s.P50.Mean,
				s.P99, s.P999, s.NotRun, s.Unknown, 100*float64(s.Hedges)/float64(s.Calls), s.Violations)
		}
	}
	fmt.Fprintf(table, "p99_ratio=%.2f\np999_ratio=%.2f\n", report.P99Ratio, report.P999Ratio)

	return table.Flush()
}

// String returns the mean with the least and the most.
func (s Spread) String() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Mean, s.Least, s.Most)
}

// write writes the report as JSON.
func write(path string, report schema.PolicyReport) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}

	return os.WriteFile(path, append(encoded, '\n'), 0o600)
}
