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

// The range of recorded latencies in microseconds and their digits.
const (
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Tally counts how the calls of one service ended.
type Tally struct {
	report    schema.LoadReportService
	latencies *hdrhistogram.Histogram
}

// NewTally returns a tally without calls.
func NewTally(service string) *Tally {
	return &Tally{
		report:    schema.LoadReportService{Service: service},
		latencies: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
}

// Answered counts a whole answer that took as long.
func (t *Tally) Answered(took time.Duration) {
	t.report.Answered++
	_ = t.latencies.RecordValue(max(took.Microseconds(), lowestLatency)) // longer ones than the range are counted as answered only
}

// Add adds another tally of the same service.
func (t *Tally) Add(other *Tally) {
	t.report.Answered += other.report.Answered
	t.report.NotRun += other.report.NotRun
	t.report.Unknown += other.report.Unknown
	t.report.Misdirected += other.report.Misdirected
	t.report.Retried += other.report.Retried
	t.latencies.Merge(other.latencies)
}

// Report returns the sums with the latencies.
func (t *Tally) Report() schema.LoadReportService {
	report := t.report
	report.Latency = schema.Latency{
		P50Us:  int(t.latencies.ValueAtQuantile(50)),
		P99Us:  int(t.latencies.ValueAtQuantile(99)),
		P999Us: int(t.latencies.ValueAtQuantile(99.9)),
		MaxUs:  int(t.latencies.Max()),
	}

	return report
}

// printTable writes a readable table.
func printTable(out io.Writer, run schema.LoadRun) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "service\tanswered\tnot_run\tunknown\tmisdirected\tretried\tp50_ms\tp99_ms\tp99.9_ms\tmax_ms\t")
	for _, s := range run.Services {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", s.Service,
			s.Answered, s.NotRun, s.Unknown, s.Misdirected, s.Retried,
			milliseconds(s.Latency.P50Us), milliseconds(s.Latency.P99Us),
			milliseconds(s.Latency.P999Us), milliseconds(s.Latency.MaxUs))
	}

	return eris.Wrap(table.Flush(), "printing the table")
}

// milliseconds converts from microseconds.
func milliseconds(microseconds int) float64 {
	const perMillisecond = 1000

	return float64(microseconds) / perMillisecond
}
