package placement

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// probeTimeout bounds a probe, which backend servers answer immediately
	// under any load.
	probeTimeout = 250 * time.Millisecond
	// idleProbeFactor multiplies the time between probes for a service without
	// calls.
	idleProbeFactor = 5
	// idleAfter is the time without calls after which a service counts as idle.
	idleAfter = 2 * time.Second
	// coldProbeInterval is the longest time between probes of a backend server
	// whose answers to calls report its load: only probes report that it has
	// become cold. It is also the shortest such time for a backend server that
	// does not report its load.
	coldProbeInterval = 200 * time.Millisecond
	// ejectProbeMisses is the number of consecutive unanswered probes that
	// ejects a backend server.
	ejectProbeMisses = 2
	// remoteMeasurementTimeout is the age of another host's measurement from
	// which this host measures the backend server itself.
	remoteMeasurementTimeout = 600 * time.Millisecond
	// measurementMaxAge is the age up to which a measurement is reported to
	// other hosts.
	measurementMaxAge = time.Second
)

// probe emits the due probes of the backend servers that this host measures, or
// whose measurements are missing.
func (p *Placer) probe(now time.Time) {
	if !p.isServing() {
		return // serving hosts measure
	}
	for _, service := range p.services {
		if service.Rule.HealthPath == "" {
			continue
		}
		interval := p.Options.ProbeInterval
		if now.Sub(service.lastCallAt) > idleAfter {
			interval *= idleProbeFactor
		}
		for _, server := range service.servers {
			if server.probeDue(now, interval) && !p.evacuated[server.DataCentre] && (server.Measured || p.measurementMissing(now, server)) {
				server.probeInFlight, server.probedAt = true, now
				p.emit(Probe{
					Server: server.ID, Address: server.Address, Path: service.Rule.HealthPath,
					Connections: service.Rule.MaxConnections, Timeout: probeTimeout,
				})
			}
		}
	}
}

// probeDue reports whether the backend server takes probes and the next one is due.
func (s *Server) probeDue(now time.Time, interval time.Duration) bool {
	if s.probeInFlight || s.Draining || s.Leaving() || s.Paused(now) {
		return false
	}
	if s.Unreported {
		interval = max(interval, coldProbeInterval)
	}
	since := now.Sub(s.probedAt)

	return since >= interval && (now.Sub(s.PaceMeasuredAt) >= interval || since >= coldProbeInterval)
}

// measurementMissing reports whether the host responsible for measuring the backend
// server has not reported it recently.
func (p *Placer) measurementMissing(now time.Time, server *Server) bool {
	return now.Sub(server.remoteMeasuredAt) > remoteMeasurementTimeout && now.Sub(server.probedAt) > remoteMeasurementTimeout/2
}

// isServing reports whether this host's address is given to callers.
func (p *Placer) isServing() bool {
	return slices.ContainsFunc(p.peers.Serving, func(peer Peer) bool { return peer.Name == p.Options.Host })
}

// probeEnded updates a backend server from the result of a probe. Reported ill
// health alone changes nothing, because such reports are often false; the
// results of calls show whether it is true.
func (p *Placer) probeEnded(now time.Time, event ProbeEnded) {
	server, known := p.servers[event.Server]
	if !known {
		return
	}
	server.probeInFlight = false
	p.adoptNotice(now, server, event.Notice)
	if server.probedAt.Before(p.resumedAt) {
		return // it may have been answered before the freeze
	}
	if !event.Answered {
		server.probeMisses++
		if server.probeMisses >= ejectProbeMisses {
			p.ejectNow(now, server, true)
		} else {
			p.recordFailure(now, server)
		}

		return
	}
	server.probeMisses, server.probeAnsweredAt = 0, now
	server.readmit()
	if event.Load != nil && event.Load.Pace > 0 {
		server.updatePace(now, event.Load.Pace, p.slowdowns)
	} else {
		server.Unreported = true
	}
	p.adoptCold(now, server, event.ColdLeft)
}

// adoptCold adopts the remaining cold time that a backend server reported.
func (p *Placer) adoptCold(now time.Time, server *Server, left time.Duration) {
	if left > 0 && !server.Cold(now) {
		p.emit(ServerStatusChanged{Server: server.ID, Status: StatusCold, Failures: server.FailureRatio(now), For: left})
	}
	server.ColdUntil = now.Add(left)
}

// Loads returns this host's load report to other hosts: the measured pace of
// backend servers and the attempts in flight there.
func (p *Placer) Loads(now time.Time) []schema.ServerLoad {
	var loads []schema.ServerLoad
	for _, server := range p.servers {
		measured := now.Sub(server.probeAnsweredAt) < measurementMaxAge && server.Measured
		if !measured && server.InFlight == 0 {
			continue
		}
		load := schema.ServerLoad{ServerHash: Hash(server.ID), InFlight: server.InFlight, AgeMs: notMeasured}
		if measured {
			load.PacePercent = int(min(server.Pace, maxReportedPace) * percent)
			load.AgeMs = int(min(now.Sub(server.PaceMeasuredAt), maxReportedAge).Milliseconds())
			load.ColdLeftMs = int(min(max(server.ColdUntil.Sub(now), 0), maxReportedCold).Milliseconds())
		}
		loads = append(loads, load)
	}

	return loads
}

const (
	// maxReportedPace, maxReportedAge and maxReportedCold bound what is reported, so
	// that one odd backend server cannot make other hosts drop whole reports.
	maxReportedPace = 1000
	maxReportedAge  = time.Minute
	maxReportedCold = 10 * time.Minute
	// percent converts a pace to hundredths.
	percent = 100
	// notMeasured is the age reported for a backend server that this host did
	// not measure.
	notMeasured = -1
)

// forgetReports drops the reports of hosts that do not serve any more. Their
// attempts in flight are counted until remoteInFlightTTL.
func (p *Placer) forgetReports() {
	for name := range p.reportedBy {
		if !slices.ContainsFunc(p.peers.Serving, func(peer Peer) bool { return peer.Name == name }) {
			delete(p.reportedBy, name)
		}
	}
}

// adoptLoads applies a load report of another host. Shortly after a freeze
// reports are discarded, because they may have been queued here during the
// freeze.
func (p *Placer) adoptLoads(now time.Time, event LoadsReceived) {
	if now.Sub(p.resumedAt) < staleInputWindow {
		return
	}
	for _, server := range p.reportedBy[event.Host] {
		delete(server.inFlightByHost, event.Host)
	}
	reported := p.reportedBy[event.Host][:0]
	p.adoptLeaving(now, event.Leaving)
	p.adoptRollouts(now, event.Host, event.Rollouts)
	for _, load := range event.Loads {
		server, known := p.serversByHash[load.ServerHash]
		if !known {
			continue
		}
		if load.InFlight > 0 {
			server.inFlightByHost[event.Host] = remoteInFlight{inFlight: load.InFlight, receivedAt: now}
			reported = append(reported, server)
		}
		if load.AgeMs != notMeasured {
			server.remoteMeasuredAt = now
			server.updatePace(now.Add(-time.Duration(load.AgeMs)*time.Millisecond), float64(load.PacePercent)/percent, p.slowdowns)
			server.ColdUntil = now.Add(time.Duration(load.ColdLeftMs) * time.Millisecond)
		}
	}
	p.reportedBy[event.Host] = reported
}
