package prometheus

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// CallLabels are the labels of a finished call.
type CallLabels struct {
	// Service names the service. It is empty if the service is not declared.
	Service string
	// Outcome is answered, not_run or unknown.
	Outcome string
	// Reason states why there was no answer.
	Reason string
}

// CellLabels identify a cell.
type CellLabels struct {
	// Service names the service.
	Service string
	// DataCentre names the data centre.
	DataCentre string
}

// Dispatch holds the metrics of the dispatch duty. No other duty may use it.
type Dispatch struct {
	set                  *metrics.Set
	calls                map[CallLabels]*metrics.Counter
	attempts             map[string]*metrics.Counter
	queued               map[CellLabels]*metrics.Gauge
	inFlight             map[CellLabels]*metrics.Gauge
	configurationVersion *metrics.Gauge
	liveHosts            *metrics.Gauge
	// rememberedOrders and runningOrders are numbers of orders.
	rememberedOrders *metrics.Gauge
	runningOrders    *metrics.Gauge
}

// NewDispatch adds the metrics of the dispatch duty to a host's metrics.
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

// Call counts a finished call.
func (d *Dispatch) Call(labels CallLabels) {
	counter, ok := d.calls[labels]
	if !ok {
		counter = d.set.GetOrCreateCounter(fmt.Sprintf(
			`baobabdrum_calls_total{service=%q,outcome=%q,reason=%q}`, labels.Service, labels.Outcome, labels.Reason))
		d.calls[labels] = counter
	}
	counter.Inc()
}

// Moved counts a queued call that moved to another cell.
func (d *Dispatch) Moved(service string) {
	d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_moved_calls_total{service=%q}`, service)).Inc()
}

// Attempt counts a finished attempt by its result.
func (d *Dispatch) Attempt(result string) {
	counter, ok := d.attempts[result]
	if !ok {
		counter = d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_attempts_total{result=%q}`, result))
		d.attempts[result] = counter
	}
	counter.Inc()
}

// Probe counts a probe by its result.
func (d *Dispatch) Probe(healthy bool) {
	d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_probes_total{healthy="%t"}`, healthy)).Inc()
}

// Violation counts the violation of an invariant.
func (d *Dispatch) Violation(invariant string) {
	d.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_invariant_violations_total{invariant=%q}`, invariant)).Inc()
}

// Configuration records the version of the configuration in force.
func (d *Dispatch) Configuration(version int) {
	d.configurationVersion.Set(float64(version))
}

// Hosts records the number of live hosts.
func (d *Dispatch) Hosts(live int) {
	d.liveHosts.Set(float64(live))
}

// Orders records the numbers of remembered and of running orders.
func (d *Dispatch) Orders(remembered, running int) {
	d.rememberedOrders.Set(float64(remembered))
	d.runningOrders.Set(float64(running))
}

// ResetCells sets the gauges of all cells to 0, so that cells that this host no
// longer owns are not reported with old values.
func (d *Dispatch) ResetCells() {
	for _, gauges := range []map[CellLabels]*metrics.Gauge{d.queued, d.inFlight} {
		for _, gauge := range gauges {
			gauge.Set(0)
		}
	}
}

// Cell records the queued calls and the in-flight attempts of a cell that this
// host owns.
func (d *Dispatch) Cell(labels CellLabels, queued, inFlight int) {
	if d.queued[labels] == nil {
		names := fmt.Sprintf(`{service=%q,data_centre=%q}`, labels.Service, labels.DataCentre)
		d.queued[labels] = d.set.GetOrCreateGauge("baobabdrum_queued_calls"+names, nil)
		d.inFlight[labels] = d.set.GetOrCreateGauge("baobabdrum_in_flight_attempts"+names, nil)
	}
	d.queued[labels].Set(float64(queued))
	d.inFlight[labels].Set(float64(inFlight))
}
