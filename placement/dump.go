package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Dump returns the state of every backend server as this host knows it, and the
// hosts whose addresses are given to callers. It contains no digest of a key.
func (p *Placer) Dump(now time.Time) schema.EdgeDump {
	dump := schema.EdgeDump{
		Declared: p.declared, OpenCalls: len(p.calls), Serving: []string{}, BackendServers: make([]schema.ServerState, 0, len(p.servers)),
	}
	dump.Declared.Declaration.Tenants = withoutDigests(p.declared.Declaration.Tenants)
	for _, peer := range p.peers.Serving {
		dump.Serving = append(dump.Serving, peer.Name)
	}
	for _, server := range p.servers {
		dump.BackendServers = append(dump.BackendServers, schema.ServerState{
			Registration: server.Registration, Pace: server.Pace, PaceAgeMs: int(age(now, server.PaceMeasuredAt).Milliseconds()),
			Taken: server.TotalInFlight(now), FailureRatio: server.FailureRatio(now), Measured: server.Measured,
			EjectedMs: int(max(server.EjectedUntil.Sub(now), 0).Milliseconds()), ColdMs: int(max(server.ColdUntil.Sub(now), 0).Milliseconds()),
		})
	}
	slices.SortFunc(dump.BackendServers, func(a, b schema.ServerState) int { return cmp.Compare(a.Registration.ID, b.Registration.ID) })

	return dump
}
