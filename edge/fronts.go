package edge

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// disconnectPollInterval is the time between checks whether the caller is
	// still connected.
	disconnectPollInterval = 100 * time.Millisecond
	// replyGrace is how long after its deadline the front still waits for the
	// outcome of a call.
	replyGrace = time.Second
	// maxPrefetchBytes is the number of bytes of a request body that are read before
	// the memory budget is asked.
	maxPrefetchBytes = 8 << 10
	// maxQueryBytes is the largest body in bytes of a request to the directory, the
	// readiness check or the operator address, none of which needs one.
	maxQueryBytes = 4 << 10
	// heldBodyBytes is the size in bytes from which an answer holds its part of the
	// memory budget until the caller has read it.
	heldBodyBytes = 32 << 10
	// memoryRetryAfter is the retry delay of calls for which there was no memory.
	memoryRetryAfter = 500 * time.Millisecond
	// limitRetryAfter is the retry delay of requests over a limit of an outdated
	// declaration. Hosts usually have a newer one, or theirs confirmed, in less time.
	limitRetryAfter = 500 * time.Millisecond
	// bodyTimeout is the time in which a caller must send the body of a request.
	bodyTimeout = 10 * time.Second
	// queryTimeout is the longest wait for the answer of a duty.
	queryTimeout = 500 * time.Millisecond
	// writeTimeout is the time in which a caller must read an answer.
	writeTimeout = 30 * time.Second
	// writeBufferSize is the size in bytes of the write buffer of a caller's
	// connection.
	writeBufferSize = 4 << 10
)

// callerFront is the HTTP server for callers.
type callerFront struct {
	adapter     Adapter
	inputs      *ring.Ring[Input]
	log         *eventlog.Log
	metrics     *Metrics
	budget      *memory.Budget
	limits      *callerLimits
	connections *tcp.ConnectionSet
	stopping    atomic.Bool
	active      atomic.Int64
	lastCallID  atomic.Uint64
	// lateCalls and lastCallAt, in Unix nanoseconds, are the number of calls that
	// arrived after the request to stop and the time of the last one.
	lateCalls  atomic.Int64
	lastCallAt atomic.Int64
	// aheadRequests is the number of requests that were read ahead and whose turn has
	// not come.
	aheadRequests atomic.Int64
	// rejections bounds the log lines about requests that did not become calls.
	rejections eventlog.Burst
	// readers run while a request of a pipelining connection is open.
	readers conc.WaitGroup
	server  *fasthttp.Server
	// finished receives one item when the server has closed its last connection.
	finished *ring.Ring[error]
}

