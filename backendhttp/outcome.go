package backendhttp

import "github.com/baobabdrum/baobabdrum/caller"

// The words for outcomes in HeaderOutcome.
const (
	// OutcomeAnswered stands for caller.Answered.
	OutcomeAnswered = "answered"
	// OutcomeNotRun stands for caller.NotRun.
	OutcomeNotRun = "not_run"
	// OutcomeUnknown stands for caller.Unknown.
	OutcomeUnknown = "unknown"
)

// decodeOutcome decodes the outcome that another entry host stated, or nil.
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
