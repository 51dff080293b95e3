package edge

import (
	"errors"
	"net/http"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/placement"
)

// maxLoggedBytes is the largest part of a text of a caller that is logged.
const maxLoggedBytes = 200

// SendersBusyError reports that no sender was free to run an attempt.
type SendersBusyError struct{}

// Error returns a fixed text.
func (*SendersBusyError) Error() string {
	return "all senders are busy"
}

// errSendersBusy is the cause of attempts that no sender took.
var errSendersBusy = &SendersBusyError{}

// logSend logs the backend server of an attempt and the inputs of the placement
// decision.
func (d *callsDuty) logSend(_ time.Time, request *Request, action placement.Send) {
	reason := action.Reason
	fields := []eventlog.Field{
		eventlog.Text("request_id", request.ID), eventlog.Count("attempt", uint64(action.Attempt)),
		eventlog.Text("backend_server", action.Server), eventlog.Text("address", action.Address),
		eventlog.Text("server_data_centre", reason.DataCentre), eventlog.Text("route", reason.Route), eventlog.Text("service", reason.Service),
		eventlog.Integer("version", reason.Version), eventlog.Flag("repeat", reason.Repeat), eventlog.Flag("hedge", reason.Hedge),
		eventlog.Number("pace", reason.Pace), eventlog.Duration("pace_age", reason.PaceAge),
		eventlog.Integer("in_flight", reason.InFlight), eventlog.Duration("expected", reason.Expected), eventlog.Duration("waited", reason.Waited),
	}
	if reason.Crossing {
		fields = append(fields, eventlog.Number("lateness_saved", reason.LatenessSaved))
	}
	d.log.Event(eventlog.Info, "call_sent", "sending call to backend server", fields...)
}

// logEnded logs how an attempt ended. A complete answer is not logged here,
// because the end of the call reports it.
func (d *callsDuty) logEnded(_ time.Time, attempt *Attempt, result placement.Result) {
	outcome, cause := "", error(nil)
	switch result := result.(type) {
	case placement.Whole:
		return
	case placement.Refused:
		outcome = "refused"
	case placement.Misdirected:
		outcome = "misdirected"
	case placement.Unsent:
		outcome, cause = "unsent", result.Cause
	case placement.Cut:
		outcome, cause = "cut", result.Cause
		var exhausted *memory.ExhaustedError
		if errors.As(cause, &exhausted) {
			d.metrics.Exhausted(exhausted.Use.String())
		}
	case placement.Cancelled:
		outcome = "cancelled"
	}
	fields := []eventlog.Field{
		eventlog.Text("request_id", attempt.Request.ID), eventlog.Count("attempt", uint64(attempt.Attempt)),
		eventlog.Text("backend_server", attempt.Server), eventlog.Text("outcome", outcome),
	}
	if attempt.cancelledFor != "" {
		fields = append(fields, eventlog.Text("cancelled_for", string(attempt.cancelledFor)))
		d.metrics.Cancelled(attempt.cancelledFor)
	}
	if cause != nil {
		fields = append(fields, eventlog.Text("error", cause.Error()))
	}
	d.log.Event(eventlog.Info, "attempt_failed", "attempt ended without a usable answer", fields...)
}

// logUnanswered logs a call that gets no answer because the process ends.
func (d *callsDuty) logUnanswered(call *openCall, inFlight bool) {
	fields := []eventlog.Field{eventlog.Text("request_id", call.request.ID), eventlog.Flag("in_flight", inFlight)}
	if sends := len(call.attempts); sends > 0 {
		last := call.attempts[sends-1]
		fields = append(fields, eventlog.Text("route", last.Reason.Route), eventlog.Text("service", last.Reason.Service),
			eventlog.Integer("sends", sends), eventlog.Text("backend_server", last.Server))
	}
	d.log.Event(eventlog.Warning, "call_unanswered", "process ends before the call has an outcome", fields...)
}

