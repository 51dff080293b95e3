package backend

import (
	"math"
	"time"
)

const (
	// recentAnswer is the age below which the last answer makes a probe
	// unnecessary.
	recentAnswer = time.Second
	// probeInterval is the minimum time between two checks for due probes.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds the duration of a probe.
	probeTimeout = time.Second
	// probeEpsilon is the tolerance for rounding errors of summed fractions.
	probeEpsilon = 1e-9
	// probeRatePeriod is the period in seconds to which a probe rate refers.
	probeRatePeriod = 1000
)

// ProbeBudget limits the probes of one backend server. It starts empty, so that
// a host that is replaced often cannot exceed its share.
type ProbeBudget struct {
	// Earned is the number of probes that may start, at most one.
	Earned float64
	// Running reports whether a probe is in flight.
	Running bool
	// Started counts the probes that were started.
	Started int

	earnedAt time.Time
}

// earn adds the budget for the time since the last call. The rate is the number
// of probes in 1000 s that one backend server receives from all hosts together.
func (b *ProbeBudget) earn(now time.Time, rateMilli, shares, hosts int) {
	elapsed := now.Sub(b.earnedAt)
	if b.earnedAt.IsZero() || elapsed < 0 {
		b.earnedAt = now

		return
	}
	b.earnedAt = now
	rate := float64(rateMilli) / probeRatePeriod * float64(min(shares, hosts)) / float64(hosts)
	b.Earned = math.Min(1, b.Earned+rate*elapsed.Seconds())
}

// start reports whether a probe may start and, if so, takes it from the budget.
func (b *ProbeBudget) start() bool {
	if b.Running || b.Earned < 1-probeEpsilon {
		return false
	}
	b.Earned--
	b.Running = true
	b.Started++

	return true
}

// earnProbes refills the probe budget of every backend server.
func (p *Pool) earnProbes(now time.Time) {
	for _, cell := range p.orderedCells {
		for _, server := range cell.Servers {
			server.Probes.earn(now, server.ProbeRateMilli, p.Shares, p.Options.Hosts)
		}
	}
}

// probe starts probes of idle backend servers without a recent answer, within
// their budgets.
func (p *Pool) probe(now time.Time) {
	if now.Sub(p.probedAt) < probeInterval {
		return
	}
	p.probedAt = now
	p.earnProbes(now)
	for _, cell := range p.orderedCells {
		for _, server := range cell.Servers {
			idle := server.InFlight == 0 && now.Sub(server.ObservedAt) >= recentAnswer
			if server.Serving() && idle && server.Probes.start() {
				p.actions = append(p.actions, StartProbe{Address: server.Address, Timeout: probeTimeout})
			}
		}
	}
}

// probeEnded processes the result of a probe. A failed probe counts as an
// error. A successful one changes nothing, because health reports lag behind
// the state of the backend server and can be wrong.
func (p *Pool) probeEnded(now time.Time, event ProbeEnded) {
	server, ok := p.servers[event.Address]
	if !ok {
		return
	}
	server.Probes.Running = false
	p.removeUnused(server)
	cell, owned := p.Cells[server.Cell]
	if event.Healthy || !owned || !server.Owned {
		return
	}
	server.recordFailure(now, probeTimeout, cell.Latency.Median)
	if !p.Options.WithoutEjection {
		cell.ejectFailing(now, server)
	}
}
