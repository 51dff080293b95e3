package backend

import (
	"math"
	"time"
)

const (
	// recentAnswer is how recent an answer must be to spare a probe.
	recentAnswer = time.Second
	// probeInterval is the shortest time between two looks for probes to start.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = time.Second
	// probeEpsilon is the error that sums of fractions may have.
	probeEpsilon = 1e-9
	// probeRatePeriod is the number of seconds that a probe rate is stated for.
	probeRatePeriod = 1000
)

// ProbeBudget is the budget of one backend server's probes. A budget starts empty,
// so that a host that is replaced often cannot spend more than its share.
type ProbeBudget struct {
	// Earned is the number of probes that may start, at most one.
	Earned float64
	// Running says that a probe has not ended.
	Running bool
	// Started counts the probes.
	Started int

	earnedAt time.Time
}

// earn adds the budget of the time that passed, in probes of one backend server
// in 1000 s from all hosts together.
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

// start spends one probe, or returns false.
func (b *ProbeBudget) start() bool {
	if b.Running || b.Earned < 1-probeEpsilon {
		return false
	}
	b.Earned--
	b.Running = true
	b.Started++

	return true
}

// earnProbes adds the budget of the time that passed to every backend server.
func (p *Pool) earnProbes(now time.Time) {
	for _, cell := range p.orderedCells {
		for _, server := range cell.Servers {
			server.Probes.earn(now, server.ProbeRateMilli, p.Shares, p.Options.Hosts)
		}
	}
}

// probe probes the backend servers without recent answers, within the budget.
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

// probeEnded learns from a probe. A failed one counts as an error; a good one moves
// nothing, because health reports lag and mislead.
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
