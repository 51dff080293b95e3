// Package rollout decides which share of a service's calls goes to the backend servers
// of the version that an order names, and when the order is completed or rolled back.
// A Rollout takes events in and returns actions. It holds no clock, socket, goroutine or
// lock; package placement owns one for each order and chooses the backend servers.
// Change this package to change how a bad version is recognised and how fast a good one
// takes over.
//
// The side of a call is the target, which are the backend servers of the version that the
// order names, or the others. A rollout takes these phases at each host:
//
//   - Unknown: the recorded state is not known, and no call goes to the target.
//   - Observing: half of Limits.Share goes to the target.
//   - Ramping: the evidence suffices, and the share grows in steps that all hosts take
//     together.
//   - Moved: all calls go to the target. Completion is recorded when all hosts report this
//     and no attempt on the others is in flight.
//   - Completed or rolled back: final. Only the store makes a state final, but each host
//     stops sending to a bad version before that is recorded.
package rollout

import (
	"math"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// observingShare is the part of Limits.Share that the target gets before the evidence
	// suffices. The rest is reserved for what hosts count differently, such as calls whose
	// attempts never left.
	observingShare = 0.5
	// evidenceTime is the part of the duration before which the share does not grow: some
	// versions turn bad after a while.
	evidenceTime = 0.65
	// lateObservingShare replaces observingShare after lateEvidenceTime while the evidence does
	// not suffice, and lateEvidenceTime is a part of the duration.
	lateObservingShare = 0.75
	lateEvidenceTime   = 0.4
	// stepTime is the part of the duration between two steps of the share.
	stepTime = 0.05
	// lateStepTime is the part of the remaining time that replaces it shortly before the
	// deadline.
	lateStepTime = 0.2
	// quietTime is how long a host has had no attempt in flight on the others before it
	// reports so.
	quietTime = 300 * time.Millisecond
	// capacityMargin is the multiple of the attempts in flight that the slots of the target
	// must reach before a step.
	capacityMargin = 1.25
	// inFlightTimeConstant is the time in which the weight of an observed number of attempts
	// in flight falls to 37%.
	inFlightTimeConstant = 500 * time.Millisecond
	// milli converts a share to thousandths.
	milli = 1000
)

// rampShares are the shares after observing.
var rampShares = []float64{0.15, 0.4, 1}

// Rollout is the state of one order at one host.
type Rollout struct {
	// Order is the order.
	Order schema.RolloutOrder
	// Host is the name of this host.
	Host string
	// Limits bound the exposure to a bad version.
	Limits Limits
	// Reason is why the phase or the share changed last.
	Reason Reason

	begunAt time.Time
	// state is final as soon as this host acts by it, also if that is not recorded yet.
	state schema.RolloutState
	// recorded says that the state is that of the store. While running, it says that this
	// host knows that the store had no final state.
	recorded bool
	// late says that the evidence did not suffice after lateEvidenceTime.
	late bool
	// step is 0 while observing, and then the number of entries of rampShares reached.
	step   int
	stepAt time.Time
	// sending says that calls may go to the target.
	sending  bool
	evidence *evidence
	credits  *credits
	peers    map[string]peer
	// members are the hosts that served since the order began, by when they last did.
	members map[string]time.Time
	serving []string
	load    Load
	// inFlight is the smoothed number of attempts in flight to the service.
	inFlight float64
	tickedAt time.Time
	// busyAt is when this host last had an attempt in flight on the others.
	busyAt  time.Time
	writing recording
	actions []Action
}

// New returns the rollout of an order that this host has just learned of.
func New(now time.Time, order schema.RolloutOrder, host string, limits Limits, serving []string) *Rollout {
	r := &Rollout{
		Order: order, Host: host, Limits: limits, Reason: ReasonOrdered,
		begunAt: now, state: schema.RolloutStateRunning, evidence: newEvidence(), credits: newCredits(),
		peers: map[string]peer{}, members: map[string]time.Time{}, busyAt: now,
	}
	r.setServing(now, serving)

	return r
}

