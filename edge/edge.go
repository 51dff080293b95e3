// Package edge runs an entry host on a deployment platform. It creates the
// rings, opens the listeners and runs one goroutine for each duty in a group
// that stops together. Packages placement, declared and directory make the
// decisions; the Adapter that New receives holds the wire encoding. Change this
// package to connect duties differently.
package edge

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/rollout"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Site is the configuration that the platform gives to one entry host.
type Site struct {
	// Name is unique among the entry hosts.
	Name string
	// DataCentre is the data centre in which the host runs.
	DataCentre string
	// CallerAddress is the ip:port that accepts calls.
	CallerAddress string
	// ReadyAddress is the ip:port that answers readiness checks.
	ReadyAddress string
	// DirectoryAddress is the ip:port at which callers look up entry hosts.
	DirectoryAddress string
	// ControlAddress is the ip:port that serves metrics and dumps.
	ControlAddress string
	// PeerAddress is the ip:port for beacons (UDP) and requests (TCP) of other
	// hosts.
	PeerAddress string
	// Seeds are the beacon addresses of some other hosts.
	Seeds []string
	// Seed reports whether other hosts have this host among their seeds.
	Seed bool
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// Propagation is the time within which a change in the store must be in force, or 0
	// for declared.DefaultBound.
	Propagation time.Duration
	// Budget is the retry budget.
	Budget placement.Budget
	// Rollout bounds the exposure of callers to a new version of a service.
	Rollout rollout.Limits
	// Tolerance is the tolerance of the quotas of tenants.
	Tolerance allotment.Tolerance
	// FailClosed rejects all API keys while the host cannot tell whether its declaration
	// is the newest one.
	FailClosed bool
	// Capacity is the number of calls per second that the host can carry.
	Capacity int
	// MemoryBytes is the memory that the process may use, or 0 if it is unknown.
	MemoryBytes int
	// Descriptors is the number of descriptors that the process may use, or 0 if it is
	// unknown.
	Descriptors int
}

// Adapter translates between the wire format of a platform and the types of
// this module. It makes no decisions.
type Adapter struct {
	// ReadOrders reads operator orders from the store and notes when the answer arrived.
	ReadOrders func(declared.Read) declared.Event
	// ReadRegistrations reads the registrations of backend servers from the store and notes
	// when the answer arrived.
	ReadRegistrations func(declared.Read) declared.Event
	// Register writes this host's addresses to the store.
	Register func(schema.Member) error
	// Members returns the hosts that have registered in the store.
	Members func() ([]schema.Member, error)
	// ReadRollout returns the state of a service's rollout from the store.
	ReadRollout func(service string) (RolloutRow, error)
	// WriteRollout writes the state of a rollout to the store if its row still has the
	// version in it, and reports whether it has.
	WriteRollout func(RolloutRow) (bool, error)
	// CloseStore ends the exchanges with the store in progress; later ones fail.
	CloseStore func()
	// ReadSite reads the settings file again.
	ReadSite func() (Site, error)
	// DecodeCall decodes the head of a caller's request.
	DecodeCall func(ctx *fasthttp.RequestCtx, now time.Time) *Request
	// EncodeReply encodes the outcome of a call.
	EncodeReply func(ctx *fasthttp.RequestCtx, reply Reply)
	// EncodeSend encodes a request to a backend server.
	EncodeSend func(request *fasthttp.Request, attempt *Attempt, now time.Time)
	// DecodeAnswer decodes a backend server's answer.
	DecodeAnswer func(response *fasthttp.Response, attempt *Attempt) DecodedAnswer
	// AnswersProbe reports whether an answer belongs to a probe and not to a call.
	AnswersProbe func(response *fasthttp.Response) bool
	// DecodeProbe decodes the answer to a probe.
	DecodeProbe func(response *fasthttp.Response, server string) placement.ProbeEnded
	// MountReadiness adds the route of the readiness check.
	MountReadiness func(app *fiber.App, ready func() bool)
	// MountDirectory adds the route at which callers look up entry hosts.
	MountDirectory func(app *fiber.App, ask func(dataCentre string) ([]string, time.Duration))
}

