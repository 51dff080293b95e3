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
	// Asked is when the read began.
	Asked time.Time
}

// SeedsRead brings hosts to exchange with that the platform's list does not
// name, from a snapshot.
type SeedsRead struct {
	// Hosts are the hosts in the snapshot.
	Hosts []schema.ListedHost
}

// DigestHeard says that another host's digest arrived.
type DigestHeard struct {
	// Digest is the digest.
	Digest schema.Digest
	// Asked is when this host sent the digest that was answered, or zero if the
	// other host began the exchange.
	Asked time.Time
}

// ExchangeFailed says that another host did not answer an exchange.
type ExchangeFailed struct {
	// Address is the other host's ip:port for peers.
	Address string
}

// ConfigurationInForce says which configuration this host uses.
type ConfigurationInForce struct {
	// Version is the version.
	Version int
	// Overrides are those in force.
	Overrides []schema.Override
}

// LeaveStarted says that this host stops and takes no more work.
type LeaveStarted struct{}

func (Ticked) event()               {}
func (ListRead) event()             {}
func (SeedsRead) event()            {}
func (DigestHeard) event()          {}
func (ExchangeFailed) event()       {}
func (ConfigurationInForce) event() {}
func (LeaveStarted) event()         {}

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
	// Asked is when the exchange began; it comes back with the DigestHeard.
	Asked time.Time
}

// LiveChanged says that the set of live hosts or of leaving hosts is another.
type LiveChanged struct {
	// Hosts are the live hosts by name.
	Hosts []schema.Host
	// Leaving are the hosts that leave and still answer, by name.
	Leaving []schema.Host
}

// IsolationChanged says that this host must stop or may again start placing
// calls.
type IsolationChanged struct {
	// Isolated says that it must not.
	Isolated bool
}

// LivenessConfirmed says that at this time this host is neither frozen nor isolated.
type LivenessConfirmed struct{}

// SharesChanged says how many hosts' shares of the probe budget this host may
// spend in the cells that it owns.
type SharesChanged struct {
	// Held is the number of shares, its own among them.
	Held int
}

// OverridesHeard brings overrides from another host.
type OverridesHeard struct {
	// Overrides are those in force there.
	Overrides []schema.Override
}

// FetchConfiguration asks another host for its newer configuration.
type FetchConfiguration struct {
	// Address is the other host's ip:port for peers.
	Address string
	// Above is this host's version in force.
	Above int
}

// Violation reports a broken invariant. It is a defect of this program.
type Violation struct {
	// Invariant names the invariant.
	Invariant string
	// Detail says what was found.
	Detail string
}

func (Exchange) action()           {}
func (LiveChanged) action()        {}
func (IsolationChanged) action()   {}
func (LivenessConfirmed) action()  {}
func (SharesChanged) action()      {}
func (OverridesHeard) action()     {}
func (FetchConfiguration) action() {}
func (Violation) action()          {}

const (
	// FrozenAfter is the gap between two ticks after which a host knows that it
	// was frozen. It is smaller than TakeoverAfter, so that a host gives up its
	// cells before others take them over.
	FrozenAfter = 900 * time.Millisecond
	// TakeoverAfter is how long a host may go without a new heartbeat before
	// others take over its cells.
	TakeoverAfter = 2 * time.Second
	// takeoverPerHost stretches TakeoverAfter when there are so many hosts that
	// heartbeats travel longer.
	takeoverPerHost = 150 * time.Millisecond
	// IsolatedAfter is how long a host may go without the platform and without
	// half of its peers before it refuses calls.
	IsolatedAfter = 4 * time.Second
	// forgetAfter is how long a silent host is still exchanged with.
	forgetAfter = 10 * time.Minute
	// fetchTimeout is how long a fetch of the configuration excludes another.
	fetchTimeout = 2 * time.Second
	// maxDigestHosts bounds the host records in one digest.
	maxDigestHosts = 1
	// unchangedRecordInterval is the number of digests in which unchanged records get one
	// turn.
	unchangedRecordInterval = 16
	// maxNewPeerHosts bounds the host records in the digest for a host that was
	// not known before.
	maxNewPeerHosts = 16
	// maxDigestHeartbeats bounds the heartbeats in one digest.
	maxDigestHeartbeats = 16
	// heartbeatsPerRecord is the number of heartbeats that make room for a record.
	heartbeatsPerRecord = 13
	// maxDigestOverrides bounds the overrides in one digest.
	maxDigestOverrides = 16
	// changedRecordSends is how often a changed record goes before unchanged ones.
	changedRecordSends = 6
)
