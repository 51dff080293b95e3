package backendhttp

import "github.com/baobabdrum/baobabdrum/caller"

// Values of HeaderOutcome.
const (
	// OutcomeAnswered is the value for caller.Answered.
	OutcomeAnswered = "answered"
	// OutcomeNotRun is the value for caller.NotRun.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown is the value for caller.Unknown.
	OutcomeUnknown = "unknown"
)

// decodeOutcome returns the outcome that another entry host stated, or nil if the
// name is not a value of HeaderOutcome.
func decodeOutcome(name, reason string) caller.Outcome {
	switch name {
	case OutcomeAnswered:
		return caller.Answered{Reason: caller.Reason(reason)}
	case OutcomeNotRun:
		return caller.NotRun{Reason: caller.Reason(reason)}
	case OutcomeUnknown:
		return caller.Unknown{Reason: caller.Reason(reason)}
	default:
		return nil
	}
}
