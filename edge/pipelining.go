package edge

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// maxAheadRequests is the largest number of requests of a connection that are read
	// ahead.
	maxAheadRequests = 16
	// maxHostAheadRequests is the largest number of them on all connections.
	maxHostAheadRequests = 1024
	// closingPollInterval is the time between checks whether a stopping front has
	// answered what it read ahead, and has closed its connections.
	closingPollInterval = 5 * time.Millisecond
)

// aheadCall is a call whose request was read ahead.
type aheadCall struct {
	// head are the bytes of the request, which has no body.
	head    []byte
	call    placement.CallID
	request *Request
	arrived time.Time
	reply   *ring.Ring[Reply]
}

// pipeline is the state of a connection on which bytes have followed an open request.
// It belongs to the goroutine that serves the connection.
type pipeline struct {
	front *callerFront
	conn  *tcp.ServedConn
	// started are the calls whose requests come next, in their order.
	started []*aheadCall
	// decoder holds the request that is being decoded.
	decoder fasthttp.RequestCtx
	// held is what the bytes read ahead hold of the memory budget.
	held *memory.Reservation
	// arrivals receives the end of each wait for bytes. awaiting says that one runs.
	arrivals *ring.Ring[tcp.State]
	awaiting bool
}

// pipelineOf returns the state of a connection, or nil if no bytes have followed an open
// request on it.
func (f *callerFront) pipelineOf(conn *tcp.ServedConn) *pipeline {
	if p, ok := conn.Handler.(*pipeline); ok {
		return p
	}
	if conn.Requests.Held() == 0 {
		return nil
	}

	return f.newPipeline(conn)
}

// newPipeline gives a connection its state.
func (f *callerFront) newPipeline(conn *tcp.ServedConn) *pipeline {
	p := &pipeline{front: f, conn: conn, held: f.budget.Reserve(memory.Requests), arrivals: ring.New[tcp.State]("arrivals", 1)}
	conn.Handler = p

	return p
}

// noticePipelining gives a connection its state if bytes have followed the request that
// is about to be answered. It looks at the first, second, fourth, eighth and so on request
// of a connection: callers with two requests open at a time are noticed early, and others
// do not pay a system call for each request.
func (f *callerFront) noticePipelining(ctx *fasthttp.RequestCtx, peeker *tcp.Peeker) {
	number := ctx.ConnRequestNum()
	if number&(number-1) == 0 && !ctx.Request.Header.ConnectionClose() && peeker.Peek() == tcp.Readable {
		f.newPipeline(ctx.Conn().(*tcp.ServedConn))
	}
}

// serveAhead replies to a request that was read ahead with the reply to the call that
// was started for it. It reports whether it did.
func (f *callerFront) serveAhead(ctx *fasthttp.RequestCtx) bool {
	p, ok := ctx.Conn().(*tcp.ServedConn).Handler.(*pipeline)
	if !ok || len(p.started) == 0 {
		return false
	}
	next := p.started[0]
	if !isHead(next.head, &ctx.Request.Header) {
		p.discard()
		p.conn.Requests.ServeUndivided()

		return false
	}
	p.started = p.started[1:]
	f.aheadRequests.Add(-1)
	received := p.wait(ctx, next.call, next.request, next.reply)
	if _, deferred := received.Outcome.(placement.Deferred); deferred {
		f.place(ctx, next.request, next.arrived)

		return true
	}
	f.reply(ctx, received)

	return true
}

