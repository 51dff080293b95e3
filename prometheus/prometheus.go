// Package prometheus holds an entry host's metrics and exposes them in the
// Prometheus text format. Change this package to add or rename a metric;
// docs/METRICS.md lists them.
package prometheus

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// addedLatencyBuckets are the upper bounds of the buckets of the added latency
// in seconds.
var addedLatencyBuckets = []float64{
	0.00005, 0.0001, 0.0002, 0.0003, 0.00041, 0.0006, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 1,
}

// Metrics holds the metrics of one host. Every duty may call its methods.
type Metrics struct {
	set   *metrics.Set
	added *metrics.PrometheusHistogram
}

// New returns metrics that are not exposed yet.
func New() *Metrics {
	set := metrics.NewSet()

	return &Metrics{set: set, added: set.NewPrometheusHistogramExt("baobabdrum_added_latency_seconds", addedLatencyBuckets)}
}

// Expose adds the metrics to those that the process exposes. The returned
// function removes them.
func (m *Metrics) Expose() func() {
	metrics.RegisterSet(m.set)

	return func() { metrics.UnregisterSet(m.set, true) }
}

// AddedLatency records the part of an answered call's duration that this host
// added to the time at the backend server.
func (m *Metrics) AddedLatency(added time.Duration) {
	m.added.Update(added.Seconds())
}

// Rejected counts a request that the caller front rejected without passing it
// to the dispatch duty.
func (m *Metrics) Rejected(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_rejected_requests_total{reason=%q}`, reason)).Inc()
}

// Ring describes a ring between duties.
type Ring interface {
	Depth() int
	Capacity() int
	Rejected() uint64
}

// Ring exposes the depth, the capacity and the number of rejected offers of a
// ring.
func (m *Metrics) Ring(name string, ring Ring) {
	m.set.NewGauge(fmt.Sprintf(`baobabdrum_ring_depth{ring=%q}`, name), func() float64 { return float64(ring.Depth()) })
	m.set.NewGauge(fmt.Sprintf(`baobabdrum_ring_capacity{ring=%q}`, name), func() float64 { return float64(ring.Capacity()) })
	m.set.NewGauge(fmt.Sprintf(`baobabdrum_ring_full_total{ring=%q}`, name), func() float64 { return float64(ring.Rejected()) })
}