// Request is a decoded request of a caller.
type Request struct {
	dispatch.Request
	// ID is the request ID that the caller assigned.
	ID string
	// HostName is the host name that the request addresses, without a port.
	HostName string
	// Path is the path without the query.
	Path string
	// Wait is how long the caller waits for an answer.
	Wait time.Duration
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// KeyDigest is the digest of the API key in the request, or empty if it has none.
	KeyDigest string
}

// Reply is the outcome of a call together with the answer, if there is one.
type Reply struct {
	// Outcome states how the call ended.
	Outcome placement.Outcome
	// Answer is the backend server's answer if the outcome is Answered, else nil.
	Answer *dispatch.Answer
	// Signed reports whether the answer has the signature of a backend server.
	Signed bool

	memory *memory.Reservation
}

// Attempt is one send of a request. The calls duty creates it and a sender runs
// it.
type Attempt struct {
	placement.Send
	// Request is the request to send.
	Request *Request
	// Context ends when the calls duty cancels the attempt.
	Context context.Context //nolint:containedctx // one context for each attempt, created by the duty and read by a sender

	cancel    context.CancelFunc
	offeredAt time.Time
	// cancelledFor is empty until the calls duty cancels the attempt.
	cancelledFor placement.CancelReason
	answer       *dispatch.Answer
	// signed reports whether the answer has the signature of a backend server.
	signed bool
	// memory is what the answer holds of the budget.
	memory *memory.Reservation
}

// newAttempt returns an attempt with a context of its own.
func newAttempt(now time.Time, send placement.Send, request *Request) *Attempt {
	attempt := &Attempt{Send: send, Request: request, offeredAt: now}
	attempt.Context, attempt.cancel = context.WithCancel(context.Background())

	return attempt
}

// DecodedAnswer is a backend server's answer to one attempt.
type DecodedAnswer struct {
	// Mismatched reports whether the answer belongs to another request.
	Mismatched bool
	// Result states how the attempt ended.
	Result placement.Result
	// Load is the load report in the answer, or nil.
	Load *placement.Load
	// Answer is the answer to forward to the caller, or nil.
	Answer *dispatch.Answer
	// Signed reports whether the answer has the signature of a backend server.
	Signed bool
	// KeepFor is how long the backend server keeps the idle connection open, or 0
	// if it does not say.
	KeepFor time.Duration
	// Unidentified reports that the answer does not state to which request it
	// belongs.
	Unidentified bool
	// Notice is what the backend server stated about itself.
	Notice placement.Notice
}

// Input is a message to the calls duty.
//
//sumtype:decl
type Input interface{ input() }

// CallArrived reports a caller's request.
type CallArrived struct {
	// Call identifies the call within this process.
	Call placement.CallID
	// Request is the decoded request.
	Request *Request
	// ReadFor is how long ago the head was read.
	ReadFor time.Duration
	// Ahead says that requests before this one on its connection have not been
	// answered.
	Ahead bool
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[Reply]
}

// CallerLeft reports that the caller of a call disconnected.
type CallerLeft struct {
	// Call identifies the call.
	Call placement.CallID
}

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	// Attempt is the attempt that ended.
	Attempt *Attempt
	// Decoded is the answer, or the result without one.
	Decoded DecodedAnswer
}

// PlacementEvent carries an event from another duty to the placer.
type PlacementEvent struct {
	// Event is passed to the placer unchanged.
	Event placement.Event
}

// DeclaredChanged carries a new declared state. The calls duty takes it before the calls
// that wait.
type DeclaredChanged struct {
	// Declared is the complete state.
	Declared schema.Declared
	// AdoptedAt is when the control duty adopted it.
	AdoptedAt time.Time
	// Source names where it came from: store, peer or retention_ended.
	Source string
}

// ServingChanged reports whether callers receive this host's address.
type ServingChanged struct {
	// Serving reports whether they do.
	Serving bool
}

// DumpQuery requests a dump of the host's state.
type DumpQuery struct {
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[schema.EdgeDump]
}

