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
	faultShed     = "shed"
	faultCold     = "cold"
	faultDrain    = "drain"
	faultCut      = "cut"
	faultLate     = "late"
	faultLie      = "lie"
	faultFailFast = "fail_fast"
)

// coldSlots is the number of calls that a cold backend server runs at once.
const coldSlots = 1

// speeds are the factors by which the service time is stretched, each as likely
// as it stands here often.
var speeds = []int{1, 1, 1, 1, 1, 1, 1, 3, 3, 10}

// Server is the state of a backend server stand-in. One duty owns it.
type Server struct {
	settings schema.BackendSettings
	random   *rand.Rand
	inFlight int
	factor   int
	shiftAt  time.Time
	fault    schema.BackendFault
	until    time.Time
	record   schema.RunRecord
}

// NewServer returns an idle server at normal speed.
func NewServer(settings schema.BackendSettings, random *rand.Rand) *Server {
	return &Server{
		settings: settings, random: random, factor: 1,
		record: schema.RunRecord{Address: settings.Address, Orders: []schema.Run{}},
	}
}

// Admit starts a call or sheds it.
func (s *Server) Admit(now time.Time, run schema.Run) admission {
	fault := s.active(now)
	slots := s.settings.Slots
	if fault.Kind == faultCold {
		slots = coldSlots
	}
	if s.inFlight >= slots || fault.Kind == faultShed || fault.Kind == faultDrain {
		s.record.Shed++

		return admission{shed: true}
	}
	s.inFlight++
	s.record.Calls++
	s.record.LastCallAtMs = int(now.UnixMilli())
	s.record.MostInFlight = max(s.record.MostInFlight, s.inFlight)
	if run.Order != "" {
		run.AtMs = int(now.UnixMilli())
		s.record.Orders = append(s.record.Orders, run)
	}

	return admission{fault: fault, took: s.duration(now, fault)}
}

// Finish ends a call.
func (s *Server) Finish() admission {
	s.inFlight--

	return admission{}
}

// Probed counts a probe.
func (s *Server) Probed() admission {
	s.record.Probes++

	return admission{}
}

// Inject starts a fault, which replaces the present one.
func (s *Server) Inject(now time.Time, fault schema.BackendFault) admission {
	s.fault = fault
	s.until = now.Add(time.Duration(fault.ForMs) * time.Millisecond)

	return admission{}
}

// Report returns what the server says about its load.
func (s *Server) Report(now time.Time) schema.LoadReport {
	fault := s.active(now)
	report := schema.LoadReport{InFlight: s.inFlight, Slots: s.settings.Slots, Leaving: fault.Kind == faultDrain}
	if fault.Kind == faultLie {
		report.InFlight = fault.Value
	}

	return report
}

// Record returns the evidence of what ran.
func (s *Server) Record() schema.RunRecord {
	record := s.record
	record.Orders = slices.Clone(record.Orders)

	return record
}

// active returns the fault in effect, or one without a kind.
func (s *Server) active(now time.Time) schema.BackendFault {
	if now.Before(s.until) {
		return s.fault
	}

	return schema.BackendFault{}
}

// duration draws how long a call takes at the present speed.
func (s *Server) duration(now time.Time, fault schema.BackendFault) time.Duration {
	s.shift(now)
	switch fault.Kind {
	case faultFreeze:
		return s.until.Sub(now)
	case faultLate:
		return time.Duration(fault.Value) * time.Millisecond
	case faultFailFast:
		return 0
	}
	mean := float64(s.settings.ServiceTime) * float64(s.factor)

	return time.Duration(mean * (0.5 + 0.5*s.random.ExpFloat64()))
}

// shift changes the speed when its time has come.
func (s *Server) shift(now time.Time) {
	if !s.settings.Shifting || now.Before(s.shiftAt) {
		return
	}
	s.factor = speeds[s.random.IntN(len(speeds))]
	s.shiftAt = now.Add(time.Duration(float64(s.settings.ShiftInterval) * s.random.ExpFloat64()))
}
