package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/placement"
)

// fleetPeerTimeout is how long a host is silent until the others leave it out.
const fleetPeerTimeout = 500 * time.Millisecond

// FleetFault is what happens to hosts: HostCrash, HostFreeze or DataCentrePartition.
//
//sumtype:decl
type FleetFault interface{ fleetFault() }

// HostCrash kills a host with its calls. Another one takes its place later.
type HostCrash struct {
	// Host is its number.
	Host int
	// At is when it dies, from the beginning.
	At time.Duration
	// For is how long its place stays empty.
	For time.Duration
}

// HostFreeze stops a host, which later goes on with all that it knew.
type HostFreeze struct {
	// Host is its number.
	Host int
	// At is when it stops, from the beginning.
	At time.Duration
	// For is how long it stands still.
	For time.Duration
}

// DataCentrePartition cuts the network between two data centres.
type DataCentrePartition struct {
	// One is the number of a data centre.
	One int
	// Other is the number of another one.
	Other int
	// At is when the cut begins, from the beginning.
	At time.Duration
	// For is how long it lasts.
	For time.Duration
}

func (HostCrash) fleetFault()           {}
func (HostFreeze) fleetFault()          {}
func (DataCentrePartition) fleetFault() {}

// fleetHost is one place for a host.
type fleetHost struct {
	placer *placement.Placer
	// incarnation counts the hosts that had this place.
	incarnation int
	dead        bool
	// frozen says that events wait in missed.
	frozen        bool
	pendingEvents []placement.Event
	// lastHeard is when each other host was last heard.
	lastHeard map[int]time.Time
	peers     []placement.Peer
}

// start puts a new host in a place.
func (f *Fleet) start(i int) {
	host := f.hosts[i]
	host.incarnation++
	host.dead, host.frozen, host.pendingEvents, host.peers = false, false, nil, nil
	host.lastHeard = map[int]time.Time{}
	options := f.Options
	options.Host, options.DataCentre = f.hostName(i), f.dataCentre(i)
	options.Seed = f.Seed + uint64(i) + uint64(host.incarnation*f.DataCentres) //nolint:gosec // both are small and positive
	host.placer = placement.New(options)
	f.step(i, placement.DeclaredChanged{Declared: f.declared})
}

// initPeers lets every host know all others.
func (f *Fleet) initPeers() {
	for i, host := range f.hosts {
		for j := range f.hosts {
			host.lastHeard[j] = f.now
		}
		f.updatePeers(i)
	}
}

// hostName names the host that has the place i now.
func (f *Fleet) hostName(i int) string {
	return fmt.Sprintf("host-%d-%d", i, f.hosts[i].incarnation)
}

// pickHost returns a random host that lives, or -1.
func (f *Fleet) pickHost() int {
	first := f.random.IntN(len(f.hosts))
	for i := range f.hosts {
		if at := (first + i) % len(f.hosts); !f.hosts[at].dead {
			return at
		}
	}

	return -1
}

// injectFaults lets happen what begins or ends now.
func (f *Fleet) injectFaults() {
	elapsed := f.now.Sub(f.startedAt)
	for _, fault := range f.Faults {
		switch fault := fault.(type) {
		case HostCrash:
			if elapsed == fault.At {
				f.kill(fault.Host)
			}
			if elapsed == fault.At+fault.For {
				f.start(fault.Host)
				f.updatePeers(fault.Host)
			}
		case HostFreeze:
			if elapsed == fault.At {
				f.hosts[fault.Host].frozen = !f.hosts[fault.Host].dead
			}
			if elapsed == fault.At+fault.For {
				f.resume(fault.Host)
			}
		case DataCentrePartition:
		}
	}
}

// kill ends a host. Its sends go on at the backend servers.
func (f *Fleet) kill(i int) {
	f.hosts[i].dead, f.hosts[i].pendingEvents = true, nil
	for key := range f.calls {
		if key.host == i {
			delete(f.calls, key)
			f.result.HostDied++
		}
	}
}

// resume lets a frozen host go on, with all that happened meanwhile.
func (f *Fleet) resume(i int) {
	host := f.hosts[i]
	missed := host.pendingEvents
	host.frozen, host.pendingEvents = false, nil
	for _, event := range missed {
		f.step(i, event)
	}
}

// partitioned reports whether two data centres are cut from each other.
func (f *Fleet) partitioned(one, other int) bool {
	elapsed := f.now.Sub(f.startedAt)

	return slices.ContainsFunc(f.Faults, func(fault FleetFault) bool {
		cut, ok := fault.(DataCentrePartition)
		if !ok || elapsed < cut.At || elapsed >= cut.At+cut.For {
			return false
		}

		return cut.One == one && cut.Other == other || cut.One == other && cut.Other == one
	})
}

// reaches reports whether the network carries bytes between a host and a
// backend server.
func (f *Fleet) reaches(host int, server *fleetServer) bool {
	return !f.partitioned(host, slices.Index(f.servers, server)%f.DataCentres)
}

// sendLoads tells all others what a host knows.
func (f *Fleet) sendLoads(i int) {
	from := f.hosts[i]
	if from.dead || from.frozen {
		return
	}
	f.updatePeers(i)
	loads := from.placer.Loads(f.now)
	for j, to := range f.hosts {
		if i == j || to.dead || f.partitioned(i, j) {
			continue
		}
		if !to.frozen {
			to.lastHeard[i] = f.now
		}
		if f.random.Float64() >= f.LoadMessageLoss {
			f.step(j, placement.LoadsHeard{Host: f.hostName(i), Loads: loads})
		}
	}
}

// updatePeers tells a host which hosts serve, by what it heard lately.
func (f *Fleet) updatePeers(i int) {
	host := f.hosts[i]
	host.lastHeard[i] = f.now
	peers := placement.Peers{Hosts: f.DataCentres}
	for j := range f.hosts {
		if at, known := host.lastHeard[j]; known && f.now.Sub(at) < fleetPeerTimeout {
			peers.Serving = append(peers.Serving, placement.Peer{Name: f.hostName(j), DataCentre: f.dataCentre(j)})
		}
	}
	if !slices.Equal(peers.Serving, host.peers) {
		host.peers = peers.Serving
		f.step(i, placement.PeersChanged{Peers: peers})
	}
}

// step steps a host and carries out its actions.
func (f *Fleet) step(i int, event placement.Event) {
	host := f.hosts[i]
	if host.dead {
		return
	}
	if host.frozen {
		host.pendingEvents = append(host.pendingEvents, event)

		return
	}
	for _, action := range slices.Clone(host.placer.Step(f.now, event)) {
		switch action := action.(type) {
		case placement.Send:
			f.send(i, action)
		case placement.Cancel:
			f.cancel(i, action.Attempt)
		case placement.Finish:
			f.finish(i, action)
		case placement.Probe:
			f.probe(i, action)
		case placement.ServerStateChanged:
		}
	}
}
