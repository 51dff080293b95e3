package rollout

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is an input of Rollout.Step.
//
//sumtype:decl
type Event interface{ event() }

// Answered reports an attempt whose result counts as evidence.
type Answered struct {
	// Route is the hash of the name of the call's route.
	Route int
	// Target says that the backend server has the target version.
	Target bool
	// Cold says that the backend server was cold when the attempt began, or its machine slow,
	// so that the answer is no evidence of slowness.
	Cold bool
	// Failed says that the answer was a failure, or was lost.
	Failed bool
	// Slow says that the work took several times as long as usual.
	Slow bool
}

// Reported carries the report of another host on the order.
type Reported struct {
	// Host is the name of the other host.
	Host string
	// Report is what it reported.
	Report schema.RolloutReport
}

// Recorded reports the end of a Record action.
type Recorded struct {
	// State is the state that the store has now.
	State schema.RolloutState
	// Failed says that the store could not be read or written.
	Failed bool
}

// ServingChanged replaces the hosts that serve callers.
type ServingChanged struct {
	// Hosts are the names of the serving hosts, including this one if it serves.
	Hosts []string
}

// Resumed says that this host was frozen, so that what it heard is out of date.
type Resumed struct{}

// Ticked says that time has passed.
type Ticked struct {
	// Load is the load of the service.
	Load Load
}

// Load is the load of a service as this host sees it.
type Load struct {
	// Registered says that a backend server of the target version is registered.
	Registered bool
	// TargetSlots is the number of slots of the warm, usable backend servers of the
	// target version.
	TargetSlots int
	// InFlight is the number of attempts in flight to the service, of all hosts.
	InFlight int
	// OtherInFlight is the number of this host's attempts in flight on backend servers of
	// other versions.
	OtherInFlight int
}

func (Answered) event()       {}
func (Reported) event()       {}
func (Recorded) event()       {}
func (ServingChanged) event() {}
func (Resumed) event()        {}
func (Ticked) event()         {}

// Action is an output of Rollout.Step.
//
//sumtype:decl
type Action interface{ action() }

// Record writes a state to the store unless it has a final one already. It ends with
// Recorded.
type Record struct {
	// State is the state to write; running only ensures that there is one.
	State schema.RolloutState
}

// Changed says that the phase or the share changed.
type Changed struct {
	// Phase is the phase from now on.
	Phase Phase
	// Share is the share of the calls that go to the target from now on.
	Share float64
	// Reason says why.
	Reason Reason
	// Evidence are the answers of all hosts to the calls of all routes.
	Evidence Counts
}

func (Record) action()  {}
func (Changed) action() {}

// Limits bound the exposure of callers to a version that may be bad.
type Limits struct {
	// Share is the largest share of the calls of a service that may reach a bad version.
	Share float64
	// Slack is the number of calls beyond that share. No host uses it.
	Slack float64
	// Within is the time after which no call may reach a version that is known to be bad.
	Within time.Duration
}

// Phase is the phase of a rollout at one host. Its values leave the process and stay
// stable.
type Phase string

// The phases.
const (
	// PhaseUnknown says that this host does not know the recorded state yet.
	PhaseUnknown Phase = "unknown"
	// PhaseObserving says that a small share of the calls goes to the target.
	PhaseObserving Phase = "observing"
	// PhaseRamping says that the share of the target grows.
	PhaseRamping Phase = "ramping"
	// PhaseMoved says that all calls go to the target.
	PhaseMoved Phase = "moved"
	// PhaseCompleted says that completion is recorded.
	PhaseCompleted Phase = "completed"
	// PhaseRolledBack says that no call goes to the target any more.
	PhaseRolledBack Phase = "rolled_back"
)

// Reason says why a phase or a share changed. Its values leave the process and stay
// stable.
type Reason string

// The reasons.
const (
	// ReasonOrdered says that the order is new to this host.
	ReasonOrdered Reason = "ordered"
	// ReasonRecorded says that the store has the state.
	ReasonRecorded Reason = "recorded"
	// ReasonReported says that another host reported the state.
	ReasonReported Reason = "reported"
	// ReasonFailures says that the target fails too often.
	ReasonFailures Reason = "failures"
	// ReasonSlow says that the target is slow too often.
	ReasonSlow Reason = "slow"
	// ReasonEvidence says that the evidence suffices for a larger share.
	ReasonEvidence Reason = "evidence"
	// ReasonDeadline says that the duration of the order passed before the evidence
	// sufficed.
	ReasonDeadline Reason = "deadline"
	// ReasonCutOff says that this host hears too few others to learn of a rollback.
	ReasonCutOff Reason = "cut_off"
	// ReasonHeard says that this host hears enough others again.
	ReasonHeard Reason = "heard"
	// ReasonCapacity says that the backend servers of the target cannot carry more.
	ReasonCapacity Reason = "capacity"
)
