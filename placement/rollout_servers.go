package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/rollout"
)

// withhold determines from which backend servers a rollout keeps this host's calls.
func (p *Placer) withhold(now time.Time, of *service) {
	decision := of.rollout.decision
	for _, server := range of.servers {
		server.Withheld = slices.Contains(of.rollout.rejected, server.Version)
		if decision == nil {
			continue
		}
		switch isTarget := server.Version == decision.Order.Target; decision.Phase() {
		case rollout.PhaseCompleted:
			server.Withheld = !isTarget
		case rollout.PhaseRolledBack, rollout.PhaseUnknown, rollout.PhaseObserving, rollout.PhaseRamping, rollout.PhaseMoved:
			server.Withheld = server.Withheld || isTarget
		}
	}
	if of.rollout.divides() {
		p.releaseTarget(now, of)
	}
}

// releaseTarget lets calls reach as many backend servers of the target as its share needs,
// so that each gets the load that is usual for the service. Hosts choose the same ones: those
// of their own data centre first, warm ones before cold ones, and by the hash of the ID.
func (p *Placer) releaseTarget(now time.Time, of *service) {
	decision := of.rollout.decision
	share := decision.Share()
	if share <= 0 {
		return
	}
	var targets []*Server
	others, nearOthers := 0, 0
	for _, server := range of.servers {
		switch {
		case !server.takesCalls(now) || p.evacuated[server.DataCentre]:
		case server.Version == decision.Order.Target:
			targets = append(targets, server)
		default:
			others += server.SlotLimit()
			if server.DataCentre == p.Options.DataCentre {
				nearOthers += server.SlotLimit()
			}
		}
	}
	if nearOthers > 0 {
		others = nearOthers
	}
	slices.SortFunc(targets, func(a, b *Server) int {
		return cmp.Or(
			compareBool(a.DataCentre == p.Options.DataCentre, b.DataCentre == p.Options.DataCentre),
			compareBool(!a.Cold(now), !b.Cold(now)), cmp.Compare(Hash(a.ID), Hash(b.ID)))
	})
	slots := 0.0
	for _, server := range targets {
		if share < 1 && slots > 0 && slots*(1-share) >= share*float64(others) {
			return
		}
		server.Withheld = false
		if !server.Cold(now) {
			slots += float64(server.SlotLimit())
		}
	}
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
