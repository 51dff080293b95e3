package directory

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is what the directory reacts to.
//
//sumtype:decl
type Event interface{ event() }

// BeaconHeard brings another host's beacon.
type BeaconHeard struct {
	// Beacon is the beacon.
	Beacon schema.Beacon
}

// AddressesLearnt brings addresses of hosts that may exist.
type AddressesLearnt struct {
	// Addresses are ip:port for beacons.
	Addresses []string
}

// ReadyChanged says whether this host serves calls.
type ReadyChanged struct {
	// Ready says that it does.
	Ready bool
}

// CallsCounted says how many calls a second arrive at this host.
type CallsCounted struct {
	// Calls is their number.
	Calls int
}

// UpdateArrived says that this host knows something that those who serve should
// hear at once.
type UpdateArrived struct{}

// ReadsChanged says that this host began or ceased to read the store, on which
// all others rely.
type ReadsChanged struct{}

// Ticked says that time passed.
type Ticked struct{}

func (BeaconHeard) event()     {}
func (AddressesLearnt) event() {}
func (ReadyChanged) event()    {}
func (CallsCounted) event()    {}
func (UpdateArrived) event()   {}
func (ReadsChanged) event()    {}
func (Ticked) event()          {}

// Action is what the directory wants done.
//
//sumtype:decl
type Action interface{ action() }

// SendBeacon sends this host's beacon.
type SendBeacon struct {
	// Addresses are ip:port of the receivers.
	Addresses []string
	// Loads says that the receivers use what the beacon says of loads.
	Loads bool
}

// ServingChanged says that callers are told other addresses.
type ServingChanged struct {
	// Serving are the hosts that they are told, by data centre and name.
	Serving []schema.Beacon
	// Ahead are the hosts that come before this one in what only a few hosts do:
	// first those that serve, then the others.
	Ahead []string
	// Self says that this host is one of them.
	Self bool
	// Hosts is the number of known hosts.
	Hosts int
}

// PeerLost says that a host is silent or stops.
type PeerLost struct {
	// Name is the host's name.
	Name string
	// Silent is how long it was silent.
	Silent time.Duration
}

// PeerFound says that a host is heard that was not before.
type PeerFound struct {
	// Name is the host's name.
	Name string
}

func (SendBeacon) action()     {}
func (ServingChanged) action() {}
func (PeerLost) action()       {}
func (PeerFound) action()      {}
