package prometheus

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// CallLabels tell apart how calls ended.
type CallLabels struct {
	// Service names the service, or is empty if it is not declared.
	Service string
	// Outcome is answered, not_run or unknown.
	Outcome string
	// Reason says why there was no answer.
	Reason string
}

// CellLabels name a cell.
type CellLabels struct {
	// Service names the service.
	Service string
	// DataCentre names the data centre.
	DataCentre string
}

// Dispatch holds the metrics of the dispatch duty, which alone may use it.
type Dispatch struct {
	set                  *metrics.Set
	calls                map[CallLabels]*metrics.Counter
	attempts             map[string]*metrics.Counter
	queued               map[CellLabels]*metrics.Gauge
	inFlight             map[CellLabels]*metrics.Gauge
	configurationVersion *metrics.Gauge
	liveHosts            *metrics.Gauge
	// rememberedOrders and running count orders.
	rememberedOrders *metrics.Gauge
	runningOrders    *metrics.Gauge
}

// NewDispatch returns the dispatch duty's part of a host's metrics.
func NewDispatch(m *Metrics) *Dispatch {
	return &Dispatch{
		set:                  m.set,
		calls:                map[CallLabels]*metrics.Counter{},
		attempts:             map[string]*metrics.Counter{},
		queued:               map[CellLabels]*metrics.Gauge{},
		inFlight:             map[CellLabels]*metrics.Gauge{},
		configurationVersion: m.set.NewGauge("baobabdrum_configuration_version", nil),
		liveHosts:            m.set.NewGauge("baobabdrum_live_hosts", nil),

		rememberedOrders: m.set.NewGauge("baobabdrum_remembered_orders", nil),
		runningOrders:    m.set.NewGauge("baobabdrum_running_orders", nil),
	}
}

// Call counts the end of a call.
func (d *Dispatch) Call(labels CallLabels) {
	counter, ok := d.calls[labels]
	if !ok {
		counter = d.set.GetOrCreateCounter(fmt.Sprintf(
			`baobabdrum_calls_total{service=%q,outcome=%q,reason=%q}`, labels.Service, labels.Outcome, labels.Reason))
		d.calls[labels] = counter
	}
	counter.Inc()
}

// Moved counts a waiting call that moved to another cell.
func (d *Dispatch) Moved(service string) {
	d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_moved_calls_total{service=%q}`, service)).Inc()
}

// Attempt counts the end of an attempt by its result.
func (d *Dispatch) Attempt(result string) {
	counter, ok := d.attempts[result]
	if !ok {
		counter = d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_attempts_total{result=%q}`, result))
		d.attempts[result] = counter
	}
	counter.Inc()
}

// Probe counts a probe by what it found.
func (d *Dispatch) Probe(healthy bool) {
	d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_probes_total{healthy="%t"}`, healthy)).Inc()
}

// Violation counts a broken invariant.
func (d *Dispatch) Violation(invariant string) {
	d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_invariant_violations_total{invariant=%q}`, invariant)).Inc()
}

// Configuration records the version in force.
func (d *Dispatch) Configuration(version int) {
	d.configurationVersion.Set(float64(version))
}

// Hosts records the number of live hosts.
func (d *Dispatch) Hosts(live int) {
	d.liveHosts.Set(float64(live))
}

// Orders records the orders that are remembered and those under way.
func (d *Dispatch) Orders(remembered, running int) {
	d.rememberedOrders.Set(float64(remembered))
	d.runningOrders.Set(float64(running))
}

// ResetCells begins a new record of the cells that this host owns.
func (d *Dispatch) ResetCells() {
	for _, gauges := range []map[CellLabels]*metrics.Gauge{d.queued, d.inFlight} {
		for _, gauge := range gauges {
			gauge.Set(0)
		}
	}
}

// Cell records the calls that wait and the attempts that run in an owned cell.
func (d *Dispatch) Cell(labels CellLabels, queued, inFlight int) {
	if d.queued[labels] == nil {
		names := fmt.Sprintf(`{service=%q,data_centre=%q}`, labels.Service, labels.DataCentre)
		d.queued[labels] = d.set.GetOrCreateGauge("baobabdrum_queued_calls"+names, nil)
		d.inFlight[labels] = d.set.GetOrCreateGauge("baobabdrum_in_flight_attempts"+names, nil)
	}
	d.queued[labels].Set(float64(queued))
	d.inFlight[labels].Set(float64(inFlight))
}
