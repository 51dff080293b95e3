// Package peer implements the gossip membership of entry hosts. From the
// digests that hosts exchange in pairs and the platform's lagging host list it
// decides which hosts are live, whether this host is isolated, and which shares
// of the probe budget it may use. It is a state machine: events go in, actions
// come out, and it holds no clock, socket, goroutine or lock. Package peerrpc
// encodes its messages. Change this package to change membership.
package peer

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Event is an input to Membership.Step.
//
//sumtype:decl
type Event interface{ event() }

// Ticked reports that the interval between exchanges has passed.
type Ticked struct{}

// ListRead carries the platform's host list.
type ListRead struct {
	// List is the host list, which may lag behind.
	List schema.HostList
	// Asked is when the read began.
	Asked time.Time
}

// SeedsRead carries hosts from a snapshot, as exchange partners that the
// platform's list may not name.
type SeedsRead struct {
	// Hosts are the hosts in the snapshot.
	Hosts []schema.ListedHost
}

// DigestReceived carries another host's digest.
type DigestReceived struct {
	// Digest is the other host's digest.
	Digest schema.Digest
	// Asked is when this host began the exchange, or zero if the other host
	// began it.
	Asked time.Time
}

// ExchangeFailed reports that another host did not answer an exchange.
type ExchangeFailed struct {
	// Address is the other host's peer address, ip:port.
	Address string
}

// ConfigurationInForce reports the configuration that this host uses.
type ConfigurationInForce struct {
	// Version is the configuration version.
	Version int
	// Overrides are the operators' overrides in force.
	Overrides []schema.Override
}

// LeaveStarted reports that this host is stopping and takes no more work.
type LeaveStarted struct{}

func (Ticked) event()               {}
func (ListRead) event()             {}
func (SeedsRead) event()            {}
func (DigestReceived) event()       {}
func (ExchangeFailed) event()       {}
func (ConfigurationInForce) event() {}
func (LeaveStarted) event()         {}

// Action is an output of Membership.Step that the caller carries out.
//
//sumtype:decl
type Action interface{ action() }

// Exchange sends this host's digest to another host. The response is fed back
// as a DigestReceived.
type Exchange struct {
	// Address is the other host's peer address, ip:port.
	Address string
	// Digest is this host's digest.
	Digest schema.Digest
	// Asked is when the exchange began; the DigestReceived carries it back.
	Asked time.Time
}

// LiveChanged reports a change of the live or the leaving hosts.
type LiveChanged struct {
	// Hosts are the live hosts sorted by name.
	Hosts []schema.Host
	// Leaving are the hosts that are leaving and still send heartbeats, sorted
	// by name.
	Leaving []schema.Host
}

// IsolationChanged reports that this host must stop placing calls or may
// resume.
type IsolationChanged struct {
	// Isolated is true when the host must not place calls.
	Isolated bool
}

// LivenessConfirmed reports that this host is neither frozen nor isolated at
// the time of the step.
type LivenessConfirmed struct{}

// SharesChanged reports how many hosts' shares of the probe budget this host
// may spend in the cells that it owns.
type SharesChanged struct {
	// Held is the number of shares, including this host's own.
	Held int
}

// OverridesReceived carries the overrides of another host.
type OverridesReceived struct {
	// Overrides are the overrides in force at the other host.
	Overrides []schema.Override
}

// FetchConfiguration requests a newer configuration from another host.
type FetchConfiguration struct {
	// Address is the other host's peer address, ip:port.
	Address string
	// Above is the configuration version in force at this host.
	Above int
}

// Violation reports a broken invariant, which is a defect of this program.
type Violation struct {
	// Invariant is the name of the invariant.
	Invariant string
	// Detail describes the state that broke it.
	Detail string
}

func (Exchange) action()           {}
func (LiveChanged) action()        {}
func (IsolationChanged) action()   {}
func (LivenessConfirmed) action()  {}
func (SharesChanged) action()      {}
func (OverridesReceived) action()  {}
func (FetchConfiguration) action() {}
func (Violation) action()          {}

const (
	// FreezeThreshold is the gap between two ticks above which a host counts as
	// having been frozen. It is shorter than TakeoverAfter, so that a host
	// gives up its cells before others take them over.
	FreezeThreshold = 900 * time.Millisecond
	// TakeoverAfter is the time without a new heartbeat after which other hosts
	// take over a host's cells.
	TakeoverAfter = 2 * time.Second
	// takeoverPerHost is the takeover timeout for each known host. The sum
	// applies once it exceeds TakeoverAfter, because heartbeats take longer to
	// spread among many hosts.
	takeoverPerHost = 150 * time.Millisecond
	// IsolatedAfter is the time without contact to the platform and to half of
	// the peers after which a host refuses calls.
	IsolatedAfter = 4 * time.Second
	// forgetAfter is the time without a new heartbeat after which a host is
	// removed and no longer contacted.
	forgetAfter = 10 * time.Minute
	// fetchTimeout is how long a configuration fetch blocks the next one.
	fetchTimeout = 2 * time.Second
	// maxDigestHosts limits the host records in a regular digest.
	maxDigestHosts = 1
	// unchangedRecordInterval is the interval, in digests, at which a digest
	// may carry an unchanged record.
	unchangedRecordInterval = 16
	// maxNewPeerHosts limits the host records in the digest after a new peer
	// was heard.
	maxNewPeerHosts = 16
	// maxDigestHeartbeats limits the heartbeats in one digest.
	maxDigestHeartbeats = 16
	// heartbeatsPerRecord is the number of heartbeats that one host record
	// displaces from a digest, which bounds the digest's size.
	heartbeatsPerRecord = 13
	// maxDigestOverrides limits the overrides in one digest.
	maxDigestOverrides = 16
	// changedRecordSends is the number of times that a changed record is sent
	// in preference to unchanged records.
	changedRecordSends = 6
)