// wait returns the outcome of a call, like callerFront.wait. Meanwhile it reads ahead
// and starts calls.
func (p *pipeline) wait(ctx *fasthttp.RequestCtx, call placement.CallID, request *Request, reply *ring.Ring[Reply]) Reply {
	more := p.start(&ctx.Request.Header)
	if received, found := reply.Poll(); found {
		return received
	}
	_ = p.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, which is detected below
	defer p.endAwait()
	timer := time.NewTimer(disconnectPollInterval)
	defer timer.Stop()
	peeker := tcp.NewPeeker(p.conn)
	overdue := request.Deadline.Add(replyGrace)
	left := false
	p.await(more)
	for {
		select {
		case received := <-reply.Items():
			return received
		case state := <-p.arrivals.Items():
			p.awaiting = false
			if state == tcp.Closed {
				left = p.leave(call)
			}
			p.await(state == tcp.Readable && p.read() && p.start(&ctx.Request.Header))
		case <-timer.C:
			if time.Now().After(overdue) {
				return Reply{Outcome: placement.Unknown{Reason: placement.ReasonTimeout}}
			}
			if !p.awaiting && !left && peeker.Peek() == tcp.Closed {
				left = p.leave(call)
			}
			timer.Reset(disconnectPollInterval)
		}
	}
}

// await starts a reader that waits for bytes, if wanted.
func (p *pipeline) await(wanted bool) {
	if !wanted {
		return
	}
	p.awaiting = true
	p.front.readers.Go(func() { _ = p.arrivals.Offer(p.conn.Await()) }) // the ring has room, as one wait runs at a time
}

// endAwait ends the wait for bytes, so that the server can read.
func (p *pipeline) endAwait() {
	if !p.awaiting {
		return
	}
	p.conn.EndAwait()
	<-p.arrivals.Items()
	p.awaiting = false
	p.conn.ResetAwait()
}

// read reads bytes ahead and reports whether it did.
func (p *pipeline) read() bool {
	before := p.conn.Requests.Held()
	if before >= tcp.MaxAheadBytes || !p.conn.ReadAhead(tcp.MaxAheadBytes-before) {
		return false
	}

	return p.account()
}

// account makes the reservation equal what is held ahead now, and reports whether the
// memory budget admits it. What the server has received no longer counts.
func (p *pipeline) account() bool {
	p.held.Release()
	count := p.conn.Requests.Held()

	return count == 0 || p.held.Grow(count) == nil
}

// start starts calls for the requests that were read ahead. It reports whether more
// bytes may be read ahead. Nothing runs beside an open request that may change what
// later ones read, or after a request that closes the connection.
func (p *pipeline) start(open *fasthttp.RequestHeader) bool {
	if !p.account() || open.ConnectionClose() || !open.IsGet() && !open.IsHead() {
		return false
	}
	for len(p.started) < maxAheadRequests && !p.front.stopping.Load() {
		if p.front.aheadRequests.Add(1) > maxHostAheadRequests {
			p.front.aheadRequests.Add(-1)

			return false
		}
		head, state := p.conn.Requests.NextAhead()
		if state != tcp.HeadComplete || !p.startCall(head) {
			p.front.aheadRequests.Add(-1)

			return state == tcp.HeadPartial
		}
	}

	return false
}

// startCall starts the call of a request that was read ahead. It returns false, and the
// connection is served one request at a time from now on, if the HTTP server would not
// accept the request.
func (p *pipeline) startCall(head []byte) bool {
	arrived := time.Now()
	request := p.decode(head, arrived)
	if request == nil {
		p.conn.Requests.ServeUndivided()

		return false
	}
	next := &aheadCall{
		head: bytes.Clone(head), call: placement.CallID(p.front.lastCallID.Add(1)), request: request, arrived: arrived,
		reply: ring.New[Reply]("reply", 1),
	}
	p.started = append(p.started, next)
	p.front.metrics.ReadAhead()
	if p.front.inputs.Offer(CallArrived{Call: next.call, Request: request, Reply: next.reply, Ahead: true}) != nil {
		p.front.metrics.Dropped("calls")
		_ = next.reply.Offer(Reply{Outcome: placement.Deferred{}}) // the ring is new
	}

	return true
}

