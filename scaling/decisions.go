package scaling

import (
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/peer"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// queueLength is the capacity of a cell's queue.
	queueLength = 1024
	// currentHosts is the current number of entry hosts of one customer.
	currentHosts = 14
	// answerKeep is how long callers cache the host addresses.
	answerKeep = 2 * time.Second
	// callDuration is the simulated service time of a backend server.
	callDuration = 5 * time.Millisecond
	// seed is the seed of the random choices.
	seed = 1
)

// Sizes at which the quantities are measured.
var (
	// serverSizes are numbers of backend servers, up to the planned size.
	serverSizes = []int{1000, 3000, 10000}
	// ownedSizes are numbers of backend servers in the cells that one host
	// owns.
	ownedSizes = []int{30, 100, 300}
	// hostSizes are numbers of entry hosts.
	hostSizes = []int{currentHosts, 100, 300}
	// orderSizes are numbers of orders in the order book.
	orderSizes = []int{10000, 30000, 100000}
)

// Measure performs all measurements, one after the other.
func Measure() []Measurement {
	return []Measurement{
		measure("router state by backend servers", "bytes", serverSizes, func(size int) float64 {
			return heapBytes(func() any { return router(size, currentHosts) })
		}),
		measure("pool state by backend servers of owned cells", "bytes", serverSizes, func(size int) float64 {
			return heapBytes(func() any { return pool(size) })
		}),
		measure("configuration row by backend servers", "bytes", serverSizes, jsonBytes),
		measure("configuration between hosts by backend servers", "bytes", serverSizes, peerBytes),
		measure("routes of a configuration by backend servers", "ns", serverSizes, configurationChangeTime),
		measure("adopting cells by backend servers of owned cells", "ns", ownedSizes, cellsChangeTime),
		measure("routes of a host change by hosts at 10,000 backend servers", "ns", hostSizes, hostChangeTime),
		measure("decisions of a call by backend servers", "ns", serverSizes, callTime),
		measure("membership state by hosts", "bytes", hostSizes, func(size int) float64 {
			return heapBytes(func() any { return membership(size) })
		}),
		measure("digest by hosts", "bytes", hostSizes, digestBytes),
		measure("hearing a digest by hosts", "ns", hostSizes, digestTime),
		measure("order book state by orders", "bytes", orderSizes, func(size int) float64 {
			return heapBytes(func() any { return orderBook(size) })
		}),
		measure("decisions of an order by orders", "ns", orderSizes, orderTime),
	}
}

// router returns a router with a configuration and a list of hosts.
func router(servers, hostCount int) *caller.Router {
	list := hosts(hostCount)
	r := caller.NewRouter(list[0].Name, answerKeep)
	r.Step(time.Time{}, caller.ConfigurationChanged{Configuration: newConfiguration(servers)})
	r.Step(time.Time{}, caller.HostsChanged{Hosts: list})

	return r
}

// cells returns the backend servers of all cells by cell, as if one host owned
// all cells.
func cells(servers int) map[caller.Cell][]backend.Declared {
	all := map[caller.Cell][]backend.Declared{}
	for _, server := range newConfiguration(servers).BackendServers {
		cell := caller.Cell{Service: server.Service, DataCentre: server.DataCentre}
		all[cell] = append(all[cell], backend.Declared{Address: server.Address, Slots: server.Slots})
	}

	return all
}

// pool returns a pool that owns all cells.
func pool(servers int) *backend.Pool {
	p := backend.NewPool(backend.Options{QueueLength: queueLength, Hosts: currentHosts, Seed: seed})
	p.Step(time.Time{}, backend.CellsChanged{Cells: cells(servers)})

	return p
}

// configurationChangeTime returns the mean time in nanoseconds to compute the
// routes after a configuration change.
func configurationChangeTime(servers int) float64 {
	routes := router(servers, currentHosts).Routes
	configuration := newConfiguration(servers)

	return meanNanoseconds(func() { routes.WithConfiguration(configuration) })
}

// cellsChangeTime returns the mean time in nanoseconds that a pool takes for a
// change of its cells. The pool places no calls during that time.
func cellsChangeTime(servers int) float64 {
	p := pool(servers)
	owned := cells(servers)

	return meanNanoseconds(func() { p.Step(time.Time{}, backend.CellsChanged{Cells: owned}) })
}

// hostChangeTime returns the mean time in nanoseconds to compute the routes
// after a change of hosts.
func hostChangeTime(hostCount int) float64 {
	routes := router(serverSizes[len(serverSizes)-1], hostCount).Routes
	list := hosts(hostCount)

	return meanNanoseconds(func() { routes.WithHosts(list, nil) })
}

// callTime returns the mean time in nanoseconds for all decisions on one call.
func callTime(servers int) float64 {
	p := pool(servers)
	list := make([]caller.Cell, 0, len(p.Cells))
	for cell := range p.Cells {
		list = append(list, cell)
	}
	now := time.Unix(0, 0)
	id := caller.CallID(0)

	return meanNanoseconds(func() {
		id++
		call := caller.Call{ID: id, Service: list[0].Service, Caller: "caller", Idempotent: true, Deadline: now.Add(time.Second)}
		actions := p.Step(now, backend.CallPlaced{Call: call, Cell: list[int(id)%len(list)]}) //nolint:gosec // small counts
		now = now.Add(callDuration)
		for _, action := range actions {
			if started, ok := action.(backend.StartAttempt); ok {
				p.Step(now, backend.AttemptEnded{Attempt: started.Attempt, Result: backend.Whole{Status: 200}})

				break
			}
		}
	})
}

// digestInterval is the time between digest exchanges of a membership.
const digestInterval = 250 * time.Millisecond

// membership returns a membership that has heard from all of count hosts.
func membership(count int) *peer.Membership {
	list := hosts(count)
	m := peer.NewMembership(time.Time{}, list[0], digestInterval, seed)
	for _, host := range list[1:] {
		m.Step(time.Time{}, peer.DigestReceived{Digest: schema.Digest{Sender: host}})
	}

	return m
}

// digestBytes returns the size of an encoded digest.
func digestBytes(count int) float64 {
	m := membership(count)
	_ = m.Digest() // the first digest has extra records for the newly heard hosts
	digest := m.Digest()
	raw, err := digest.MarshalMsg(nil)
	if err != nil {
		panic(err) // plain structs of strings and numbers always encode
	}

	return float64(len(raw))
}

// digestTime returns the mean time in nanoseconds that a membership takes to
// handle a received digest.
func digestTime(count int) float64 {
	m := membership(count)
	digest := membership(count).Digest()

	return meanNanoseconds(func() {
		digest.Sender.Heartbeat++
		m.Step(time.Time{}, peer.DigestReceived{Digest: digest})
	})
}
