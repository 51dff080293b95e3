package backend

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is the length of one window of a summary.
	latencyWindow = 2 * time.Second
	// latencyWindows is the number of windows in a summary.
	latencyWindows = 2
	// latencyRefresh is the minimum time between two computations of the summary.
	latencyRefresh = 10 * time.Millisecond
	// minLatencySamples is the minimum number of answers for an estimate.
	minLatencySamples = 20
	// maxRecordedLatency is the upper bound of recorded durations.
	maxRecordedLatency = time.Minute
	// latencyDigits is the precision in significant decimal digits.
	latencyDigits = 1
)

// Percentiles on which scheduling decisions are based.
const (
	fastPercentile  = 10
	hedgePercentile = 96
	highPercentile  = 99
)

// Latency summarises the durations of recent successful calls in a cell. The
// durations are 0 while there are too few calls for an estimate.
type Latency struct {
	// Fast is the 10th percentile.
	Fast time.Duration
	// Median is the 50th percentile.
	Median time.Duration
	// Mean is the arithmetic mean.
	Mean time.Duration
	// Hedge is the 96th percentile.
	Hedge time.Duration
	// High is the 99th percentile.
	High time.Duration

	windows *hdrhistogram.WindowedHistogram
	rotated time.Time
	updated time.Time
}

// NewLatency returns an empty summary.
func NewLatency() *Latency {
	return &Latency{windows: hdrhistogram.NewWindowed(latencyWindows, 1, maxRecordedLatency.Microseconds(), latencyDigits)}
}

// Record adds the duration of a successful call.
func (l *Latency) Record(now time.Time, took time.Duration) {
	l.Refresh(now)
	microseconds := max(1, min(took, maxRecordedLatency).Microseconds())
	_ = l.windows.Current.RecordValue(microseconds) // the value is within bounds
}

// Refresh discards expired windows and recomputes the durations, at most once
// per refresh interval.
func (l *Latency) Refresh(now time.Time) {
	if now.Sub(l.updated) < latencyRefresh {
		return
	}
	l.updated = now
	for range latencyWindows {
		if now.Sub(l.rotated) < latencyWindow {
			break
		}
		l.windows.Rotate()
		l.rotated = l.rotated.Add(latencyWindow)
	}
	if now.Sub(l.rotated) >= latencyWindow {
		l.rotated = now
	}
	l.summarise()
}

// summarise computes the durations from all windows.
func (l *Latency) summarise() {
	merged := l.windows.Merge()
	l.Fast, l.Median, l.Mean, l.Hedge, l.High = 0, 0, 0, 0, 0
	if merged.TotalCount() < minLatencySamples {
		return
	}
	at := merged.ValueAtPercentiles([]float64{fastPercentile, 50, hedgePercentile, highPercentile})
	l.Fast = time.Duration(at[fastPercentile]) * time.Microsecond
	l.Median = time.Duration(at[50]) * time.Microsecond
	l.Hedge = time.Duration(at[hedgePercentile]) * time.Microsecond
	l.High = time.Duration(at[highPercentile]) * time.Microsecond
	l.Mean = time.Duration(merged.Mean()) * time.Microsecond
}
