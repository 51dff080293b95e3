package directory

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is an input of Directory.Step.
//
//sumtype:decl
type Event interface{ event() }

// BeaconReceived is the arrival of another host's beacon.
type BeaconReceived struct {
	// Beacon is the decoded beacon.
	Beacon schema.Beacon
}

// AddressesAdded adds addresses at which entry hosts may run.
type AddressesAdded struct {
	// Addresses are the ip:port to which beacons are sent.
	Addresses []string
}

// MembersAnswered is the answer to AskMembers.
type MembersAnswered struct {
	// Answer lists the hosts.
	Answer schema.MembersAnswer
}

// AskFailed reports that the host did not answer AskMembers.
type AskFailed struct{}

// ReadyChanged updates this host's readiness.
type ReadyChanged struct {
	// Ready is set if this host accepts calls.
	Ready bool
}

// CallsCounted updates this host's call rate.
type CallsCounted struct {
	// Calls is the number of calls a second that arrive at this host.
	Calls int
	// Crosses is set if a notable part of them is sent to other data centres.
	Crosses bool
}

// UpdateArrived reports a change at this host that serving hosts need to receive
// promptly.
type UpdateArrived struct{}

// ReadsChanged reports that this host began or ceased to read the store. All other
// hosts depend on the readers.
type ReadsChanged struct{}

// StoreRestored reports that the store was restored from a copy, which may lack what hosts
// wrote since.
type StoreRestored struct{}

// Ticked reports that time has passed.
type Ticked struct{}

func (BeaconReceived) event()  {}
func (AddressesAdded) event()  {}
func (ReadyChanged) event()    {}
func (CallsCounted) event()    {}
func (UpdateArrived) event()   {}
func (ReadsChanged) event()    {}
func (StoreRestored) event()   {}
func (Ticked) event()          {}
func (MembersAnswered) event() {}
func (AskFailed) event()       {}

// Action is an output of Directory.Step that the host carries out.
//
//sumtype:decl
type Action interface{ action() }

// SendBeacon sends this host's beacon.
type SendBeacon struct {
	// Addresses are the ip:port of the receivers.
	Addresses []string
	// Loads is set if the receivers use load reports.
	Loads bool
}

// ServingChanged reports a change of the serving hosts, of the number of hosts or of
// the number of those that share the quotas of tenants.
type ServingChanged struct {
	// Serving are the serving hosts, sorted by data centre and name.
	Serving []schema.Beacon
	// Ahead are the names of the hosts that precede this one in duties of only a few
	// hosts: serving hosts first, then the others.
	Ahead []string
	// Self is set if this host is a serving host.
	Self bool
	// Hosts is the number of known hosts, including this one.
	Hosts int
	// Sharers is the number of hosts that share the quotas of tenants, including this
	// one whether it serves or not.
	Sharers int
}

// AskMembers asks another host for the hosts that it knows. It ends with
// MembersAnswered or AskFailed.
type AskMembers struct {
	// Address is the ip:port of the host to ask.
	Address string
	// DataCentre limits the answer to the serving hosts and one data centre; empty asks
	// for all hosts.
	DataCentre string
}

// JoinStore registers this host in the store and adds the addresses of the hosts
// that are registered there.
type JoinStore struct{}

// Register registers this host in the store.
type Register struct{}

// PeerLost reports that a live host has become silent or was announced as lost.
type PeerLost struct {
	// Name is the host's name.
	Name string
	// Silent is the time since the host's last beacon.
	Silent time.Duration
}

// PeerFound reports that a new or lost host is live.
type PeerFound struct {
	// Name is the host's name.
	Name string
}

func (SendBeacon) action()     {}
func (AskMembers) action()     {}
func (JoinStore) action()      {}
func (Register) action()       {}
func (ServingChanged) action() {}
func (PeerLost) action()       {}
func (PeerFound) action()      {}
