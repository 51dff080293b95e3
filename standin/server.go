package standin

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Fault kinds that can be injected into a backend server.
const (
	faultFreeze   = "freeze"
	faultRestart  = "restart"
	faultShed     = "shed"
	faultCold     = "cold"
	faultDrain    = "drain"
	faultCut      = "cut"
	faultLate     = "late"
	faultStraggle = "straggle"
	faultLie      = "lie"
	faultFailFast = "fail_fast"
)

const (
	// coldSlots is the number of concurrent calls that a cold server runs at
	// normal speed.
	coldSlots = 1
	// coldFactor multiplies the service time of a cold server above coldSlots.
	coldFactor = 3
	// downtime is how long a cold server stays down after it was overloaded.
	downtime = 500 * time.Millisecond
	// intervalLength is the duration that one schema.CallInterval covers.
	intervalLength = 100 * time.Millisecond
)

// slowdownFactors are the possible multipliers of the service time. One entry
// is drawn uniformly, so repeated values are more likely.
var slowdownFactors = []int{1, 1, 1, 1, 1, 1, 1, 3, 3, 10}

// callResult is the result of a call at the server: completed, cancelled,
// expired or failed.
//
//sumtype:decl
type callResult interface{ callResult() }

// completed means that the answer was sent, possibly truncated by a cut fault.
type completed struct{}

// cancelled means that the caller closed the connection before the complete answer
// was sent.
type cancelled struct{}

// expired means that the deadline passed before the call completed.
type expired struct{}

// failed means that the server was overloaded while cold, or restarted, during
// the call.
type failed struct{}

func (completed) callResult() {}
func (cancelled) callResult() {}
func (expired) callResult()   {}
func (failed) callResult()    {}

// Server is the state of a backend server stand-in. A single duty owns it.
type Server struct {
	settings    schema.BackendSettings
	random      *rand.Rand
	inFlight    int
	connections int
	slowdown    int
	shiftAt     time.Time
	coldUntil   time.Time
	started     time.Time
	downUntil   time.Time
	failures    int
	fault       schema.BackendFault
	faultUntil  time.Time
	report      schema.LoadReport
	reportedAt  time.Time
	record      schema.RunRecord
}

// NewServer returns an idle server at normal speed that is cold for
// settings.ColdStart.
func NewServer(now time.Time, settings schema.BackendSettings, random *rand.Rand) *Server {
	return &Server{
		settings: settings, random: random, slowdown: 1, started: now, coldUntil: now.Add(settings.ColdStart),
		record: schema.RunRecord{Address: settings.Address, Intervals: []schema.CallInterval{}, Orders: []schema.Run{}},
	}
}

// Admit starts a call or sheds it. During a restart it does neither, and the
// admission has restarting set.
func (s *Server) Admit(now time.Time, run schema.Run) admission {
	fault := s.activeFault(now)
	if fault.Kind == faultRestart {
		return admission{restarting: true}
	}
	if s.inFlight >= s.settings.Slots || fault.Kind == faultShed || fault.Kind == faultDrain {
		s.record.Shed++

		return admission{shed: true}
	}
	s.inFlight++
	s.recordStart(now, run)
	if s.isCold(now) && s.inFlight > coldSlots && s.inFlight >= s.settings.Slots && !now.Before(s.downUntil) {
		s.failCalls(now.Add(downtime))
		s.record.FellOver++
	}

	return admission{fault: fault, failures: s.failures, duration: s.duration(now, fault)}
}

// recordStart adds a started call to the run record.
func (s *Server) recordStart(now time.Time, run schema.Run) {
	s.record.Calls++
	s.record.LastCallAtMs = int(now.UnixMilli())
	s.record.MostInFlight = max(s.record.MostInFlight, s.inFlight)
	from := int(now.Truncate(intervalLength).UnixMilli())
	if last := len(s.record.Intervals) - 1; last < 0 || s.record.Intervals[last].FromMs != from {
		s.record.Intervals = append(s.record.Intervals, schema.CallInterval{FromMs: from})
	}
	s.record.Intervals[len(s.record.Intervals)-1].Calls++
	if run.Order != "" {
		run.AtMs = int(now.UnixMilli())
		s.record.Orders = append(s.record.Orders, run)
	}
}

