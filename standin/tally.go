package standin

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Range of recorded latencies in microseconds and their significant digits.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Tally holds the outcome counts and the latencies of one service or phase.
type Tally struct {
	report    schema.LoadReportService
	latencies *hdrhistogram.Histogram
}

// NewTally returns an empty tally for the named service or phase.
func NewTally(service string) *Tally {
	return &Tally{
		report:    schema.LoadReportService{Service: service},
		latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

// Count counts the result of a call. An unrecognised outcome counts as unknown.
func (t *Tally) Count(result requestResult) {
	switch {
	case result.misdirected:
		t.report.Misdirected++
	case result.outcome == outcomeAnswered:
		t.report.Answered++
		if result.failed {
			t.report.Failed++
		}
	case result.outcome == outcomeNotRun:
		t.report.NotRun++
	default:
		t.report.Unknown++
	}
}

// Record records the latency of an answered call. Latencies above the range are
// dropped.
func (t *Tally) Record(result requestResult, took time.Duration) {
	if result.outcome == outcomeAnswered && !result.misdirected {
		_ = t.latencies.RecordValue(max(took.Microseconds(), lowestLatency)) // fails only above the range
	}
}

// Total returns the number of calls with any outcome.
func (t *Tally) Total() int {
	return t.report.Answered + t.report.NotRun + t.report.Unknown + t.report.Misdirected
}

// Add adds another tally of the same service or phase.
func (t *Tally) Add(other *Tally) {
	t.report.Answered += other.report.Answered
	t.report.Failed += other.report.Failed
	t.report.NotRun += other.report.NotRun
	t.report.Unknown += other.report.Unknown
	t.report.Misdirected += other.report.Misdirected
	t.report.Retried += other.report.Retried
	t.latencies.Merge(other.latencies)
}

// Report returns the counts and latencies of a service.
func (t *Tally) Report() schema.LoadReportService {
	report := t.report
	report.Latency = t.latency()

	return report
}

// Phase returns the counts and latencies of a phase.
func (t *Tally) Phase() schema.LoadPhase {
	return schema.LoadPhase{
		Phase: t.report.Service, Answered: t.report.Answered, NotRun: t.report.NotRun,
		Unknown: t.report.Unknown, Latency: t.latency(),
	}
}

// latency returns the percentiles of the recorded latencies.
func (t *Tally) latency() schema.Latency {
	return schema.Latency{
		P50Us:  int(t.latencies.ValueAtQuantile(50)),
		P99Us:  int(t.latencies.ValueAtQuantile(99)),
		P999Us: int(t.latencies.ValueAtQuantile(99.9)),
		MaxUs:  int(t.latencies.Max()),
	}
}

// printTable prints the services and phases of a run as a table.
func printTable(out io.Writer, run schema.LoadRun) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tanswered\tfailed\tnot_run\tunknown\tmisdirected\tretried\tp50_ms\tp99_ms\tp99.9_ms\tmax_ms\t")
	for _, s := range run.Services {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Service,
			s.Answered, s.Failed, s.NotRun, s.Unknown, s.Misdirected, s.Retried,
			milliseconds(s.Latency.P50Us), milliseconds(s.Latency.P99Us),
			milliseconds(s.Latency.P999Us), milliseconds(s.Latency.MaxUs))
	}

	for _, p := range run.Phases {
		fmt.Fprintf(table, "%s\t%d\t\t%d\t%d\t\t\t%.2f\t%.2f\t%.2f\t%.2f\t\n", p.Phase, p.Answered, p.NotRun, p.Unknown,
			milliseconds(p.Latency.P50Us), milliseconds(p.Latency.P99Us),
			milliseconds(p.Latency.P999Us), milliseconds(p.Latency.MaxUs))
	}

	return eris.Wrap(table.Flush(), "printing the table")
}

// milliseconds converts microseconds to milliseconds.
func milliseconds(microseconds int) float64 {
	const perMillisecond = 1000

	return float64(microseconds) / perMillisecond
}