// decode decodes a head with the parser of the HTTP server. It returns nil if the server
// would reject it or read it differently.
func (p *pipeline) decode(head []byte, arrived time.Time) *Request {
	header := &p.decoder.Request.Header
	header.Reset()
	reader := bufio.NewReaderSize(bytes.NewReader(head), len(head))
	if header.Read(reader) != nil || reader.Buffered() > 0 || !isHead(head, header) || !p.front.limits.allowsHead(header) {
		return nil
	}

	return p.front.adapter.DecodeCall(&p.decoder, arrived)
}

// isHead reports whether bytes are the head that was parsed.
func isHead(text []byte, parsed *fasthttp.RequestHeader) bool {
	for _, part := range [...][]byte{parsed.Method(), {' '}, parsed.RequestURI(), {' '}, parsed.Protocol(), []byte("\r\n"), parsed.RawHeaders()} {
		rest, found := bytes.CutPrefix(text, part)
		if !found {
			return false
		}
		text = rest
	}

	return len(text) == 0
}

// leave reports that the caller has disconnected, for the open call and those that were
// started. It returns false if that could not be reported.
func (p *pipeline) leave(call placement.CallID) bool {
	reported := p.front.inputs.Offer(CallerLeft{Call: call}) == nil
	for _, next := range p.started {
		reported = p.front.inputs.Offer(CallerLeft{Call: next.call}) == nil && reported
	}

	return reported
}

// discard cancels the calls that were started and are not used.
func (p *pipeline) discard() {
	for _, next := range p.started {
		p.front.metrics.UnusedAhead()
		if p.front.inputs.Offer(CallerLeft{Call: next.call}) != nil {
			p.front.metrics.Dropped("calls") // it runs to its end
		}
	}
	p.front.aheadRequests.Add(-int64(len(p.started)))
	p.started = nil
}

// flushUndivided has the server send a response at once on a connection on which it may
// have received the next request. Otherwise it would send both responses together. A
// write deadline that the handler sets has that effect.
func (f *callerFront) flushUndivided(ctx *fasthttp.RequestCtx) {
	if ctx.Conn().(*tcp.ServedConn).Requests.Undivided() {
		_ = ctx.SetWriteDeadline(time.Now().Add(f.server.WriteTimeout)) // fails only on a closed connection
	}
}

// closePipeline prepares a connection for its close after this response, if it closes:
// what was read ahead counts as not read, and unread bytes must not reset the connection
// before the caller has read the response.
func (f *callerFront) closePipeline(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn().(*tcp.ServedConn)
	p, pipelined := conn.Handler.(*pipeline)
	if f.stopping.Load() && (!pipelined || len(p.started) == 0) {
		ctx.SetConnectionClose()
	}
	if !ctx.Response.ConnectionClose() && !ctx.Request.Header.ConnectionClose() {
		return
	}
	if pipelined {
		p.discard()
	}
	if pipelined || f.stopping.Load() && tcp.HasUnread(conn.TCPConn) {
		conn.Linger()
	}
}

// endPipelines has the server discard what was read ahead on connections that close.
func (f *callerFront) endPipelines() {
	attached := f.server.ConnState
	f.server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		attached(conn, state)
		if state != fasthttp.StateClosed {
			return
		}
		if served, ok := conn.(*tcp.ServedConn); ok {
			if p, ok := served.Handler.(*pipeline); ok {
				p.discard()
				p.held.Release()
			}
		}
	}
}

// closeConnections closes the connections of a front that accepts no more: idle ones
// when the requests that were read ahead have been answered, because the server takes a
// connection between two of these for idle, and others after their response. It returns
// when callers have read what lingering connections hold.
func (f *callerFront) closeConnections(ctx context.Context) error {
	for ctx.Err() == nil && f.aheadRequests.Load() > 0 {
		pause(ctx, closingPollInterval)
	}
	err := f.server.ShutdownWithContext(ctx)
	for ctx.Err() == nil && f.connections.Open() > 0 {
		pause(ctx, closingPollInterval)
	}
	if f.connections.Open() == 0 {
		f.readers.Wait()
	}

	return err
}