// Step handles one event and returns the resulting actions, which are valid until the next
// step.
func (r *Rollout) Step(now time.Time, event Event) []Action {
	r.actions = r.actions[:0]
	switch event := event.(type) {
	case Answered:
		r.answered(now, event)
	case Reported:
		r.reported(now, event)
	case Recorded:
		r.recordEnded(now, event)
	case ServingChanged:
		r.setServing(now, event.Hosts)
	case Resumed:
		clear(r.peers)
		r.writing.confirmedAt = time.Time{}
	case Ticked:
		r.tick(now, event.Load)
	}
	r.updateSending(now)

	return r.actions
}

// Phase returns the phase.
func (r *Rollout) Phase() Phase {
	switch {
	case r.state == schema.RolloutStateCompleted:
		return PhaseCompleted
	case r.state == schema.RolloutStateRolledBack:
		return PhaseRolledBack
	case !r.recorded:
		return PhaseUnknown
	case r.step == 0:
		return PhaseObserving
	case r.step < len(rampShares):
		return PhaseRamping
	default:
		return PhaseMoved
	}
}

// Final reports whether no call goes to the others, or none to the target, from now on.
func (r *Rollout) Final() bool {
	return r.state != schema.RolloutStateRunning
}

// Recorded reports whether the state is final and that of the store, so that nothing changes
// any more.
func (r *Rollout) Recorded() bool {
	return r.Final() && r.recorded
}

// Share returns the share of the calls that go to the target. It is below that of the step
// if the warm slots of the target cannot carry it.
func (r *Rollout) Share() float64 {
	switch {
	case r.state == schema.RolloutStateCompleted:
		return 1
	case !r.sending:
		return 0
	case r.step > 0 && float64(r.load.TargetSlots) < r.shareOf(r.step)*r.inFlight:
		return float64(r.load.TargetSlots) / r.inFlight
	case r.step == 0 && r.late:
		return min(lateObservingShare*r.Limits.Share, r.shareOf(1)-1.0/milli)
	default:
		return r.shareOf(r.step)
	}
}

// shareOf returns the share of a step.
func (r *Rollout) shareOf(step int) float64 {
	observing := observingShare * r.Limits.Share
	if step == 0 {
		return observing
	}

	return max(rampShares[step-1], observing)
}

// Report returns what the other hosts are told.
func (r *Rollout) Report(now time.Time, serviceHash int) schema.RolloutReport {
	report := schema.RolloutReport{
		ServiceHash: serviceHash, OrderVersion: r.Order.OrderVersion, State: r.state, Recorded: r.recorded,
		ShareMilli: toMilli(r.Share()), OtherInFlight: r.load.OtherInFlight,
	}
	if now.Sub(r.busyAt) < quietTime {
		report.OtherInFlight = max(report.OtherInFlight, 1)
	}
	if !r.Final() {
		report.Evidence = r.evidence.report()
	}

	return report
}

func toMilli(share float64) int {
	return int(math.Round(share * milli))
}

// answered counts an answer. Only one of the target can make it bad.
func (r *Rollout) answered(now time.Time, event Answered) {
	if r.Final() {
		return
	}
	r.evidence.count(event)
	if event.Target && (event.Failed || event.Slow) {
		r.judge(now)
	}
}

// judge rolls back if the evidence is against the target.
func (r *Rollout) judge(now time.Time) {
	if r.Final() {
		return
	}
	if reason, is := r.evidence.bad(); is {
		r.conclude(now, schema.RolloutStateRolledBack, false, reason)
	}
}

// conclude adopts a final state. A recorded one is never replaced.
func (r *Rollout) conclude(now time.Time, state schema.RolloutState, recorded bool, reason Reason) {
	if r.Recorded() {
		return
	}
	changed := r.state != state
	r.state, r.recorded = state, recorded
	if changed {
		r.change(now, reason)
	}
}

// change emits that the phase or the share changed.
func (r *Rollout) change(now time.Time, reason Reason) {
	r.Reason = reason
	r.sending = r.maySend(now)
	r.actions = append(r.actions, Changed{Phase: r.Phase(), Share: r.Share(), Reason: reason, Evidence: r.evidence.total})
}