// logFinish logs how a call ended.
func (d *callsDuty) logFinish(now time.Time, request *Request, action placement.Finish, reply Reply) {
	outcome, reason, after := outcomeLabels(action.Outcome)
	status := 0
	if reply.Answer != nil {
		status = reply.Answer.Status
	}
	fields := []eventlog.Field{
		eventlog.Text("request_id", request.ID), eventlog.Text("outcome", outcome), eventlog.Text("reason", string(reason)),
		eventlog.Integer("status", status), eventlog.Text("route", action.Route), eventlog.Text("service", action.Service),
		eventlog.Integer("version", action.Version), eventlog.Integer("sends", action.Sends),
		eventlog.Duration("took", action.Took), eventlog.Duration("retry_after", after),
		eventlog.Integer("waiting", action.Waiting), eventlog.Integer("slots_taken", action.Taken), eventlog.Integer("slots", action.Slots),
	}
	if action.Tenant != "" {
		fields = append(fields, eventlog.Text("tenant", action.Tenant))
	}
	switch action.Outcome.(type) {
	case placement.NoRoute, placement.Unauthorised:
		fields = append(fields, d.refusalFields(now, request, action.Refusal)...)
	case placement.Answered:
		if status >= http.StatusMultipleChoices {
			fields = append(fields, eventlog.Flag("signed", reply.Signed))
		}
	case placement.NotRun, placement.Unknown, placement.Abandoned, placement.Deferred:
	}
	d.log.Event(eventlog.Info, "call_ended", "call ended", fields...)
}

// refusalFields returns what tells why a call was refused that its caller may have taken
// for a proper one: what it addressed, how long ago its head was read, and how this host
// came by the declaration.
func (d *callsDuty) refusalFields(now time.Time, request *Request, refusal placement.Refusal) []eventlog.Field {
	fields := []eventlog.Field{
		eventlog.Text("host_name", cutText(request.HostName)), eventlog.Text("path", cutText(request.Path)),
		eventlog.Duration("since_read", now.Sub(request.Deadline.Add(-request.Wait))),
		eventlog.Duration("adopted", now.Sub(d.adopted.at)), eventlog.Duration("unconfirmed", d.confirmation.age(now)),
		eventlog.Text("source", d.adopted.source),
		eventlog.Integer("routes", refusal.Routes), eventlog.Integer("keys", refusal.Keys), eventlog.Flag("withdrawn", refusal.Withdrawn),
	}
	if refusal.Withdrawn {
		fields = append(fields, eventlog.Duration("withdrawn_for", refusal.WithdrawnFor))
	}

	return fields
}

// logOutdated records that a new declaration allows calls that were refused.
func (d *callsDuty) logOutdated(action placement.RefusalsOutdated) {
	d.metrics.OutdatedRefusals(action)
	d.log.Event(eventlog.Warning, "refusals_outdated", "new declaration allows calls that were refused before",
		eventlog.Integer("version", action.Version), eventlog.Integer("no_route", action.Routes), eventlog.Integer("unknown_key", action.Keys),
		eventlog.Duration("oldest", action.Oldest), eventlog.Duration("newest", action.Newest))
}

// cutText returns the first maxLoggedBytes bytes of a text that a caller sent.
func cutText(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}

// outcomeLabels returns the label, the reason and the retry delay of an
// outcome, for logs and metrics.
func outcomeLabels(outcome placement.Outcome) (string, placement.Reason, time.Duration) {
	switch outcome := outcome.(type) {
	case placement.Answered:
		return "answered", "", 0
	case placement.NoRoute:
		return "no_route", "", 0
	case placement.Unauthorised:
		return "unauthorised", outcome.Reason, 0
	case placement.NotRun:
		return "not_run", outcome.Reason, outcome.RetryAfter
	case placement.Unknown:
		return "unknown", outcome.Reason, 0
	case placement.Abandoned:
		return "abandoned", "", 0
	case placement.Deferred:
		return "deferred", "", 0
	}

	return "", "", 0
}
