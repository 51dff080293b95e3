package placement

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// probeTimeout bounds a probe, which is answered at once whatever the load.
	probeTimeout = 250 * time.Millisecond
	// idleProbeFactor stretches the time between probes of a service that gets no calls.
	idleProbeFactor = 5
	// idleAfter is how long a service goes without calls until it counts as idle.
	idleAfter = 2 * time.Second
	// coldProbeInterval is the longest time between probes of a backend server whose
	// answers to calls tell its load: only probes tell that it turned cold.
	coldProbeInterval = 200 * time.Millisecond
	// ejectProbeMisses is the number of probes in a row without an answer that eject a
	// backend server.
	ejectProbeMisses = 2
	// remoteMeasurementTimeout is the age of another host's measurement from which this host
	// measures the backend server itself.
	remoteMeasurementTimeout = 600 * time.Millisecond
	// measurementMaxAge is the age up to which a measurement is told to other hosts.
	measurementMaxAge = time.Second
)

// probe asks the backend servers that this host measures for their load.
func (p *Placer) probe(now time.Time) {
	for _, service := range p.services {
		interval := p.Options.ProbeInterval
		if now.Sub(service.lastCallAt) > idleAfter {
			interval *= idleProbeFactor
		}
		for _, server := range service.servers {
			interval := interval
			if server.Unreported {
				interval = max(interval, coldProbeInterval)
			}
			due := !server.probeInFlight && now.Sub(server.probedAt) >= interval &&
				(now.Sub(server.PaceMeasuredAt) >= interval || now.Sub(server.probedAt) >= coldProbeInterval)
			if due && !server.Draining && !p.evacuated[server.DataCentre] && (server.Measured || p.measurementMissing(now, server)) {
				server.probeInFlight, server.probedAt = true, now
				p.emit(Probe{
					Server: server.ID, Address: server.Address, Path: service.Rule.HealthPath,
					Connections: service.Rule.MaxConnections, Timeout: probeTimeout,
				})
			}
		}
	}
}

// measurementMissing reports whether this host serves and the host that measures the backend
// server does not tell.
func (p *Placer) measurementMissing(now time.Time, server *Server) bool {
	return p.isServing() && now.Sub(server.remoteMeasuredAt) > remoteMeasurementTimeout && now.Sub(server.probedAt) > remoteMeasurementTimeout/2
}

// isServing reports whether callers are told this host's address.
func (p *Placer) isServing() bool {
	return slices.ContainsFunc(p.peers.Serving, func(peer Peer) bool { return peer.Name == p.Options.Host })
}

// probeEnded learns from a probe. A report of ill health alone changes nothing,
// because such reports are often false: calls show whether they are.
func (p *Placer) probeEnded(now time.Time, event ProbeEnded) {
	server, known := p.servers[event.Server]
	if !known {
		return
	}
	server.probeInFlight = false
	if server.probedAt.Before(p.resumedAt) {
		return // it may have been answered before this process stood still
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

// adoptCold adopts how much longer a backend server says that it stays cold.
func (p *Placer) adoptCold(now time.Time, server *Server, left time.Duration) {
	if left > 0 && !server.Cold(now) {
		p.emit(ServerStateChanged{Server: server.ID, Belief: BeliefCold, Failures: server.FailureRatio(now), For: left})
	}
	server.ColdUntil = now.Add(left)
}

// Loads returns what this host tells others about backend servers: what it
// measured and where its calls run.
func (p *Placer) Loads(now time.Time) []schema.ServerLoad {
	var loads []schema.ServerLoad
	for _, server := range p.servers {
		measured := now.Sub(server.probeAnsweredAt) < measurementMaxAge && server.Measured
		if !measured && server.InFlight == 0 {
			continue
		}
		load := schema.ServerLoad{ServerHash: Hash(server.ID), InFlight: server.InFlight, AgeMs: notMeasured}
		if measured {
			load.PacePercent = int(server.Pace * percent)
			load.AgeMs = int(now.Sub(server.PaceMeasuredAt).Milliseconds())
			load.ColdLeftMs = int(max(server.ColdUntil.Sub(now), 0).Milliseconds())
		}
		loads = append(loads, load)
	}

	return loads
}

const (
	// percent turns a pace into hundredths.
	percent = 100
	// notMeasured is the age of what a host did not measure.
	notMeasured = -1
)

// adoptLoads adopts what another host knows about backend servers, unless it may have
// waited here while this process stood still.
func (p *Placer) adoptLoads(now time.Time, event LoadsHeard) {
	if now.Sub(p.resumedAt) < staleInputWindow {
		return
	}
	for _, server := range p.servers {
		delete(server.inFlightByHost, event.Host)
	}
	for _, load := range event.Loads {
		server, known := p.serversByHash[load.ServerHash]
		if !known {
			continue
		}
		if load.InFlight > 0 {
			server.inFlightByHost[event.Host] = remoteInFlight{inFlight: load.InFlight, receivedAt: now}
		}
		if load.AgeMs != notMeasured {
			server.remoteMeasuredAt = now
			server.updatePace(now.Add(-time.Duration(load.AgeMs)*time.Millisecond), float64(load.PacePercent)/percent, p.slowdowns)
			server.ColdUntil = now.Add(time.Duration(load.ColdLeftMs) * time.Millisecond)
		}
	}
}