// reported adopts the report of another host.
func (r *Rollout) reported(now time.Time, event Reported) {
	report := event.Report
	if report.OrderVersion != r.Order.OrderVersion {
		return
	}
	r.peers[event.Host] = peer{
		at: now, share: report.ShareMilli, otherInFlight: report.OtherInFlight,
		ramping: r.peers[event.Host].ramping || report.ShareMilli >= toMilli(r.shareOf(1)),
	}
	switch {
	case report.State == schema.RolloutStateRolledBack, report.State == schema.RolloutStateCompleted && report.Recorded:
		if !r.Final() || report.Recorded {
			r.conclude(now, report.State, report.Recorded, ReasonReported)
		}
	case r.Final():
	default:
		r.evidence.adopt(event.Host, report.Evidence)
		r.judge(now)
		if report.Recorded && !r.Final() && !r.recorded {
			r.recorded = true
			r.change(now, ReasonReported)
		}
	}
}

// tick takes the next step if it is due, or concludes at the deadline, and records.
func (r *Rollout) tick(now time.Time, load Load) {
	r.observeLoad(now, load)
	if !r.Final() {
		r.retain(now)
		r.evidence.snapshot(now)
		r.updateSending(now)
		r.judge(now)
		r.advance(now)
	}
	r.record(now)
}

// observeLoad adopts the load of the service.
func (r *Rollout) observeLoad(now time.Time, load Load) {
	weight := 1.0
	if !r.tickedAt.IsZero() {
		weight = -math.Expm1(-float64(now.Sub(r.tickedAt)) / float64(inFlightTimeConstant))
	}
	r.inFlight += weight * (float64(load.InFlight) - r.inFlight)
	r.load, r.tickedAt = load, now
	if load.OtherInFlight > 0 {
		r.busyAt = now
	}
}

// updateSending starts or stops sending to the target.
func (r *Rollout) updateSending(now time.Time) {
	if sends := r.maySend(now); sends != r.sending && !r.Final() {
		reason := ReasonHeard
		if !sends {
			reason = ReasonCutOff
		}
		if !r.load.Registered {
			reason = ReasonCapacity
		}
		r.change(now, reason)
	}
}

// maySend reports whether calls may go to the target: this host must know that there is no
// final state, and learn of a rollback in time.
func (r *Rollout) maySend(now time.Time) bool {
	if r.Final() || !r.recorded || !r.load.Registered {
		return false
	}

	return r.hearsMajority(now) || now.Sub(r.writing.confirmedAt) < r.Limits.Within/2
}

// advance takes the next step of the share, or rolls back at the deadline if the target was
// never good enough anywhere.
func (r *Rollout) advance(now time.Time) {
	if r.Final() || !r.recorded || !r.hearsMajority(now) {
		return
	}
	duration := time.Duration(r.Order.DurationMs) * time.Millisecond
	elapsed := now.Sub(r.begunAt)
	if elapsed >= duration {
		if r.step == 0 && !r.anyPeerRamping() {
			r.conclude(now, schema.RolloutStateRolledBack, false, ReasonDeadline)
		}

		return
	}
	if r.step == 0 && !r.late && elapsed >= time.Duration(lateEvidenceTime*float64(duration)) {
		r.late = !r.evidence.good(r.shareOf(0))
	}
	if r.step == len(rampShares) || !r.sending || !r.stepDue(now, elapsed, duration) {
		return
	}
	next := r.shareOf(r.step + 1)
	if !r.allReport(now, toMilli(r.shareOf(r.step))) || float64(r.load.TargetSlots) < max(capacityMargin*next*r.inFlight, 1) {
		return
	}
	r.step++
	r.stepAt = now
	r.change(now, ReasonEvidence)
}

// stepDue reports whether time and evidence allow the next step. A host that learned of the
// order later than others, or restarted, follows them.
func (r *Rollout) stepDue(now time.Time, elapsed, duration time.Duration) bool {
	if r.step > 0 {
		pause := min(stepTime*float64(duration), lateStepTime*float64(duration-elapsed))

		return now.Sub(r.stepAt) >= time.Duration(pause) || r.othersReport(now, toMilli(r.shareOf(r.step+1)))
	}
	timely := elapsed >= time.Duration(evidenceTime*float64(duration)) || r.anyPeerRamping()

	return timely && r.evidence.good(r.shareOf(0))
}

// mayComplete reports whether no host needs the others any more.
func (r *Rollout) mayComplete(now time.Time) bool {
	return r.step == len(rampShares) && r.hearsMajority(now) && now.Sub(r.busyAt) >= quietTime && r.allReport(now, milli) &&
		r.allPeers(now, func(other peer) bool { return other.otherInFlight == 0 })
}
