package sheetcsv

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxSlots limits the concurrent calls of one backend server.
	maxSlots = 1024
	// maxConnections limits the connections of one backend server.
	maxConnections = 65535
	// maxProbeRate limits the probes of one backend server per 1000 s.
	maxProbeRate = 100000
)

// readDay reads the row with the sheet's day.
func readDay(r *row, into *schema.Configuration) {
	r.unique(columnAt, "")
	if _, err := time.Parse(time.DateOnly, r.values[columnAt]); err != nil {
		r.reject(columnAt, "must be a day such as 2026-01-31")
	}
	into.Day = r.values[columnAt]
}

// readService reads a service row.
func readService(r *row, into *schema.Configuration) {
	name := r.name(columnName)
	r.unique(columnName, name)
	into.Services = append(into.Services, schema.Service{
		Name:           name,
		Idempotent:     r.oneOf(columnIdempotent, "yes", "no"),
		ProbeRateMilli: r.number(columnProbeRate, 0, maxProbeRate),
	})
}

// readDataCentre reads a data centre row.
func readDataCentre(r *row, into *schema.Configuration) {
	name := r.name(columnName)
	r.unique(columnName, name)
	state := schema.DataCentreStateOut
	if r.oneOf(columnState, "in", "out") {
		state = schema.DataCentreStateIn
	}
	into.DataCentres = append(into.DataCentres, schema.DataCentre{Name: name, State: state})
}

// readBackendServer reads a backend server row.
func readBackendServer(r *row, into *schema.Configuration) {
	address := r.values[columnAddress]
	if _, err := netip.ParseAddrPort(address); err != nil {
		r.reject(columnAddress, "must be an IP address and a port, such as 192.0.2.1:8080")
	}
	r.unique(columnAddress, address)
	into.BackendServers = append(into.BackendServers, schema.BackendServer{
		Service:     r.name(columnService),
		DataCentre:  r.name(columnDataCentre),
		Address:     address,
		Slots:       r.number(columnSlots, 1, maxSlots),
		Connections: r.number(columnConnections, 1, maxConnections),
		Leaving:     r.oneOf(columnState, "leaving", "in"),
	})
}

// readPlannedStop reads the row of an entry host's planned stop.
func readPlannedStop(r *row, into *schema.Configuration) {
	name := r.name(columnName)
	r.unique(columnName, name)
	at, err := time.Parse(time.RFC3339, r.values[columnAt])
	if err != nil {
		r.reject(columnAt, "must be a time such as 2026-01-31T18:30:00+04:00")
	}
	into.PlannedStops = append(into.PlannedStops, schema.PlannedStop{Host: name, AtMs: int(at.UnixMilli())})
}

// checkReferences rejects references to names that no row declares, and a sheet
// without a day. It runs only if the rows themselves have no faults.
func (p *parser) checkReferences() {
	if len(p.faults) > 0 {
		return
	}
	if p.configuration.Day == "" {
		p.rejectf("rows", "", "one row of kind day is required")
	}
	for _, server := range p.configuration.BackendServers {
		if !p.declared("service", server.Service) {
			p.rejectf("backend_server "+server.Address+" column "+columnService, server.Service, "is not declared")
		}
		if !p.declared("data_centre", server.DataCentre) {
			p.rejectf("backend_server "+server.Address+" column "+columnDataCentre, server.DataCentre, "is not declared")
		}
	}
}

// declared reports whether a row declares the name.
func (p *parser) declared(kind, name string) bool {
	_, ok := p.declaredAt[kind+" "+name]

	return ok
}

// sortConfiguration sorts the declarations, so that the same rows in another
// order give the same configuration.
func sortConfiguration(c *schema.Configuration) {
	slices.SortFunc(c.Services, func(a, b schema.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.DataCentres, func(a, b schema.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.PlannedStops, func(a, b schema.PlannedStop) int { return cmp.Compare(a.Host, b.Host) })
	slices.SortFunc(c.BackendServers, func(a, b schema.BackendServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Address, b.Address))
	})
}
