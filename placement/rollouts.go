package placement

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// slowProgressFactor is the progress, relative to the usual work, from which an answer
	// counts as slow. Progress leaves out the slowness of the machine.
	slowProgressFactor = 2.5
	// slowMachinePace is the pace from which a machine counts as slow: its answers say nothing
	// about the speed of the version, because the progress of an attempt is credited by paces
	// that are known late.
	slowMachinePace = 1.8
	// lossInterval is the time in which the lost answers of one backend server count as one
	// failure: a backend server that dies loses all its answers at once, whatever its version.
	lossInterval = 500 * time.Millisecond
	// maxRolloutReports bounds the reports to other hosts.
	maxRolloutReports = 256
)

// serviceRollout is the rollout of a service and what remains of earlier ones.
type serviceRollout struct {
	// decision is the rollout of the order in force, or nil.
	decision *rollout.Rollout
	// began is when the order became known here.
	began time.Time
	// rejected are the targets of earlier orders that were not completed.
	rejected []string
	// lostAt is when a lost answer of a backend server last counted as a failure.
	lostAt map[string]time.Time
}

// side restricts a choice to backend servers by their version; nil allows all.
//
//sumtype:decl
type side interface{ side() }

// freeOfVersion allows the backend servers of one version that have a free slot.
type freeOfVersion struct{ version string }

// exceptVersion allows the backend servers of all other versions.
type exceptVersion struct{ version string }

func (freeOfVersion) side() {}
func (exceptVersion) side() {}

// onSide reports whether a side includes the backend server.
func onSide(now time.Time, of side, server *Server) bool {
	switch of := of.(type) {
	case freeOfVersion:
		return server.Version == of.version && server.TotalInFlight(now) < server.SlotLimit()
	case exceptVersion:
		return server.Version != of.version
	}

	return true
}

// divides reports whether calls are divided between the target and the others.
func (r *serviceRollout) divides() bool {
	return r != nil && r.decision != nil && !r.decision.Final()
}

// chooseSide returns the candidate for a call whose service is being rolled out, or nil. The
// first attempt goes to the target if its share allows it and a slot is free there. Retries
// and hedges go to the others, except while all calls go to the target.
func (p *Placer) chooseSide(now time.Time, c *call) *candidate {
	decision := c.service.rollout.decision
	target, moved := decision.Order.Target, decision.Share() >= 1
	first := c.sends == 0 && len(c.inFlight) == 0
	if moved || first && decision.TakesTarget(Hash(c.route.Name)) {
		if best := p.cheapest(now, c, freeOfVersion{version: target}, false); best != nil {
			// Failures do not divert calls from the target: they are the evidence.
			best.expected, _ = best.server.Expected(now, c.route.Work, p.slowdowns)
			if moved || best.expected <= c.targetDeadline.Sub(now) {
				return best
			}
		}
	}
	if best := p.cheapest(now, c, exceptVersion{version: target}, false); best != nil {
		return best
	}

	return p.cheapest(now, c, exceptVersion{version: target}, true)
}

// countRolloutSend counts an attempt that starts.
func (s *service) countRolloutSend(c *call, server *Server) {
	if s.rollout.divides() {
		decision := s.rollout.decision
		decision.Sent(Hash(c.route.Name), server.Version == decision.Order.Target, c.sends == 0 && c.unsentTries == 0)
	}
}

// onSlowMachine reports whether the backend server reports that its machine is slow now. A
// pace that is estimated from answers says the same of a slow version.
func (s *Server) onSlowMachine() bool {
	return !s.Unreported && s.Pace > slowMachinePace
}

