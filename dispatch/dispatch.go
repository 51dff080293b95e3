// Package dispatch is the duty that owns every call from its arrival to its
// end. It joins the decisions of packages caller and backend to the rings of
// the front end and of the senders, and knows neither HTTP nor sockets. Change
// this package to change how decisions are carried out, not what is decided.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/baobabdrum/baobabdrum/backend"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

// Header is one header field of a request or an answer.
type Header struct {
	// Name is the field's name.
	Name string
	// Value is the field's value.
	Value string
}

// Request is what a caller wants a backend server to run. It is never changed
// once offered, because several attempts may read it.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Target is the path and query at the backend server.
	Target string
	// Headers are passed on in their order.
	Headers []Header
	// Body is the whole body.
	Body []byte
}

// Answer is what a backend server or another entry host returned.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Headers are passed on in their order.
	Headers []Header
	// Body is the first part of the body, or all of it when Rest is nil.
	Body []byte
	// Length is the length of the whole body in bytes, or -1 if it is unknown.
	Length int
	// Rest brings the other parts of the body, or is nil.
	Rest *ring.Ring[Chunk]
	// Took is the time from sending the request to the end of a whole body.
	Took time.Duration
	// Forwarded says that another entry host answered.
	Forwarded bool
	// Outcome is what another entry host stated, or nil.
	Outcome caller.Outcome
}

// Chunk is a part of a large body.
type Chunk struct {
	// Data is the part; its buffer belongs to the taker.
	Data []byte
	// Last says that the body ended whole with this part.
	Last bool
	// Err says that the body was cut before its end.
	Err error
}

// Attempt is one run of a request, taken by a sender.
type Attempt struct {
	// ID identifies the attempt.
	ID backend.AttemptID
	// Call identifies the call.
	Call caller.CallID
	// Service names the service called.
	Service string
	// Address is the ip:port of a backend server or of another entry host.
	Address string
	// Request is what is sent.
	Request *Request
	// Deadline is when the attempt must have ended.
	Deadline time.Time
	// Forward says that the address is another entry host.
	Forward bool
	// Hops is the number of entry hosts that forwarded the call before.
	Hops int
	// Depth is the number of calls that the call is nested in.
	Depth int
	// OrderID is the id of a forwarded order, or empty.
	OrderID string
	// OrderAttempt is the number of requests that the caller sent for a forwarded
	// order before.
	OrderAttempt int
	// OrderFirst says that the caller vouches that it sent none.
	OrderFirst bool
	// Context ends when the attempt is given up.
	Context context.Context //nolint:containedctx // one context for each attempt, made by the duty and read by a sender

	cancel context.CancelFunc
}

// NewAttempt returns the attempt ready for a sender.
func NewAttempt(attempt Attempt) *Attempt {
	attempt.Context, attempt.cancel = context.WithCancel(context.Background())

	return &attempt
}

// Cancel gives up the attempt. The sender still reports how it ended.
func (a *Attempt) Cancel() {
	a.cancel()
}

// Probe asks a backend server for its health, taken by a prober.
type Probe struct {
	// Address is the backend server's ip:port.
	Address string
	// Timeout bounds the probe.
	Timeout time.Duration
}

// Target is a backend server that this host dispatches to.
type Target struct {
	// Address is its ip:port.
	Address string
	// Connections bounds this host's connections to it.
	Connections int
	// Preconnect is the number of connections to open ahead of need.
	Preconnect int
}

// Reply is what the front end gets for a call: AnswerBegun or Finished. A call has
// exactly one reply.
//
//sumtype:decl
type Reply interface{ reply() }

// AnswerBegun says that a large answer arrives.
type AnswerBegun struct {
	// Answer has the first part of the body.
	Answer *Answer
}

// Finished says how the call ended.
type Finished struct {
	// Outcome is the outcome.
	Outcome caller.Outcome
	// Answer is the whole answer if the outcome is Answered, else nil.
	Answer *Answer
}

func (AnswerBegun) reply() {}
func (Finished) reply()    {}

// AskReply answers a question: either Answer or Refusal is set.
type AskReply struct {
	// Answer is the answer, or nil.
	Answer *schema.AskAnswer
	// Refusal says why there is none.
	Refusal caller.NotRun
}

// Input is what the duty takes from its ring.
//
//sumtype:decl
type Input interface{ input() }

// Control is an input that concerns the host rather than one call.
//
//sumtype:decl
type Control interface {
	Input
	control()
}

// Ask is a caller's question.
type Ask struct {
	// Service names the service.
	Service string
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[AskReply]
}

// Call is a caller's request.
type Call struct {
	// Call describes the request; its ID comes from NextCall.
	Call caller.Call
	// Request is what a backend server receives.
	Request *Request
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[Reply]
}

// Cancel says that the caller of a call went away.
type Cancel struct {
	// Call identifies the call.
	Call caller.CallID
}

// Answering says that the first part of a large answer arrived.
type Answering struct {
	// Attempt is the attempt.
	Attempt *Attempt
	// Answer brings the rest.
	Answer *Answer
}

// Ended says how an attempt ended.
type Ended struct {
	// Attempt is the attempt.
	Attempt *Attempt
	// Result says how.
	Result backend.Result
	// Answer is the whole answer unless Answering came before.
	Answer *Answer
}

// Route puts other routes in force.
type Route struct {
	// Routes belong to the duty from now on.
	Routes *caller.Routes
}

// Isolate says whether this host must refuse calls because it was frozen or is
// cut off.
type Isolate struct {
	// Isolated says that it must.
	Isolated bool
}

// Confirm says that at a time this host was neither frozen nor isolated.
type Confirm struct {
	// At is the time.
	At time.Time
}

// Shares says how many hosts' shares of the probe budget this host may spend.
type Shares struct {
	// Held is the number of shares, its own among them.
	Held int
}

// Probed says how a probe ended.
type Probed struct {
	// Address is the backend server's ip:port.
	Address string
	// Healthy says that the backend server answered well in time.
	Healthy bool
}

// Dump asks for the state of the duty.
type Dump struct {
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[[]schema.CellDump]
}

func (OrderCall) input()  {}
func (OrderAsk) input()   {}
func (Claimed) input()    {}
func (OrdersDump) input() {}
func (Ask) input()        {}
func (Call) input()       {}
func (Cancel) input()     {}
func (Answering) input()  {}
func (Ended) input()      {}
func (Route) control()    {}
func (Isolate) control()  {}
func (Confirm) control()  {}
func (Shares) control()   {}
func (Dump) control()     {}

func (Route) input()   {}
func (Isolate) input() {}
func (Confirm) input() {}
func (Shares) input()  {}
func (Probed) input()  {}
func (Dump) input()    {}

// lastCall is the newest call id of this process.
var lastCall atomic.Uint64

// NextCall returns an id that no other call of this process has.
func NextCall() caller.CallID {
	return caller.CallID(lastCall.Add(1))
}
