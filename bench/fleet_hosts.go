package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/placement"
)

// fleetPeerTimeout is how long after its last message a host leaves the peer
// lists of the others.
const fleetPeerTimeout = 500 * time.Millisecond

// FleetFault is a fault of hosts or of the network: HostCrash, HostFreeze or
// DataCentrePartition.
//
//sumtype:decl
type FleetFault interface{ fleetFault() }

// HostCrash stops a host, whose calls are lost. Later a new host with empty
// state replaces it.
type HostCrash struct {
	// Host is the number of the host.
	Host int
	// At is the time of the crash after the start of the run.
	At time.Duration
	// For is the time until the replacement starts.
	For time.Duration
}

// HostFreeze pauses a host, which later continues with its state and handles
// the events from the pause.
type HostFreeze struct {
	// Host is the number of the host.
	Host int
	// At is the start of the pause after the start of the run.
	At time.Duration
	// For is the length of the pause.
	For time.Duration
}

// DataCentrePartition interrupts the network between two data centres.
type DataCentrePartition struct {
	// One is the number of the first data centre.
	One int
	// Other is the number of the second data centre.
	Other int
	// At is the start of the partition after the start of the run.
	At time.Duration
	// For is the length of the partition.
	For time.Duration
}

func (HostCrash) fleetFault()           {}
func (HostFreeze) fleetFault()          {}
func (DataCentrePartition) fleetFault() {}

// fleetHost is a host number with the host that currently runs under it.
type fleetHost struct {
	placer *placement.Placer
	// incarnation is the number of hosts started under this number.
	incarnation int
	dead        bool
	// frozen is set while events are held in pendingEvents.
	frozen        bool
	pendingEvents []placement.Event
	// lastHeard is the time of the last message from each host number.
	lastHeard map[int]time.Time
	peers     []placement.Peer
}

// start starts a new host with number i.
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

// initPeers adds all hosts to the peer list of every host.
func (f *Fleet) initPeers() {
	for i, host := range f.hosts {
		for j := range f.hosts {
			host.lastHeard[j] = f.now
		}
		f.updatePeers(i)
	}
}

// hostName returns the name of the current host with number i.
func (f *Fleet) hostName(i int) string {
	return fmt.Sprintf("host-%d-%d", i, f.hosts[i].incarnation)
}

// pickHost returns the number of a random host that has not crashed, or -1.
func (f *Fleet) pickHost() int {
	first := f.random.IntN(len(f.hosts))
	if f.HostRates != nil {
		first = f.drawHost()
	}
	for i := range f.hosts {
		if at := (first + i) % len(f.hosts); !f.hosts[at].dead {
			return at
		}
	}

	return -1
}

// drawHost draws a host by HostRates.
func (f *Fleet) drawHost() int {
	drawn := f.random.Float64()
	for i, share := range f.HostRates {
		if drawn -= share; drawn < 0 {
			return i
		}
	}

	return len(f.HostRates) - 1
}

// injectFaults starts and ends the host faults that are due in this step.
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

// kill stops a host and drops its calls. Its attempts continue at the backend
// servers.
func (f *Fleet) kill(i int) {
	f.hosts[i].dead, f.hosts[i].pendingEvents = true, nil
	for key := range f.calls {
		if key.host == i {
			delete(f.calls, key)
			f.result.HostDied++
		}
	}
}

// resume continues a frozen host with the events that it missed.
func (f *Fleet) resume(i int) {
	host := f.hosts[i]
	missed := host.pendingEvents
	host.frozen, host.pendingEvents = false, nil
	for _, event := range missed {
		f.step(i, event)
	}
}

// partitioned reports whether the network between two data centres is down.
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

// reaches reports whether the network between a host and a backend server is
// up.
func (f *Fleet) reaches(host int, server *fleetServer) bool {
	return !f.partitioned(host, slices.Index(f.servers, server)%f.DataCentres)
}

// sendLoads sends the loads that a host knows to all other hosts.
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
			f.step(j, placement.LoadsReceived{Host: f.hostName(i), Loads: loads})
		}
	}
}

// updatePeers gives a host the list of serving hosts if it has changed. A host
// is serving if it was heard within fleetPeerTimeout.
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

// step passes an event to a host and performs the resulting actions. Events for
// a frozen host are held until it resumes.
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
		case placement.ServerStatusChanged, placement.RecordRollout, placement.RolloutChanged, placement.RefusalsOutdated:
		}
	}
}