// countEvidence passes the result of an attempt to the rollout of its service, unless it says
// nothing about the version.
func (p *Placer) countEvidence(now time.Time, ended *attempt, result Result) {
	of := ended.call.service
	if !of.rollout.divides() || ended.started.Before(of.rollout.began) {
		return
	}
	p.creditProgress(now, ended)
	answered := rollout.Answered{
		Route: Hash(ended.call.route.Name), Target: ended.server.Version == of.rollout.decision.Order.Target, Cold: ended.cold || ended.slowMachine || ended.server.onSlowMachine(),
		Slow: float64(ended.progress) > slowProgressFactor*float64(ended.call.route.Work),
	}
	switch result := result.(type) {
	case Whole:
		answered.Failed = result.Status >= http.StatusInternalServerError
	case Cut:
		lostAt, lost := of.rollout.lostAt[ended.server.ID]
		if ended.cancelled || lost && now.Sub(lostAt) < lossInterval {
			return
		}
		of.rollout.lostAt[ended.server.ID] = now
		answered.Failed = true
	case Cancelled:
		// An attempt that was slow already is usually cancelled because of that.
		if !answered.Slow {
			return
		}
	case Refused, Misdirected, Unsent:
		return
	}
	p.stepRollout(now, of, answered)
}

// stepRollout passes an event to the rollout of a service and carries out the actions.
func (p *Placer) stepRollout(now time.Time, of *service, event rollout.Event) {
	decision := of.rollout.decision
	if decision == nil {
		return
	}
	order, changed := decision.Order, false
	for _, action := range decision.Step(now, event) {
		switch action := action.(type) {
		case rollout.Record:
			p.emit(RecordRollout{Service: order.Service, Target: order.Target, OrderVersion: order.OrderVersion, State: action.State})
		case rollout.Changed:
			changed = true
			p.emit(RolloutChanged{
				Service: order.Service, Target: order.Target, OrderVersion: order.OrderVersion,
				Phase: action.Phase, Share: action.Share, Reason: action.Reason, Evidence: action.Evidence,
			})
		}
	}
	if changed {
		p.withhold(now, of)
	}
}

// applyOrders starts and ends rollouts after the orders or the registrations changed.
func (p *Placer) applyOrders(now time.Time, orders []schema.RolloutOrder) {
	for _, of := range p.rollouts {
		if of.rollout.decision != nil && !slices.Contains(orders, of.rollout.decision.Order) {
			of.rollout.end()
		}
	}
	for _, order := range orders {
		of := p.service(order.Service)
		if of.rollout == nil {
			of.rollout = &serviceRollout{lostAt: map[string]time.Time{}}
			p.rollouts[Hash(order.Service)] = of
		}
		if of.rollout.decision == nil {
			p.beginRollout(now, of, order)
		}
	}
	for _, of := range p.rollouts {
		p.withhold(now, of)
	}
}

// beginRollout starts the rollout of an order.
func (p *Placer) beginRollout(now time.Time, of *service, order schema.RolloutOrder) {
	of.rollout.began = now
	of.rollout.decision = rollout.New(now, order, p.Options.Host, p.Options.Rollout, p.servingNames())
	of.rollout.rejected = slices.DeleteFunc(of.rollout.rejected, func(version string) bool { return version == order.Target })
	p.emit(RolloutChanged{
		Service: order.Service, Target: order.Target, OrderVersion: order.OrderVersion,
		Phase: of.rollout.decision.Phase(), Reason: rollout.ReasonOrdered,
	})
}

// end ends the rollout of an order that is no longer in force. Its target receives no calls
// unless it was completed.
func (r *serviceRollout) end() {
	if target := r.decision.Order.Target; r.decision.Phase() != rollout.PhaseCompleted && !slices.Contains(r.rejected, target) {
		r.rejected = append(r.rejected, target)
	}
	r.decision = nil
	clear(r.lostAt)
}

// servingNames returns the names of the serving hosts.
func (p *Placer) servingNames() []string {
	names := make([]string, 0, len(p.peers.Serving))
	for _, peer := range p.peers.Serving {
		names = append(names, peer.Name)
	}

	return names
}

// passServing tells the rollouts which hosts serve.
func (p *Placer) passServing(now time.Time) {
	for _, of := range p.rollouts {
		p.stepRollout(now, of, rollout.ServingChanged{Hosts: p.servingNames()})
	}
}