// newCallerFront returns a front that does not serve yet.
func newCallerFront(adapter Adapter, inputs *ring.Ring[Input], log *eventlog.Log, metrics *Metrics, budget *memory.Budget, limits *callerLimits, connections *tcp.ConnectionSet) *callerFront {
	front := &callerFront{
		adapter: adapter, inputs: inputs, log: log, metrics: metrics, budget: budget, limits: limits, connections: connections,
		finished: ring.New[error]("finished", 1),
	}
	front.server = &fasthttp.Server{
		Handler:                      front.serve,
		ErrorHandler:                 front.rejectHead,
		ReadBufferSize:               maxHeadBytes,
		WriteBufferSize:              writeBufferSize,
		MaxRequestBodySize:           maxPrefetchBytes,
		StreamRequestBody:            true,
		WriteTimeout:                 writeTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	connections.DivideRequests = true
	connections.Attach(front.server, bodyTimeout)
	front.endPipelines()

	return front
}

// discardLogger drops the HTTP library's messages about broken connections,
// which are not events of this program.
type discardLogger struct{}

// Printf drops a message.
func (discardLogger) Printf(string, ...any) {}

// run serves callers. When closing ends, it stops accepting connections and
// waits until the open ones are closed. It returns when ctx ends.
func (f *callerFront) run(ctx, closing context.Context, listener *net.TCPListener) error {
	accepting := tcp.NewLingeringListener(listener)
	stop := context.AfterFunc(closing, func() { _ = accepting.Drain() }) // fails only on a closed listener
	if err := f.server.Serve(tcp.NewBoundedListener(accepting, f.connections)); stop() {
		return eris.Wrap(err, "serving calls")
	}
	_ = f.finished.Offer(f.closeConnections(ctx)) // the ring has room
	<-ctx.Done()

	return ctx.Err()
}

// serve passes a request to the calls duty and writes the reply.
func (f *callerFront) serve(ctx *fasthttp.RequestCtx) {
	f.active.Add(1)
	defer f.active.Add(-1)
	conn := ctx.Conn().(*tcp.ServedConn)
	if !conn.Begin() {
		f.reply(ctx, Reply{Outcome: placement.NotRun{Reason: placement.ReasonOverloaded, RetryAfter: rejectRetryAfter}})

		return
	}
	if f.rejectOverLimit(ctx) || f.serveAhead(ctx) {
		return
	}
	arrived := time.Now()
	if f.stopping.Load() {
		f.metrics.ArrivedStopping()
		f.lateCalls.Add(1)
		f.lastCallAt.Store(arrived.UnixNano())
	}
	if readAt := conn.Requests.HeadReadAt(); !readAt.IsZero() {
		arrived = readAt
	}
	request := f.adapter.DecodeCall(ctx, arrived)
	held := f.budget.Reserve(memory.Requests)
	defer held.Release()
	if err := readBody(ctx, request, held, f.limits.bodyBytes()); err != nil {
		f.rejectBody(ctx, err)

		return
	}
	f.place(ctx, request, arrived)
}

// place passes a decoded request to the calls duty and writes the reply.
func (f *callerFront) place(ctx *fasthttp.RequestCtx, request *Request, arrived time.Time) {
	reply := ring.New[Reply]("reply", 1)
	call := placement.CallID(f.lastCallID.Add(1))
	if f.inputs.Offer(CallArrived{Call: call, Request: request, ReadFor: time.Since(arrived), Reply: reply}) != nil {
		f.metrics.Dropped("calls")
		f.reply(ctx, Reply{Outcome: placement.NotRun{Reason: placement.ReasonOverloaded, RetryAfter: queryTimeout}})

		return
	}
	f.reply(ctx, f.wait(ctx, call, request, reply))
}

// linger keeps the connection open until the caller has read the answer.
func linger(ctx *fasthttp.RequestCtx) {
	if lingering, ok := ctx.Conn().(interface{ Linger() }); ok {
		lingering.Linger()
	}
}

// readBody reads the body of a request into memory of the budget. A limit of 0 is
// none.
func readBody(ctx *fasthttp.RequestCtx, request *Request, held *memory.Reservation, limit int) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil
	}
	if limit > 0 {
		stream = io.LimitReader(stream, int64(limit)+1)
	}
	stream = &tcp.Content{Reader: stream, Delivered: ctx.Conn().(*tcp.ServedConn).Delivered}
	body, err := memory.ReadAll(stream, max(ctx.Request.Header.ContentLength(), -1), held.Grow)
	if limit > 0 && len(body) > limit {
		return &backendhttp.BodyLimitError{Limit: limit}
	}
	request.Body = body

	return err
}

// releaseWhenWritten returns what an answer holds of the memory budget, for a large
// answer when it has been written.
func releaseWhenWritten(ctx *fasthttp.RequestCtx, reply Reply) {
	if reply.Answer == nil || len(reply.Answer.Body) < heldBodyBytes || ctx.IsHead() {
		reply.memory.Release()

		return
	}
	ctx.Response.SetBodyStream(&heldBody{Reader: bytes.NewReader(reply.Answer.Body), held: reply.memory}, len(reply.Answer.Body))
}

// heldBody is a body that releases its memory when it is closed.
type heldBody struct {
	*bytes.Reader
	held *memory.Reservation
}

// Close releases the memory.
func (b *heldBody) Close() error {
	b.held.Release()

	return nil
}

