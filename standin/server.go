package standin

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Kinds of faults of a backend server.
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
	// coldSlots is the number of calls that a cold server runs at normal speed.
	coldSlots = 1
	// coldFactor stretches the calls of a cold server beyond coldSlots.
	coldFactor = 3
	// downtime is how long a cold server that fell over answers nothing.
	downtime = 500 * time.Millisecond
	// intervalLength is the length of a schema.CallInterval.
	intervalLength = 100 * time.Millisecond
)

// slowdownFactors are the factors by which the service time is stretched, each as likely
// as it stands here often.
var slowdownFactors = []int{1, 1, 1, 1, 1, 1, 1, 3, 3, 10}

// callResult is how a call ended at the server: completed, cancelled, expired or
// failed.
//
//sumtype:decl
type callResult interface{ callResult() }

// completed says that the answer was sent.
type completed struct{}

// cancelled says that the connection was closed before the answer was sent.
type cancelled struct{}

// expired says that the deadline passed.
type expired struct{}

// failed says that the server fell over or restarted while the call ran.
type failed struct{}

func (completed) callResult() {}
func (cancelled) callResult() {}
func (expired) callResult()   {}
func (failed) callResult()    {}

// Server is the state of a backend server stand-in. One duty owns it.
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

// NewServer returns an idle server at normal speed, cold if the settings say so.
func NewServer(now time.Time, settings schema.BackendSettings, random *rand.Rand) *Server {
	return &Server{
		settings: settings, random: random, slowdown: 1, started: now, coldUntil: now.Add(settings.ColdStart),
		record: schema.RunRecord{Address: settings.Address, Intervals: []schema.CallInterval{}, Orders: []schema.Run{}},
	}
}

// Admit starts a call or sheds it. A server that restarts does neither.
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

// recordStart records the start of a call.
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

// failCalls breaks every call that runs or starts before the given time.
func (s *Server) failCalls(until time.Time) {
	s.failures++
	s.downUntil = until
}

// Failed reports whether the server fell over or restarted since the call was
// admitted.
func (s *Server) Failed(now time.Time, call admission) bool {
	return s.failures > call.failures || now.Before(s.downUntil)
}

// Finish ends a call and frees its slot.
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

// Connect reports whether another connection is accepted, and counts it.
func (s *Server) Connect() bool {
	if s.connections >= s.settings.Connections {
		s.record.ConnectionsRefused++

		return false
	}
	s.connections++
	s.record.MostConnections = max(s.record.MostConnections, s.connections)

	return true
}

// Disconnect counts an accepted connection as closed.
func (s *Server) Disconnect() {
	s.connections--
}

// RecordProbe counts a probe.
func (s *Server) RecordProbe() {
	s.record.Probes++
}

// Inject starts a fault, which replaces the present one.
func (s *Server) Inject(now time.Time, fault schema.BackendFault) {
	s.fault = fault
	s.faultUntil = now.Add(time.Duration(fault.ForMs) * time.Millisecond)
	if fault.Kind == faultRestart {
		s.failCalls(s.faultUntil)
		s.coldUntil = s.faultUntil.Add(s.settings.ColdStart)
	}
}

// Report returns what the server says about its load, as old as the settings
// permit and wrong during a lie.
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

// Record returns the evidence of what ran.
func (s *Server) Record(now time.Time) schema.RunRecord {
	record := s.record
	record.UpMs = int(now.Sub(s.started).Milliseconds())
	record.InFlight = s.inFlight
	record.Intervals = slices.Clone(record.Intervals)
	record.Orders = slices.Clone(record.Orders)

	return record
}

// activeFault returns the fault in effect, or one without a kind.
func (s *Server) activeFault(now time.Time) schema.BackendFault {
	if now.Before(s.faultUntil) {
		return s.fault
	}

	return schema.BackendFault{}
}

// isCold reports whether the server carries only a little work, after its start
// or because it turned cold.
func (s *Server) isCold(now time.Time) bool {
	return now.Before(s.coldUntil) || s.activeFault(now).Kind == faultCold
}

// duration draws how long a call takes at the present speed.
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

// shift changes the speed when its time has come.
func (s *Server) shift(now time.Time) {
	if !s.settings.Shifting || now.Before(s.shiftAt) {
		return
	}
	s.slowdown = slowdownFactors[s.random.IntN(len(slowdownFactors))]
	s.shiftAt = now.Add(time.Duration(float64(s.settings.ShiftInterval) * s.random.ExpFloat64()))
}
