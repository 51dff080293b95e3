package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// leavingUseWindow is how long a leaving backend server still gets calls for
	// which there is no other. It is shorter than any time for which a backend
	// server keeps serving after it announced that it leaves.
	leavingUseWindow = time.Second
	// leavingReportPeriod is how long other hosts are told that a backend server is
	// leaving, so that they learn of it although beacons get lost.
	leavingReportPeriod = 3 * time.Second
	// leavingRetention is how long a leaving incarnation is remembered, also while it
	// is not registered: its registration may lapse and return.
	leavingRetention = 10 * time.Minute
	// pauseJitter is the largest relative addition to the retry delay of callers
	// that are refused because of a pause, so that they do not return together.
	pauseJitter = 0.25
)

// Notice is what a backend server states about itself beside an answer.
type Notice struct {
	// Leaving says that it is about to stop.
	Leaving bool
	// Pause is how long it wants no calls from this host, or 0.
	Pause time.Duration
}

// leavingServer is the incarnation of a backend server that is leaving.
type leavingServer struct {
	id        string
	startedMs int
	since     time.Time
	// reported says that the backend server told this host, which tells the others.
	reported bool
}

// pausedServer is the incarnation of a backend server that asked for a pause.
type pausedServer struct {
	startedMs int
	until     time.Time
}

// adoptNotice applies a notice of a backend server.
func (p *Placer) adoptNotice(now time.Time, server *Server, notice Notice) {
	if notice.Leaving {
		p.markLeaving(now, leavingServer{id: server.ID, startedMs: server.StartedMs, since: now, reported: true})
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(server.PausedUntil) {
		server.PausedUntil = until
		p.paused[server.ID] = pausedServer{startedMs: server.StartedMs, until: until}
		p.emit(ServerStatusChanged{Server: server.ID, Status: StatusPaused, Failures: server.FailureRatio(now), For: notice.Pause})
	}
}

// markLeaving records that an incarnation is leaving, unless it is known.
func (p *Placer) markLeaving(now time.Time, leaving leavingServer) {
	known, ok := p.leaving[leaving.id]
	if ok && known.startedMs >= leaving.startedMs {
		return
	}
	p.leaving[leaving.id] = leaving
	if server, registered := p.servers[leaving.id]; registered && server.StartedMs <= leaving.startedMs {
		server.LeavingSince = leaving.since
		p.emit(ServerStatusChanged{Server: leaving.id, Status: StatusLeaving, Failures: server.FailureRatio(now)})
	}
}

// resumeNotices applies the notices of an incarnation that is registered again,
// whatever its new registration states.
func (p *Placer) resumeNotices(server *Server) {
	if known, ok := p.paused[server.ID]; ok && server.StartedMs == known.startedMs {
		server.PausedUntil = known.until
	}
	if known, ok := p.leaving[server.ID]; ok && server.StartedMs <= known.startedMs {
		server.LeavingSince = known.since
	}
}

// forgetNotices drops pauses that have ended and what is no longer needed of
// backend servers that left.
func (p *Placer) forgetNotices(now time.Time) {
	for id, known := range p.paused {
		if !now.Before(known.until) {
			delete(p.paused, id)
		}
	}
	for id, known := range p.leaving {
		if _, registered := p.servers[id]; !registered && now.Sub(known.since) > leavingRetention {
			delete(p.leaving, id)
		}
	}
}

// Leaving returns the backend servers that recently told this host that they are
// leaving, for the other hosts.
func (p *Placer) Leaving(now time.Time) []schema.LeavingServer {
	var list []schema.LeavingServer
	for _, known := range p.leaving {
		if known.reported && now.Sub(known.since) < leavingReportPeriod {
			list = append(list, schema.LeavingServer{ServerHash: Hash(known.id), StartedMs: known.startedMs})
		}
	}
	slices.SortFunc(list, func(a, b schema.LeavingServer) int { return cmp.Compare(a.ServerHash, b.ServerHash) })

	return list
}

// adoptLeaving applies what another host reported of leaving backend servers.
func (p *Placer) adoptLeaving(now time.Time, list []schema.LeavingServer) {
	for _, leaving := range list {
		if server, known := p.serversByHash[leaving.ServerHash]; known {
			p.markLeaving(now, leavingServer{id: server.ID, startedMs: leaving.StartedMs, since: now})
		}
	}
}

// Leaving reports whether the backend server said that it is leaving.
func (s *Server) Leaving() bool {
	return !s.LeavingSince.IsZero()
}

// Paused reports whether the backend server wants no calls from this host now.
func (s *Server) Paused(now time.Time) bool {
	return now.Before(s.PausedUntil)
}

// shortestPause returns the time until the first backend server of a service takes
// calls again, if all that could take them have asked for a pause.
func (p *Placer) shortestPause(now time.Time, service *service) (time.Duration, bool) {
	shortest := time.Duration(0)
	for _, server := range service.servers {
		if server.Withheld || server.Draining || server.Leaving() || p.evacuated[server.DataCentre] {
			continue
		}
		left := server.PausedUntil.Sub(now)
		if left <= 0 {
			return 0, false
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}

	return shortest, shortest > 0
}