// OpenCallsQuery requests the number of calls without an outcome and has each of
// them logged.
type OpenCallsQuery struct {
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[OpenCalls]
}

// OpenCalls are the calls of a host without an outcome.
type OpenCalls struct {
	// Queued is the number of calls without an attempt in flight.
	Queued int
	// InFlight is the number of calls with an attempt in flight.
	InFlight int
}

func (DumpQuery) input()      {}
func (OpenCallsQuery) input() {}

func (CallArrived) input()     {}
func (CallerLeft) input()      {}
func (AttemptEnded) input()    {}
func (PlacementEvent) input()  {}
func (DeclaredChanged) input() {}
func (ServingChanged) input()  {}

// ControlInput is a message to the control duty.
//
//sumtype:decl
type ControlInput interface{ controlInput() }

// DeclaredEvent carries the result of a store read or of a fetch from another
// host.
type DeclaredEvent struct {
	// Event is passed to the replica unchanged.
	Event declared.Event
}

// BeaconArrived carries a received beacon.
type BeaconArrived struct {
	// Beacon is the decoded beacon.
	Beacon schema.Beacon
	// ArrivedAt is when it arrived, or zero if it is handled as it arrives.
	ArrivedAt time.Time
}

// MembersRead carries beacon addresses of hosts, read from the store or from
// the settings file.
type MembersRead struct {
	// Addresses are ip:port pairs.
	Addresses []string
}

// MembersAnswered carries another host's answer to a request for members.
type MembersAnswered struct {
	// Answered reports whether there is an answer.
	Answered bool
	// Answer lists the hosts.
	Answer schema.MembersAnswer
}

// MembersQuery requests the hosts that this host knows for another one.
type MembersQuery struct {
	// Request is the other host's request.
	Request schema.MembersRequest
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[schema.MembersAnswer]
}

// LoadsReported carries this host's load data about backend servers.
type LoadsReported struct {
	// Loads are this host's measurements and in-flight attempts.
	Loads []schema.ServerLoad
	// Calls is the number of calls per second that arrive.
	Calls int
	// Crosses is set if a notable part of them is sent to other data centres.
	Crosses bool
	// Leaving are the backend servers that told this host that they are leaving.
	Leaving []schema.LeavingServer
	// Rollouts are this host's reports on the rollout orders.
	Rollouts []schema.RolloutReport
	// Shares is this host's report on its shares of the quotas of tenants.
	Shares schema.ShareReport
}

// AddressesQuery requests the entry hosts that a caller should use.
type AddressesQuery struct {
	// DataCentre is the caller's data centre.
	DataCentre string
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[Addresses]
}

// Addresses are the entry hosts that a caller should use.
type Addresses struct {
	// List holds ip:port pairs.
	List []string
	// TTL is how long the caller may cache the list.
	TTL time.Duration
}

// ReadyQuery asks whether this host is ready to serve calls.
type ReadyQuery struct {
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[bool]
}

// DeclaredQuery requests this host's declared state for another host.
type DeclaredQuery struct {
	// Request states the versions that the other host has.
	Request schema.DeclaredRequest
	// Reply receives one reply and must have room for it.
	Reply *ring.Ring[schema.DeclaredAnswer]
}

// ConfirmationRequested asks to be told when the declared state has been confirmed.
type ConfirmationRequested struct {
	// Since is the time after which it has to be confirmed.
	Since time.Time
}

// Stopping reports that a planned stop of this host has begun.
type Stopping struct{}

func (DeclaredEvent) controlInput()         {}
func (BeaconArrived) controlInput()         {}
func (MembersRead) controlInput()           {}
func (MembersAnswered) controlInput()       {}
func (MembersQuery) controlInput()          {}
func (LoadsReported) controlInput()         {}
func (AddressesQuery) controlInput()        {}
func (ReadyQuery) controlInput()            {}
func (DeclaredQuery) controlInput()         {}
func (ConfirmationRequested) controlInput() {}
func (Stopping) controlInput()              {}
