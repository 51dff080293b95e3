package scaling

import (
	"encoding/json"
	"fmt"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// serversPerService is the number of backend servers in a service at the
	// planned size of 10,000 backend servers in 1,100 services.
	serversPerService = 9
	// dataCentres is the number of data centres at the planned size.
	dataCentres = 10
	// slots is the number of call slots of a backend server.
	slots = 4
	// connections is the connection limit of a backend server.
	connections = 240
)

// newConfiguration returns a configuration with the given number of backend
// servers.
func newConfiguration(servers int) schema.Configuration {
	configuration := schema.Configuration{Version: 1, Day: "2026-01-31", ChangeID: "slopes"}
	for i := range dataCentres {
		configuration.DataCentres = append(configuration.DataCentres, schema.DataCentre{
			Name: fmt.Sprintf("centre-%02d", i), State: schema.DataCentreStateIn,
		})
	}
	for i := range servers {
		service := fmt.Sprintf("service-%04d", i/serversPerService)
		if i%serversPerService == 0 {
			configuration.Services = append(configuration.Services, schema.Service{Name: service, Idempotent: true})
		}
		// Each service runs in three data centres, as in today's
		// configurations.
		centre := (i/serversPerService + i%3) % dataCentres
		configuration.BackendServers = append(configuration.BackendServers, schema.BackendServer{
			Service:     service,
			DataCentre:  configuration.DataCentres[centre].Name,
			Address:     fmt.Sprintf("192.0.%d.%d:8080", i/256, i%256),
			Slots:       slots,
			Connections: connections,
		})
	}

	return configuration
}

// hosts returns count live entry hosts.
func hosts(count int) []schema.Host {
	list := make([]schema.Host, 0, count)
	for i := range count {
		list = append(list, schema.Host{
			Name:            fmt.Sprintf("host-%04d", i),
			DataCentre:      fmt.Sprintf("centre-%02d", i%dataCentres),
			Incarnation:     fmt.Sprintf("01J0000000000000000000%04d", i),
			CallerAddress:   fmt.Sprintf("198.51.%d.%d:8080", i/256, i%256),
			PeerAddress:     fmt.Sprintf("198.51.%d.%d:8081", i/256, i%256),
			OperatorAddress: fmt.Sprintf("198.51.%d.%d:8082", i/256, i%256),
			State:           schema.HostStateLive,
		})
	}

	return list
}

// jsonBytes returns the size of a configuration in JSON, as in the platform's
// row.
func jsonBytes(servers int) float64 {
	raw, err := json.Marshal(newConfiguration(servers))
	if err != nil {
		panic(err) // plain structs of strings and numbers always encode
	}

	return float64(len(raw))
}

// peerBytes returns the size of a configuration in the encoding between hosts.
func peerBytes(servers int) float64 {
	configuration := newConfiguration(servers)
	raw, err := configuration.MarshalMsg(nil)
	if err != nil {
		panic(err) // plain structs of strings and numbers always encode
	}

	return float64(len(raw))
}