// reply writes the outcome of a call and closes the connection if the host is
// stopping.
func (f *callerFront) reply(ctx *fasthttp.RequestCtx, reply Reply) {
	f.adapter.EncodeReply(ctx, reply)
	releaseWhenWritten(ctx, reply)
	f.flushUndivided(ctx)
	f.closePipeline(ctx)
}

// wait returns the outcome of a call. It cancels the call when the caller
// closes the connection. When bytes follow the request, the connection becomes a
// pipeline.
func (f *callerFront) wait(ctx *fasthttp.RequestCtx, call placement.CallID, request *Request, reply *ring.Ring[Reply]) Reply {
	conn := ctx.Conn().(*tcp.ServedConn)
	if p := f.pipelineOf(conn); p != nil {
		return p.wait(ctx, call, request, reply)
	}
	_ = ctx.Conn().SetReadDeadline(time.Time{}) // fails only on a closed connection, which is detected below
	timer := time.NewTimer(disconnectPollInterval)
	defer timer.Stop()
	peeker := tcp.NewPeeker(ctx.Conn())
	overdue := request.Deadline.Add(replyGrace)
	cancelled := false
	for {
		select {
		case received := <-reply.Items():
			f.noticePipelining(ctx, peeker)

			return received
		case <-timer.C:
			if time.Now().After(overdue) {
				return Reply{Outcome: placement.Unknown{Reason: placement.ReasonTimeout}}
			}
			switch state := peeker.Peek(); {
			case state == tcp.Closed && !cancelled:
				cancelled = f.inputs.Offer(CallerLeft{Call: call}) == nil
			case state == tcp.Readable:
				return f.newPipeline(conn).wait(ctx, call, request, reply)
			}
			timer.Reset(disconnectPollInterval)
		}
	}
}

// dutyClient sends queries to duties on behalf of HTTP handlers.
type dutyClient struct {
	control *ring.Ring[ControlInput]
	calls   *ring.Ring[Input]
}

// queryDuty sends a query to a duty and returns the answer, or the zero value
// if the duty does not answer within queryTimeout.
func queryDuty[In, Out any](duty *ring.Ring[In], query func(reply *ring.Ring[Out]) In) Out {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	reply := ring.New[Out]("answer", 1)
	var zero Out
	if duty.Offer(query(reply)) != nil {
		return zero
	}
	answer, err := reply.Take(ctx)
	if err != nil {
		return zero
	}

	return answer
}

// ready reports whether this host is ready to serve calls.
func (c *dutyClient) ready() bool {
	return queryDuty(c.control, func(reply *ring.Ring[bool]) ControlInput { return ReadyQuery{Reply: reply} })
}

// addresses returns the entry hosts that a caller should use and how long it
// may cache them.
func (c *dutyClient) addresses(dataCentre string) ([]string, time.Duration) {
	answer := queryDuty(c.control, func(reply *ring.Ring[Addresses]) ControlInput {
		return AddressesQuery{DataCentre: dataCentre, Reply: reply}
	})

	return answer.List, answer.TTL
}

// newApp returns an HTTP application without routes.
func newApp() *fiber.App {
	return fiber.New(fiber.Config{AppName: "baobabdrum", CaseSensitive: true, BodyLimit: maxQueryBytes})
}

// serveApp serves an HTTP application until the context ends.
func serveApp(ctx context.Context, app *fiber.App, listener *net.TCPListener, connections *tcp.ConnectionSet) error {
	stop := context.AfterFunc(ctx, func() { _ = app.ShutdownWithTimeout(queryTimeout) }) // the process exits in any case
	defer stop()
	connections.Attach(app.Server(), bodyTimeout)
	bounded := tcp.NewBoundedListener(tcp.NewLingeringListener(listener), connections)

	return eris.Wrap(app.Listener(bounded, fiber.ListenConfig{DisableStartupMessage: true}), "serving requests")
}

// dump returns a dump of the host's state.
func (c *dutyClient) dump() schema.EdgeDump {
	return queryDuty(c.calls, func(reply *ring.Ring[schema.EdgeDump]) Input { return DumpQuery{Reply: reply} })
}