// resumeRollouts tells the rollouts that this process was frozen.
func (p *Placer) resumeRollouts(now time.Time) {
	for _, of := range p.rollouts {
		p.stepRollout(now, of, rollout.Resumed{})
	}
}

// tickRollouts passes the time and the loads to the rollouts. Those whose final state is
// recorded need neither.
func (p *Placer) tickRollouts(now time.Time) {
	if len(p.rollouts) == 0 {
		return
	}
	inFlight := p.inFlightOnOthers()
	for _, of := range p.rollouts {
		switch {
		case of.rollout.decision == nil || of.rollout.decision.Recorded():
		case of.rollout.divides():
			p.stepRollout(now, of, rollout.Ticked{Load: p.rolloutLoad(now, of, inFlight[of])})
			p.withhold(now, of)
		default:
			p.stepRollout(now, of, rollout.Ticked{})
		}
	}
}

// inFlightOnOthers returns the number of this host's attempts in flight that are not on the
// target, by service.
func (p *Placer) inFlightOnOthers() map[*service]int {
	counts := map[*service]int{}
	for _, running := range p.attempts {
		of := running.call.service
		if of.rollout.divides() && running.server.Version != of.rollout.decision.Order.Target {
			counts[of]++
		}
	}

	return counts
}

// rolloutLoad returns the load of a service by the sides of its rollout.
func (p *Placer) rolloutLoad(now time.Time, of *service, otherInFlight int) rollout.Load {
	load, target := rollout.Load{OtherInFlight: otherInFlight}, of.rollout.decision.Order.Target
	for _, server := range of.servers {
		load.InFlight += server.TotalInFlight(now)
		if server.Version != target {
			continue
		}
		load.Registered = true
		if server.takesCalls(now) && !server.Cold(now) && !p.evacuated[server.DataCentre] {
			load.TargetSlots += server.SlotLimit()
		}
	}

	return load
}

// adoptRollouts applies another host's reports on the rollouts.
func (p *Placer) adoptRollouts(now time.Time, host string, reports []schema.RolloutReport) {
	for _, report := range reports {
		if of, known := p.rollouts[report.ServiceHash]; known {
			p.stepRollout(now, of, rollout.Reported{Host: host, Report: report})
		}
	}
}

// rolloutRecorded applies what the store has of a rollout.
func (p *Placer) rolloutRecorded(now time.Time, event RolloutRecorded) {
	of, known := p.rollouts[Hash(event.Service)]
	if known && of.rollout.decision != nil && of.rollout.decision.Order.OrderVersion == event.OrderVersion {
		p.stepRollout(now, of, rollout.Recorded{State: event.State, Failed: event.Failed})
	}
}

// Rollouts returns this host's reports on the rollout orders to the other hosts.
func (p *Placer) Rollouts(now time.Time) []schema.RolloutReport {
	var reports []schema.RolloutReport
	for hash, of := range p.rollouts {
		if of.rollout.decision != nil && len(reports) < maxRolloutReports {
			reports = append(reports, of.rollout.decision.Report(now, hash))
		}
	}
	slices.SortFunc(reports, func(a, b schema.RolloutReport) int { return cmp.Compare(a.ServiceHash, b.ServiceHash) })

	return reports
}

// rolloutStatuses returns the rollouts for the dump.
func (p *Placer) rolloutStatuses(now time.Time) []schema.RolloutStatus {
	list := make([]schema.RolloutStatus, 0, len(p.rollouts))
	for hash, of := range p.rollouts {
		if decision := of.rollout.decision; decision != nil {
			list = append(list, schema.RolloutStatus{
				Service: of.Name, Phase: string(decision.Phase()), Reason: string(decision.Reason),
				Hearing: decision.Hearing(now), Report: decision.Report(now, hash),
			})
		}
	}
	slices.SortFunc(list, func(a, b schema.RolloutStatus) int { return cmp.Compare(a.Service, b.Service) })

	return list
}
