package caller

import "github.com/baobabdrum/baobabdrum/schema"

// route is a cell that may receive new work.
type route struct {
	cell   Cell
	slots  int
	ranked []schema.Host
	// credit is the current weight for smooth weighted round robin by slots.
	credit int
}

// Routes are the routes of all services, derived from a configuration and the
// live hosts. Any duty may compute them before one router takes ownership,
// because with many backend servers and hosts the computation takes longer than
// a call may wait.
type Routes struct {
	// Self is the name of the host that routes.
	Self string
	// Configuration is the configuration with all overrides applied.
	Configuration schema.Configuration
	// Hosts are the live hosts.
	Hosts []schema.Host
	// Leaving are the leaving hosts, which still accept the orders of their
	// incarnation.
	Leaving []schema.Host

	cells map[string][]*route
	owned map[Cell][]schema.BackendServer
}

// NewRoutes computes the routes of the named host.
func NewRoutes(self string, configuration schema.Configuration, hosts, leaving []schema.Host) *Routes {
	routes := &Routes{
		Self: self, Configuration: configuration, Hosts: hosts, Leaving: leaving,
		cells: map[string][]*route{}, owned: map[Cell][]schema.BackendServer{},
	}
	slots := routes.slots()
	ranker := NewRanker(hosts)
	for _, service := range configuration.Services {
		for _, dataCentre := range configuration.DataCentres {
			cell := Cell{Service: service.Name, DataCentre: dataCentre.Name}
			if slots[cell] > 0 {
				routes.add(&route{cell: cell, slots: slots[cell], ranked: ranker.Rank(cell, maxAnswerAddresses)})
			}
		}
	}
	for _, server := range configuration.BackendServers {
		cell := Cell{Service: server.Service, DataCentre: server.DataCentre}
		if servers, owned := routes.owned[cell]; owned {
			routes.owned[cell] = append(servers, server)
		}
	}

	return routes
}

// WithConfiguration computes the routes of another configuration over the same
// hosts.
func (r *Routes) WithConfiguration(configuration schema.Configuration) *Routes {
	return NewRoutes(r.Self, configuration, r.Hosts, r.Leaving)
}

// WithHosts computes the routes of the same configuration over other hosts.
func (r *Routes) WithHosts(hosts, leaving []schema.Host) *Routes {
	return NewRoutes(r.Self, r.Configuration, hosts, leaving)
}

// slots returns the number of slots of each cell that may receive new work.
func (r *Routes) slots() map[Cell]int {
	active := map[string]bool{}
	for _, dataCentre := range r.Configuration.DataCentres {
		active[dataCentre.Name] = dataCentre.State == schema.DataCentreStateIn
	}
	slots := map[Cell]int{}
	for _, server := range r.Configuration.BackendServers {
		if active[server.DataCentre] && !server.Leaving {
			slots[Cell{Service: server.Service, DataCentre: server.DataCentre}] += server.Slots
		}
	}

	return slots
}

// add adds a route and records whether this host owns its cell.
func (r *Routes) add(added *route) {
	r.cells[added.cell.Service] = append(r.cells[added.cell.Service], added)
	if len(added.ranked) > 0 && added.ranked[0].Name == r.Self {
		r.owned[added.cell] = nil
	}
}
