package dispatch

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/schema"
)

// updateCells passes the cells that this host owns to the pool and the opener.
func (d *Duty) updateCells(now time.Time) {
	rates := map[string]int{}
	for _, service := range d.Router.Routes.Configuration.Services {
		rates[service.Name] = service.ProbeRateMilli
	}
	cells := map[caller.Cell][]backend.Declared{}
	for cell, servers := range d.Router.Owned() {
		declared := make([]backend.Declared, 0, len(servers))
		for _, server := range servers {
			declared = append(declared, backend.Declared{
				Address: server.Address, Slots: min(server.Slots, d.connectionShare(server)), Leaving: server.Leaving,
				ProbeRateMilli: rates[server.Service],
			})
		}
		cells[cell] = declared
	}
	d.stepPool(now, backend.CellsChanged{Cells: cells})
	d.offerTargets()
}

// connectionShare returns this host's share of the connections that a backend
// server accepts from all hosts together, at least one.
func (d *Duty) connectionShare(server schema.BackendServer) int {
	return max(server.Connections/d.ConfiguredHosts, 1)
}

// offerTargets passes the backend servers of this host's cells to the opener.
func (d *Duty) offerTargets() {
	if d.Targets == nil {
		return
	}
	var targets []Target
	for _, servers := range d.Router.Owned() {
		for _, server := range servers {
			target := Target{Address: server.Address, Connections: d.connectionShare(server)}
			if !server.Leaving {
				target.Preconnect = min(server.Slots, target.Connections)
			}
			targets = append(targets, target)
		}
	}
	d.Targets.Poll()
	_ = d.Targets.Offer(targets) // there is room, because only this duty offers
}

// dump returns every routable cell, with the queue and backend servers of those
// that this host owns.
func (d *Duty) dump(now time.Time) []schema.CellDump {
	dumps := []schema.CellDump{}
	for _, service := range d.Router.Routes.Configuration.Services {
		for _, dataCentre := range d.Router.Routes.Configuration.DataCentres {
			cell := caller.Cell{Service: service.Name, DataCentre: dataCentre.Name}
			owner := d.Router.Owner(cell)
			if owner == "" {
				continue
			}
			dump := schema.CellDump{Service: cell.Service, DataCentre: cell.DataCentre, Owner: owner}
			dump.BackendServers = []schema.BackendServerDump{}
			if state, ok := d.Pool.Cells[cell]; ok {
				dump.Queued = state.Queue.Len()
				dump.BackendServers = dumpServers(now, state.Servers)
			}
			dumps = append(dumps, dump)
		}
	}

	return dumps
}

// dumpServers returns the state of the backend servers, sorted by address.
func dumpServers(now time.Time, servers []*backend.Server) []schema.BackendServerDump {
	dumps := make([]schema.BackendServerDump, 0, len(servers))
	for _, server := range servers {
		dumps = append(dumps, schema.BackendServerDump{
			Address:   server.Address,
			Slots:     server.Slots,
			InFlight:  server.InFlight,
			Allowance: server.Allowance,
			LatencyUs: int(server.Latency.Microseconds()),
			Ejected:   server.Ejected(now),
		})
	}
	slices.SortFunc(dumps, func(a, b schema.BackendServerDump) int {
		if a.Address < b.Address {
			return -1
		}

		return 1
	})

	return dumps
}
