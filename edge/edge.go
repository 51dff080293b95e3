// Package edge runs an entry host on the users' platform: it makes the rings,
// opens the listeners and runs one goroutine for each duty in a group that
// stops together. What is decided stands in packages placement, declared and
// directory; how it is written on the wire in the adapter that is handed in.
// Change this package to join duties differently.
package edge

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/declared"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Site is what the platform tells a host about its place.
type Site struct {
	// Name is unique among the entry hosts.
	Name string
	// DataCentre is where the host runs.
	DataCentre string
	// CallerAddress is the ip:port for callers.
	CallerAddress string
	// ReadyAddress is the ip:port for readiness checks.
	ReadyAddress string
	// DirectoryAddress is the ip:port for callers that ask which host to use.
	DirectoryAddress string
	// ControlAddress is the ip:port for metrics and dumps.
	ControlAddress string
	// PeerAddress is the ip:port for beacons and for peers' requests.
	PeerAddress string
	// Seeds are addresses for beacons of some other hosts.
	Seeds []string
	// Grace is the time from a request to stop until the kill.
	Grace time.Duration
	// Budget bounds repeated sends.
	Budget placement.Budget
	// Capacity is the number of calls a second that the host can carry.
	Capacity int
}

// Adapter translates between the wire and the product's types. It decides
// nothing.
type Adapter struct {
	// ReadOrders reads what operators wrote.
	ReadOrders func(declared.Read) declared.Event
	// ReadRegistrations reads what backend servers wrote.
	ReadRegistrations func(declared.Read) declared.Event
	// Register keeps this host's addresses in the store.
	Register func(schema.Member) error
	// Members returns the hosts that have registered.
	Members func() ([]schema.Member, error)
	// ReadSite reads the settings file again.
	ReadSite func() (Site, error)
	// DecodeCall decodes a caller's request.
	DecodeCall func(ctx *fasthttp.RequestCtx, now time.Time) *Request
	// EncodeReply encodes the outcome of a call.
	EncodeReply func(ctx *fasthttp.RequestCtx, reply Reply)
	// EncodeSend encodes a request to a backend server.
	EncodeSend func(request *fasthttp.Request, attempt *Attempt, now time.Time)
	// DecodeAnswer decodes a backend server's answer.
	DecodeAnswer func(response *fasthttp.Response, attempt *Attempt) DecodedAnswer
	// DecodeProbe decodes the answer to a probe.
	DecodeProbe func(response *fasthttp.Response, server string) placement.ProbeEnded
	// MountReadiness adds the readiness check.
	MountReadiness func(app *fiber.App, ready func() bool)
	// MountDirectory adds the question which addresses to use.
	MountDirectory func(app *fiber.App, ask func(dataCentre string) ([]string, time.Duration))
}

// Request is a caller's request.
type Request struct {
	dispatch.Request
	// ID is the caller's id of the request.
	ID string
	// HostName is the host name that the caller stated.
	HostName string
	// Path is the path without the query.
	Path string
	// Wait is how long the caller waits, as it said.
	Wait time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reply is how a call ended.
type Reply struct {
	// Outcome says how.
	Outcome placement.Outcome
	// Answer is a backend server's answer if the outcome is Answered, else nil.
	Answer *dispatch.Answer
}

// Attempt is one send of a request, taken by a sender.
type Attempt struct {
	placement.Send
	// Request is what is sent.
	Request *Request
	// Context ends when the attempt is given up.
	Context context.Context //nolint:containedctx // one context for each attempt, made by the duty and read by a sender

	cancel context.CancelFunc
	answer *dispatch.Answer
}

// newAttempt returns an attempt ready for a sender.
func newAttempt(send placement.Send, request *Request) *Attempt {
	attempt := &Attempt{Send: send, Request: request}
	attempt.Context, attempt.cancel = context.WithCancel(context.Background())

	return attempt
}

// DecodedAnswer is a backend server's answer.
type DecodedAnswer struct {
	// Mismatched says that it belongs to another request.
	Mismatched bool
	// Result says how the send ended.
	Result placement.Result
	// Load is the reported load, or nil.
	Load *placement.Load
	// Answer is the answer for the caller, or nil.
	Answer *dispatch.Answer
	// KeepFor is how long the connection may be used again, or 0 if the backend
	// server does not say.
	KeepFor time.Duration
}

// Input is what the calls duty takes from its ring.
//
//sumtype:decl
type Input interface{ input() }

// CallArrived is a caller's request.
type CallArrived struct {
	// Call identifies the call within this process.
	Call placement.CallID
	// Request is the request.
	Request *Request
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[Reply]
}

// CallerLeft says that the caller of a call went away.
type CallerLeft struct {
	// Call identifies the call.
	Call placement.CallID
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	// Attempt is the attempt.
	Attempt *Attempt
	// Decoded is what came back.
	Decoded DecodedAnswer
}

// PlacementEvent is an event for the placer from another duty.
type PlacementEvent struct {
	// Event is the event.
	Event placement.Event
}

// ServingChanged says whether callers are told this host's address.
type ServingChanged struct {
	// Serving says that they are.
	Serving bool
}

// DumpQuery asks for the state of the host.
type DumpQuery struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.EdgeDump]
}

func (DumpQuery) input() {}

func (CallArrived) input()    {}
func (CallerLeft) input()     {}
func (AttemptEnded) input()   {}
func (PlacementEvent) input() {}
func (ServingChanged) input() {}

// ControlInput is what the control duty takes from its ring.
//
//sumtype:decl
type ControlInput interface{ controlInput() }

// DeclaredEvent brings the end of a read.
type DeclaredEvent struct {
	// Event is what was read.
	Event declared.Event
}

// BeaconArrived brings another host's beacon.
type BeaconArrived struct {
	// Beacon is the beacon.
	Beacon schema.Beacon
}

// MembersRead brings addresses of hosts from the store.
type MembersRead struct {
	// Addresses are ip:port for beacons.
	Addresses []string
}

// LoadsReported brings what this host knows about backend servers.
type LoadsReported struct {
	// Loads are its measurements and its attempts in flight.
	Loads []schema.ServerLoad
	// Calls is the number of calls a second that arrived.
	Calls int
}

// AddressesQuery asks which hosts a caller should use.
type AddressesQuery struct {
	// DataCentre is the caller's.
	DataCentre string
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[Addresses]
}

// Addresses are hosts that a caller should use.
type Addresses struct {
	// List are ip:port.
	List []string
	// Keep is how long the caller may keep them.
	Keep time.Duration
}

// ReadyQuery asks whether this host serves calls.
type ReadyQuery struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[bool]
}

// DeclaredQuery asks for what this host knows to be declared.
type DeclaredQuery struct {
	// Request says what the other host knows.
	Request schema.DeclaredRequest
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[schema.DeclaredAnswer]
}

// Stopping says that this host stops.
type Stopping struct{}

func (DeclaredEvent) controlInput()  {}
func (BeaconArrived) controlInput()  {}
func (MembersRead) controlInput()    {}
func (LoadsReported) controlInput()  {}
func (AddressesQuery) controlInput() {}
func (ReadyQuery) controlInput()     {}
func (DeclaredQuery) controlInput()  {}
func (Stopping) controlInput()       {}
