// Package dispatch implements the dispatch duty, the one goroutine that owns
// every call from its arrival to its end. It reads calls, attempt results and
// control inputs from a ring, has packages caller and backend decide, passes
// attempts and probes to the rings of the senders and probers, and replies to
// the front end. It contains no HTTP or socket code. Change this package to
// change how decisions are carried out, not what is decided.
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

// Header is one header field of a request or a response.
type Header struct {
	// Name is the field name.
	Name string
	// Value is the field value.
	Value string
}

// Request is the request that a backend server receives. It is read-only once
// offered, because several attempts may read it.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Target is the path and query at the backend server.
	Target string
	// Headers are the end-to-end header fields, in the order received.
	Headers []Header
	// Body is the complete body.
	Body []byte
}

// Answer is the response of a backend server or of another entry host.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Headers are the header fields to pass on, in the order received.
	Headers []Header
	// Body is the first part of the body, or all of it when Rest is nil.
	Body []byte
	// Length is the length of the complete body in bytes, or -1 if it is unknown.
	Length int
	// Rest delivers the remaining parts of the body; nil if Body is complete.
	Rest *ring.Ring[Chunk]
	// Took is the time from sending the request to the end of a complete body.
	Took time.Duration
	// Forwarded reports whether the response came from another entry host.
	Forwarded bool
	// Outcome is the outcome that another entry host stated, or nil.
	Outcome caller.Outcome
}

// Chunk is one part of a large body.
type Chunk struct {
	// Data holds the bytes; the receiver owns the buffer.
	Data []byte
	// Last reports whether this part completes the body.
	Last bool
	// Err is set if the body was truncated.
	Err error
}

// Attempt is one try to send a request to one address. A sender carries it out.
type Attempt struct {
	// ID identifies the attempt.
	ID backend.AttemptID
	// Call identifies the call.
	Call caller.CallID
	// Service is the name of the called service.
	Service string
	// Address is the ip:port of a backend server or of another entry host.
	Address string
	// Request is the request to send.
	Request *Request
	// Deadline is the time by which the attempt must end.
	Deadline time.Time
	// Forward reports whether Address is another entry host.
	Forward bool
	// Hops is the number of entry hosts that have forwarded the call, this one
	// included. It is set only if Forward is set.
	Hops int
	// Depth is the number of calls that the call is nested in.
	Depth int
	// OrderID is the id of a forwarded order, or empty.
	OrderID string
	// OrderAttempt is the number of earlier requests that the caller sent for a
	// forwarded order.
	OrderAttempt int
	// OrderFirst reports whether the caller guarantees that it sent no earlier
	// request for the order.
	OrderFirst bool
	// Context ends when the attempt is cancelled.
	Context context.Context //nolint:containedctx // one context for each attempt, made by the duty and read by a sender

	cancel context.CancelFunc
}

// NewAttempt returns a copy of the attempt with its own cancellable context.
func NewAttempt(attempt Attempt) *Attempt {
	attempt.Context, attempt.cancel = context.WithCancel(context.Background())

	return &attempt
}

// Cancel cancels the attempt. The sender still reports its result.
func (a *Attempt) Cancel() {
	a.cancel()
}

// Probe is one health check of a backend server. A prober carries it out.
type Probe struct {
	// Address is the backend server's ip:port.
	Address string
	// Timeout is the time within which the backend server must respond.
	Timeout time.Duration
}

// Target is a backend server that this host dispatches to.
type Target struct {
	// Address is the backend server's ip:port.
	Address string
	// Connections is the maximum number of this host's connections to it.
	Connections int
	// Preconnect is the number of connections to open ahead of need.
	Preconnect int
}

// Reply is the reply to the front end for a call: AnswerBegun or Finished. Each
// call receives exactly one reply.
//
//sumtype:decl
type Reply interface{ reply() }

// AnswerBegun reports that the first part of a large response has arrived.
type AnswerBegun struct {
	// Answer holds the head and the first part of the body.
	Answer *Answer
}

// Finished reports how a call ended.
type Finished struct {
	// Outcome is the outcome for the caller.
	Outcome caller.Outcome
	// Answer is the complete response if the outcome is Answered, otherwise nil.
	Answer *Answer
}

func (AnswerBegun) reply() {}
func (Finished) reply()    {}

// AskReply is the reply to an Ask. Either Answer or Refusal is set.
type AskReply struct {
	// Answer lists the hosts, or is nil.
	Answer *schema.AskAnswer
	// Refusal holds the reason if Answer is nil.
	Refusal caller.NotRun
}

// Input is an item of the ring that the dispatch duty reads from.
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

// Ask requests the entry hosts that a caller should use for a service.
type Ask struct {
	// Service is the name of the service.
	Service string
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[AskReply]
}

// Call is a caller's request to run a call.
type Call struct {
	// Call describes the request; its ID comes from NextCall.
	Call caller.Call
	// Request is the request for the backend server.
	Request *Request
	// Reply receives one reply; it must have room.
	Reply *ring.Ring[Reply]
}

// Cancel reports that the caller of a call has disconnected.
type Cancel struct {
	// Call identifies the call.
	Call caller.CallID
}

// Answering reports that the first part of a large response has arrived.
type Answering struct {
	// Attempt is the attempt that received it.
	Attempt *Attempt
	// Answer holds the first part of the body and delivers the rest.
	Answer *Answer
}

// Ended reports how an attempt ended.
type Ended struct {
	// Attempt is the attempt that ended.
	Attempt *Attempt
	// Result tells how it ended.
	Result backend.Result
	// Answer is the complete response unless an Answering preceded.
	Answer *Answer
}

// Route replaces the routes in force.
type Route struct {
	// Routes are the new routes; the duty takes ownership of them.
	Routes *caller.Routes
}

// Isolate tells whether this host must refuse calls because it was frozen, has
// lost contact with the platform and most of its peers, or was replaced by a
// later process of its name.
type Isolate struct {
	// Isolated reports whether the host must refuse calls.
	Isolated bool
}

// Confirm reports that this host was neither frozen nor isolated at a given time.
type Confirm struct {
	// At is the time to which the confirmation applies.
	At time.Time
}

// Shares sets how many hosts' shares of the probe budget this host may spend.
type Shares struct {
	// Held is the number of shares, including this host's own.
	Held int
}

// Probed reports the result of a probe.
type Probed struct {
	// Address is the backend server's ip:port.
	Address string
	// Healthy reports whether the backend server responded with success in time.
	Healthy bool
}

// Dump requests the state of the cells.
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

// lastCall is the most recently issued call id of this process.
var lastCall atomic.Uint64

// NextCall returns a call id that is unique within this process.
func NextCall() caller.CallID {
	return caller.CallID(lastCall.Add(1))
}
