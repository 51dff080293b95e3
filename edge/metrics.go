package edge

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabdrum/baobabdrum/placement"
)

// Metrics are the metrics of one host. Every duty may call its methods.
type Metrics struct {
	set      *metrics.Set
	declared *metrics.Gauge
	servers  *metrics.Gauge
	age      *metrics.Gauge
}

// NewMetrics returns metrics in a set of their own.
func NewMetrics() *Metrics {
	set := metrics.NewSet()

	return &Metrics{
		set:      set,
		declared: set.NewGauge("baobabdrum_declaration_version", nil),
		servers:  set.NewGauge("baobabdrum_backend_servers", nil),
		age:      set.NewGauge("baobabdrum_declared_age_seconds", nil),
	}
}

// Write writes the metrics of the host and of the process in the Prometheus
// text format.
func (m *Metrics) Write(writer io.Writer) {
	m.set.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

// Gauge adds a gauge whose value is read whenever the metrics are written.
func (m *Metrics) Gauge(name string, read func() float64) {
	m.set.NewGauge(name, read)
}

// Dropped counts a message between duties that was dropped because its ring was
// full.
func (m *Metrics) Dropped(what string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_dropped_messages_total{what=%q}`, what)).Inc()
}

// Sent counts an attempt by its kind and records the age of the load report
// behind the decision.
func (m *Metrics) Sent(reason placement.Choice) {
	kind := "first"
	if reason.Hedge {
		kind = "hedge"
	} else if reason.Repeat {
		kind = "retry"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_sends_total{service=%q,data_centre=%q,kind=%q}`, reason.Service, reason.DataCentre, kind)).Inc()
	if reason.PaceAge >= 0 {
		m.set.GetOrCreateHistogram("baobabdrum_load_report_age_seconds").Update(reason.PaceAge.Seconds())
	}
}

// Crossed counts the bytes of the bodies of a call that left the data centre.
func (m *Metrics) Crossed(service string, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_crossing_body_bytes_total{service=%q}`, service)).Add(bytes)
}

// Finished counts a finished call and records its duration.
func (m *Metrics) Finished(action placement.Finish) {
	outcome, reason, _ := outcomeLabels(action.Outcome)
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_calls_total{service=%q,outcome=%q,reason=%q}`, action.Service, outcome, reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`baobabdrum_call_duration_seconds{service=%q,outcome=%q}`, action.Service, outcome)).Update(action.Took.Seconds())
}

// OutdatedRefusals counts refused calls that a newer declaration allows.
func (m *Metrics) OutdatedRefusals(action placement.RefusalsOutdated) {
	for reason, calls := range map[string]int{"no_route": action.Routes, string(placement.ReasonUnknownKey): action.Keys} {
		if calls > 0 {
			m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_outdated_refusals_total{reason=%q}`, reason)).Add(calls)
		}
	}
}

// Cancelled counts a cancelled attempt.
func (m *Metrics) Cancelled(reason placement.CancelReason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_cancelled_attempts_total{reason=%q}`, reason)).Inc()
}

// ArrivedStopping counts a call that arrived after the request to stop.
func (m *Metrics) ArrivedStopping() {
	m.set.GetOrCreateCounter("baobabdrum_calls_while_stopping_total").Inc()
}

// StateChanged counts a backend server's change to a state, as seen by this
// host.
func (m *Metrics) StateChanged(state string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_beliefs_total{belief=%q}`, state)).Inc()
}

// Declared records the declaration version and the number of backend servers in
// force.
func (m *Metrics) Declared(version, servers int) {
	m.declared.Set(float64(version))
	m.servers.Set(float64(servers))
}

// InForce records how long a declared state waited until calls were placed by it.
func (m *Metrics) InForce(waited time.Duration) {
	m.set.GetOrCreateHistogram("baobabdrum_declared_wait_seconds").Update(waited.Seconds())
}

// Confirmed records the time since the store confirmed the declared state in force.
func (m *Metrics) Confirmed(age time.Duration) {
	m.age.Set(age.Seconds())
}

// Exhausted counts bodies for which there was no memory.
func (m *Metrics) Exhausted(use string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_memory_exhausted_total{use=%q}`, use)).Inc()
}

// Invalid counts problems found in the rows of a table of the store.
func (m *Metrics) Invalid(table string, problems int) {
	if problems > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_invalid_entries_total{table=%q}`, table)).Add(problems)
	}
}

// Rollout counts a change of a rollout at this host and records the share of the calls
// that go to its target version.
func (m *Metrics) Rollout(action placement.RolloutChanged) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_rollout_changes_total{service=%q,phase=%q,reason=%q}`, action.Service, action.Phase, action.Reason)).Inc()
	m.set.GetOrCreateGauge(fmt.Sprintf(`baobabdrum_rollout_share{service=%q}`, action.Service), nil).Set(action.Share)
}

// Store counts a call to the store and records its duration.
func (m *Metrics) Store(call, outcome string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`baobabdrum_store_call_duration_seconds{call=%q}`, call)).Update(took.Seconds())
}

// StoreRead records the bytes of an answered read of a table, and how long it took to
// decode them.
func (m *Metrics) StoreRead(table string, bytes int, decoding time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_store_read_bytes_total{table=%q}`, table)).Add(bytes)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`baobabdrum_store_decode_seconds{table=%q}`, table)).Update(decoding.Seconds())
}

// Outdated counts an answer of the store that was ignored because it is older than the
// state in force.
func (m *Metrics) Outdated(table string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_store_answers_outdated_total{table=%q}`, table)).Inc()
}

// Restored counts a return of the store from a copy.
func (m *Metrics) Restored(table string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_store_restores_total{table=%q}`, table)).Inc()
}

// Fetched counts a fetch of the declared state from another host and the bytes received,
// and records its duration.
func (m *Metrics) Fetched(outcome string, bytes int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_fetches_total{outcome=%q}`, outcome)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_fetch_bytes_total{outcome=%q}`, outcome)).Add(bytes)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`baobabdrum_fetch_duration_seconds{outcome=%q}`, outcome)).Update(took.Seconds())
}

// PeerAnswered counts an answer to another host and its bytes, and records the time until
// the kernel had taken it.
func (m *Metrics) PeerAnswered(method string, bytes int, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_peer_answer_bytes_total{method=%q}`, method)).Add(bytes)
	m.set.GetOrCreateHistogram(fmt.Sprintf(`baobabdrum_peer_answer_duration_seconds{method=%q}`, method)).Update(took.Seconds())
}

// ReadAhead counts a request that was read while one before it was open.
func (m *Metrics) ReadAhead() {
	m.set.GetOrCreateCounter("baobabdrum_requests_read_ahead_total").Inc()
}

// UnusedAhead counts a call that was started ahead and whose reply is not used.
func (m *Metrics) UnusedAhead() {
	m.set.GetOrCreateCounter("baobabdrum_unused_calls_ahead_total").Inc()
}

// Rejected counts requests that were rejected before they became calls.
func (m *Metrics) Rejected(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_rejected_requests_total{reason=%q}`, reason)).Inc()
}

// AcceptFailed counts errors of accepting connections.
func (m *Metrics) AcceptFailed(listener string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_accept_errors_total{listener=%q}`, listener)).Inc()
}

// ConnectionEvicted counts idle connections that were closed for new ones.
func (m *Metrics) ConnectionEvicted(listener string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_evicted_connections_total{listener=%q}`, listener)).Inc()
}

// ConnectionRejected counts connections for which there was no room.
func (m *Metrics) ConnectionRejected(listener string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_rejected_connections_total{listener=%q}`, listener)).Inc()
}