// failCalls fails all calls that are in flight or start before until.
func (s *Server) failCalls(until time.Time) {
	s.failures++
	s.downUntil = until
}

// Failed reports whether the server was overloaded or restarted after it
// admitted the call.
func (s *Server) Failed(now time.Time, call admission) bool {
	return s.failures > call.failures || now.Before(s.downUntil)
}

// Finish frees the slot of a call and counts its result.
func (s *Server) Finish(result callResult) {
	s.inFlight--
	switch result.(type) {
	case cancelled:
		s.record.Cancelled++
	case expired:
		s.record.Expired++
	case completed, failed:
	}
}

// Connect reports whether the server accepts another connection, and counts the
// connection as accepted or refused.
func (s *Server) Connect() bool {
	if s.connections >= s.settings.Connections {
		s.record.ConnectionsRefused++

		return false
	}
	s.connections++
	s.record.MostConnections = max(s.record.MostConnections, s.connections)

	return true
}

// Disconnect removes an accepted connection from the count.
func (s *Server) Disconnect() {
	s.connections--
}

// RecordProbe counts a received health probe.
func (s *Server) RecordProbe() {
	s.record.Probes++
}

// Inject starts a fault, which replaces the current one.
func (s *Server) Inject(now time.Time, fault schema.BackendFault) {
	s.fault = fault
	s.faultUntil = now.Add(time.Duration(fault.ForMs) * time.Millisecond)
	if fault.Kind == faultRestart {
		s.failCalls(s.faultUntil)
		s.coldUntil = s.faultUntil.Add(s.settings.ColdStart)
	}
}

// Report returns the load report, which may be up to settings.ReportLag old.
// During a lie fault it holds the fault's value as the in-flight count.
func (s *Server) Report(now time.Time) schema.LoadReport {
	fault := s.activeFault(now)
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= s.settings.ReportLag {
		s.report = schema.LoadReport{InFlight: s.inFlight, Slots: s.settings.Slots, Leaving: fault.Kind == faultDrain}
		s.reportedAt = now
	}
	report := s.report
	if fault.Kind == faultLie {
		report.InFlight = fault.Value
	}

	return report
}

// Record returns the calls, orders, probes and connections since the start.
func (s *Server) Record(now time.Time) schema.RunRecord {
	record := s.record
	record.UpMs = int(now.Sub(s.started).Milliseconds())
	record.InFlight = s.inFlight
	record.Intervals = slices.Clone(record.Intervals)
	record.Orders = slices.Clone(record.Orders)

	return record
}

// activeFault returns the current fault, or the zero fault if there is none.
func (s *Server) activeFault(now time.Time) schema.BackendFault {
	if now.Before(s.faultUntil) {
		return s.fault
	}

	return schema.BackendFault{}
}

// isCold reports whether the server has a reduced capacity, because it started
// recently or because of a cold fault.
func (s *Server) isCold(now time.Time) bool {
	return now.Before(s.coldUntil) || s.activeFault(now).Kind == faultCold
}

// duration draws a random service time for a call at the current speed.
func (s *Server) duration(now time.Time, fault schema.BackendFault) time.Duration {
	s.shift(now)
	factor := s.slowdown
	switch fault.Kind {
	case faultFreeze:
		return s.faultUntil.Sub(now)
	case faultLate:
		return time.Duration(fault.Value) * time.Millisecond
	case faultFailFast:
		return 0
	case faultStraggle:
		factor = fault.Value
	}
	if s.isCold(now) && s.inFlight > coldSlots {
		factor *= coldFactor
	}
	mean := float64(s.settings.ServiceTime) * float64(factor)

	return time.Duration(mean * (0.5 + 0.5*s.random.ExpFloat64()))
}

// shift draws a new speed if shiftAt has passed.
func (s *Server) shift(now time.Time) {
	if !s.settings.Shifting || now.Before(s.shiftAt) {
		return
	}
	s.slowdown = slowdownFactors[s.random.IntN(len(slowdownFactors))]
	s.shiftAt = now.Add(time.Duration(float64(s.settings.ShiftInterval) * s.random.ExpFloat64()))
}
