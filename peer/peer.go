// Package peer decides which entry hosts are live, from digests that hosts
// exchange in pairs and from the platform's lagging list. It holds no clock,
// socket, goroutine or lock. Encoding lives in package peerrpc. Change this
// package to change membership.
package peer

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is what the membership reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Ticked says that the time for another exchange has come.
type Ticked struct{}

// ListRead says that the platform's list of hosts was read.
type ListRead struct {
	// List is the list.
	List schema.HostList
}

// DigestHeard says that another host's digest arrived.
type DigestHeard struct {
	// Digest is the digest.
	Digest schema.Digest
}

// ConfigurationInForce says which configuration version this host uses.
type ConfigurationInForce struct {
	// Version is the version.
	Version int
}

// StateChanged says that this host's own life-cycle state is another.
type StateChanged struct {
	// State is the new state.
	State schema.HostState
}

func (Ticked) event()               {}
func (ListRead) event()             {}
func (DigestHeard) event()          {}
func (ConfigurationInForce) event() {}
func (StateChanged) event()         {}

// Action is what the membership wants done.
//
//sumtype:decl
type Action interface{ action() }

// Exchange sends this host's digest to another host, whose digest comes back
// as a DigestHeard.
type Exchange struct {
	// Address is the other host's ip:port for peers.
	Address string
	// Digest is this host's digest.
	Digest schema.Digest
}

// LiveChanged says that the set of live hosts is another.
type LiveChanged struct {
	// Hosts are the live hosts by name.
	Hosts []schema.Host
}

// FetchConfiguration asks another host for its newer configuration.
type FetchConfiguration struct {
	// Address is the other host's ip:port for peers.
	Address string
	// Above is this host's version in force.
	Above int
}

func (Exchange) action()           {}
func (LiveChanged) action()        {}
func (FetchConfiguration) action() {}

const (
	// suspectAfter is how long a host may go without a new heartbeat before it
	// counts as dead.
	suspectAfter = 2 * time.Second
	// digestHosts bounds the host records in one digest.
	digestHosts = 16
)
