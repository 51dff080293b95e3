package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/baobabdrum/baobabdrum/schema"
)

// MeanMinMax summarises a value over several seeds.
type MeanMinMax struct {
	// Mean, Min and Max are the mean and the extremes over the seeds.
	Mean, Min, Max float64
}

// meanMinMax summarises at least one value.
func meanMinMax(values []float64) MeanMinMax {
	s := MeanMinMax{Min: values[0], Max: values[0]}
	for _, value := range values {
		s.Mean += value / float64(len(values))
		s.Min = min(s.Min, value)
		s.Max = max(s.Max, value)
	}

	return s
}

// Summary combines the runs of one policy at one load over all seeds.
type Summary struct {
	// P50, P99 and P999 are percentiles of the latency in milliseconds.
	P50, P99, P999 MeanMinMax
	// OtherP99 is the 99th percentile of the callers that do not flood.
	OtherP99 MeanMinMax
	// Total holds the counts summed over the seeds.
	Total schema.PolicyRun
}

// Summarise combines the runs of a policy in a scenario at a load in percent.
func Summarise(report schema.PolicyReport, scenario, policy string, load int) Summary {
	var summary Summary
	var p50, p99, p999, others []float64
	for _, run := range report.Runs {
		if run.Scenario != scenario || run.Policy != policy || run.LoadPercent != load {
			continue
		}
		p50 = append(p50, milliseconds(run.Latency.P50Us))
		p99 = append(p99, milliseconds(run.Latency.P99Us))
		p999 = append(p999, milliseconds(run.Latency.P999Us))
		others = append(others, milliseconds(run.OtherLatency.P99Us))
		add(&summary.Total, run)
	}
	summary.P50, summary.P99, summary.P999, summary.OtherP99 = meanMinMax(p50), meanMinMax(p99), meanMinMax(p999), meanMinMax(others)

	return summary
}

// add adds the counts of a run to the total.
func add(total *schema.PolicyRun, run schema.PolicyRun) {
	total.Calls += run.Calls
	total.Answered += run.Answered
	total.NotRun += run.NotRun
	total.Unknown += run.Unknown
	total.OtherCalls += run.OtherCalls
	total.OtherAnswered += run.OtherAnswered
	total.Hedges += run.Hedges
	total.FellOver += run.FellOver
	total.Violations += run.Violations
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(us int) float64 {
	return float64(us) / 1000
}

// Print prints the report as one table for each scenario, with the minimum and
// maximum over the seeds.
func Print(out io.Writer, report schema.PolicyReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "capacity=%d calls/s\n", report.Capacity)
	for _, scenario := range Scenarios {
		printScenario(table, report, scenario)
	}
	fmt.Fprintf(table, "\np99_ratio=%.2f\np999_ratio=%.2f\n", report.P99Ratio, report.P999Ratio)

	return table.Flush()
}

// printScenario prints the table of a scenario.
func printScenario(table io.Writer, report schema.PolicyReport, scenario Scenario) {
	fmt.Fprintf(table, "\n%s\n", scenario.Name)
	fmt.Fprintln(table, "load\tpolicy\tp50_ms\tp99_ms\tp999_ms\tnot_run\tunknown\thedged"+
		"\tfell_over\tothers_answered\tothers_p99_ms\tviolations")
	for _, load := range scenario.Loads {
		for _, variant := range scenario.Variants {
			s := Summarise(report, scenario.Name, variant.Name, load)
			fmt.Fprintf(table, "%.2f\t%s\t%.1f\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%d\n",
				float64(load)/100, variant.Name, s.P50.Mean, s.P99, s.P999,
				percent(s.Total.NotRun, s.Total.Calls), percent(s.Total.Unknown, s.Total.Calls),
				percent(s.Total.Hedges, s.Total.Calls), s.Total.FellOver,
				percent(s.Total.OtherAnswered, s.Total.OtherCalls), s.OtherP99, s.Total.Violations)
		}
	}
}

// percent formats part of whole as a percentage.
func percent(part, whole int) string {
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(max(whole, 1)))
}

// String returns the mean with the minimum and the maximum.
func (s MeanMinMax) String() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.Mean, s.Min, s.Max)
}

// write writes the report to a file as JSON.
func write(path string, report schema.PolicyReport) error {
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}

	return os.WriteFile(path, append(encoded, '\n'), 0o600)
}
