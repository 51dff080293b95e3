package prometheus_test

import (
	"bytes"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/baobabdrum/baobabdrum/prometheus"
	"github.com/baobabdrum/baobabdrum/ring"
)

// exposedMetrics returns the metrics that the process exposes, except those of
// the process itself.
func exposedMetrics() string {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)

	return text.String()
}

// recordAll records a value for every metric.
func recordAll(m *prometheus.Metrics) {
	full := ring.New[int]("dispatch", 1)
	_, _ = full.Offer(1), full.Offer(2)
	m.Ring("dispatch", full)
	m.Rejected("overloaded")
	m.AddedLatency(300 * time.Microsecond)
	dispatch := prometheus.NewDispatch(m)
	dispatch.Call(prometheus.CallLabels{Service: "catalogue", Outcome: "not_run", Reason: "shed"})
	dispatch.Call(prometheus.CallLabels{Service: "catalogue", Outcome: "not_run", Reason: "shed"})
	dispatch.Attempt("cut")
	dispatch.Moved("catalogue")
	dispatch.Probe(true)
	dispatch.Violation("slots")
	dispatch.Configuration(7)
	dispatch.Hosts(3)
	dispatch.Cell(prometheus.CellLabels{Service: "orders", DataCentre: "mu-north"}, 5, 4)
	dispatch.ResetCells()
	dispatch.Cell(prometheus.CellLabels{Service: "catalogue", DataCentre: "mu-north"}, 2, 1)
}

func TestMetricsAreExposed(t *testing.T) {
	m := prometheus.New()
	hide := m.Expose()
	recordAll(m)
	text := exposedMetrics()
	hide()
	assert.Equal(t, exposedMetrics(), "")
	tests := map[string]string{
		"calls":                 `baobabdrum_calls_total{service="catalogue",outcome="not_run",reason="shed"} 2`,
		"attempts":              `baobabdrum_attempts_total{result="cut"} 1`,
		"added latency":         `baobabdrum_added_latency_seconds_bucket{le="0.0003"} 1`,
		"rejected":              `baobabdrum_rejected_requests_total{reason="overloaded"} 1`,
		"queued":                `baobabdrum_queued_calls{service="catalogue",data_centre="mu-north"} 2`,
		"in flight":             `baobabdrum_in_flight_attempts{service="catalogue",data_centre="mu-north"} 1`,
		"cell no longer owned":  `baobabdrum_queued_calls{service="orders",data_centre="mu-north"} 0`,
		"ring depth":            `baobabdrum_ring_depth{ring="dispatch"} 1`,
		"ring full":             `baobabdrum_ring_full_total{ring="dispatch"} 1`,
		"configuration version": `baobabdrum_configuration_version 7`,
		"live hosts":            `baobabdrum_live_hosts 3`,
		"probes":                `baobabdrum_probes_total{healthy="true"} 1`,
		"violations":            `baobabdrum_invariant_violations_total{invariant="slots"} 1`,
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, cmp.Contains(text, want+"\n"))
		})
	}
}

func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	m := prometheus.New()
	hide := m.Expose()
	recordAll(m)
	text := exposedMetrics()
	hide()
	histogram := regexp.MustCompile(`_(bucket|sum|count)$`)
	lines := strings.Split(strings.TrimSpace(text), "\n")
	inCode := make([]string, 0, len(lines))
	for _, line := range lines {
		name := regexp.MustCompile(`^\w+`).FindString(line)
		inCode = append(inCode, histogram.ReplaceAllString(name, ""))
	}
	own, _, _ := strings.Cut(string(page), "## On the users' platform")
	rows := regexp.MustCompile("(?m)^\\| `(\\w+)`").FindAllStringSubmatch(own, -1)
	onPage := make([]string, 0, len(rows))
	for _, found := range rows {
		onPage = append(onPage, found[1])
	}
	slices.Sort(inCode)
	slices.Sort(onPage)
	assert.DeepEqual(t, slices.Compact(inCode), onPage)
}
