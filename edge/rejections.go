package edge

import (
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/memory"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/tcp"
)

// Faults of rejected requests. They are fixed texts, because those of the HTTP library
// quote the request, which may contain a key.
const (
	faultHeadLimit     = "head exceeds the declared limit"
	faultHeadBuffer    = "head exceeds the read buffer"
	faultBodyAnnounced = "announced body exceeds the declared limit"
	faultBodyLimit     = "body exceeds the declared limit"
	faultSlow          = "request was not complete in time"
	faultEnded         = "connection ended within the request"
	faultReset         = "connection was reset"
	faultFraming       = "request has more framing than content"
	faultBody          = "body is malformed"
	faultOther         = "request is malformed"
)

// parserFaults are the faults that the parser of the HTTP server names before it quotes
// the head.
var parserFaults = [...]string{
	"cannot find http request method", "unsupported http request method", "cannot find whitespace in the first line of request",
	"unsupported http version", "request uri cannot be empty", "invalid request uri", "invalid header key", "invalid header value",
	"too many transfer-encoding headers", "unsupported transfer-encoding", "too many host headers", "conflicting content-type headers",
	"duplicate content-length header", "cannot parse content-length", "content-length and transfer-encoding conflict", "missing required host header",
	"malformed mime header",
}

// rejection says why a request does not become a call.
type rejection struct {
	// Status is the HTTP status of the answer.
	Status int
	// Reason is the reason by which rejections are counted.
	Reason string
	// Fault is a fixed text that describes what is wrong.
	Fault string
	// HeadBytes is the size of the head, or of what was read of it, in bytes.
	HeadBytes int
}

// headFault describes an error of reading a head by a fixed text.
func headFault(err error) string {
	if fault, known := connectionFault(err); known {
		return fault
	}
	text, _, _ := strings.Cut(err.Error(), `"`)
	for _, fault := range parserFaults {
		if strings.Contains(text, fault) {
			return fault
		}
	}

	return faultOther
}

// bodyFault describes an error of reading a body by a fixed text.
func bodyFault(err error) string {
	if fault, known := connectionFault(err); known {
		return fault
	}

	return faultBody
}

// connectionFault describes an error that does not come from parsing, if it is one.
func connectionFault(err error) (fault string, known bool) {
	var framing *tcp.OverheadError
	switch {
	case errors.As(err, &framing):
		return faultFraming, true
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return faultEnded, true
	case errors.Is(err, syscall.ECONNRESET):
		return faultReset, true
	}

	return "", false
}

// headSize returns the size of a head in bytes.
func headSize(header *fasthttp.RequestHeader) int {
	requestLine := len(header.Method()) + len(header.RequestURI()) + len(header.Protocol()) + len("  \r\n")

	return requestLine + len(header.RawHeaders())
}

// rejectOverLimit ends a request whose head is too large or announces a body that is,
// and reports whether it did.
func (f *callerFront) rejectOverLimit(ctx *fasthttp.RequestCtx) bool {
	header := &ctx.Request.Header
	size := headSize(header)
	switch limit := f.limits.bodyBytes(); {
	case !f.limits.allowsHead(header):
		f.rejectOverDeclared(ctx, rejection{Status: fasthttp.StatusRequestHeaderFieldsTooLarge, Reason: rejectedHeaderBytes, Fault: faultHeadLimit, HeadBytes: size})
	case limit > 0 && header.ContentLength() > limit:
		f.rejectOverDeclared(ctx, rejection{Status: fasthttp.StatusRequestEntityTooLarge, Reason: rejectedBodyBytes, Fault: faultBodyAnnounced, HeadBytes: size})
	default:
		return false
	}

	return true
}

// rejectOverDeclared ends a request that exceeds a declared limit. By an outdated
// declaration it is not rejected for good, because a newer one may allow it.
func (f *callerFront) rejectOverDeclared(ctx *fasthttp.RequestCtx, rejected rejection) {
	if f.limits.isCurrent(time.Now()) {
		f.reject(ctx, rejected)

		return
	}
	rejected.Status = fasthttp.StatusServiceUnavailable
	f.reject(ctx, rejected)
	f.reply(ctx, Reply{Outcome: placement.NotRun{Reason: placement.ReasonOutdated, RetryAfter: limitRetryAfter}})
}

// rejectHead ends a request whose head could not be read.
func (f *callerFront) rejectHead(ctx *fasthttp.RequestCtx, err error) {
	var tooLarge *fasthttp.ErrSmallBuffer
	rejected := rejection{Status: fasthttp.StatusBadRequest, Reason: rejectedMalformed, Fault: headFault(err)}
	if conn, ok := ctx.Conn().(*tcp.ServedConn); ok {
		rejected.HeadBytes = conn.Received()
	}
	switch {
	case errors.As(err, &tooLarge):
		rejected.Status, rejected.Reason, rejected.Fault = fasthttp.StatusRequestHeaderFieldsTooLarge, rejectedHeaderBytes, faultHeadBuffer
	case timedOut(ctx):
		rejected.Status, rejected.Reason, rejected.Fault = fasthttp.StatusRequestTimeout, rejectedHeaderTimeout, faultSlow
	}
	f.reject(ctx, rejected)
}

// timedOut reports whether a request was not read to its end in time. Errors of the HTTP
// library do not always tell, as some hide their cause.
func timedOut(ctx *fasthttp.RequestCtx) bool {
	conn, ok := ctx.Conn().(*tcp.ServedConn)

	return ok && conn.TimedOut
}

// reject ends a request that was not read to its end and closes the connection when
// the caller has read the answer.
func (f *callerFront) reject(ctx *fasthttp.RequestCtx, rejected rejection) {
	f.metrics.Rejected(rejected.Reason)
	f.logRejection(ctx, rejected)
	ctx.SetStatusCode(rejected.Status)
	ctx.SetConnectionClose()
	linger(ctx)
}

// logRejection logs a request that does not become a call, unless many are.
func (f *callerFront) logRejection(ctx *fasthttp.RequestCtx, rejected rejection) {
	unlogged, ok := f.rejections.Next(time.Now())
	if !ok {
		return
	}
	pipelining, undivided := false, false
	if conn, ok := ctx.Conn().(*tcp.ServedConn); ok {
		_, pipelining = conn.Handler.(*pipeline)
		pipelining, undivided = pipelining || conn.Requests.Held() > 0, conn.Requests.Undivided()
	}
	f.log.Event(eventlog.Warning, "request_rejected", "request was rejected before it became a call",
		eventlog.Text("reason", rejected.Reason), eventlog.Integer("status", rejected.Status), eventlog.Text("error", rejected.Fault),
		eventlog.Integer("head_bytes", rejected.HeadBytes), eventlog.Flag("pipelining", pipelining), eventlog.Flag("undivided", undivided),
		eventlog.Count("unlogged", unlogged))
}

// rejectBody ends a call whose body was not read. No backend server runs it. The
// connection is closed, because the rest of the body is still to come.
func (f *callerFront) rejectBody(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	var (
		exhausted *memory.ExhaustedError
		tooLarge  *backendhttp.BodyLimitError
	)
	rejected := rejection{Status: fasthttp.StatusBadRequest, Reason: rejectedMalformed, Fault: bodyFault(err), HeadBytes: headSize(&ctx.Request.Header)}
	switch {
	case errors.As(err, &exhausted):
		f.metrics.Exhausted(exhausted.Use.String())
		f.reply(ctx, Reply{Outcome: placement.NotRun{Reason: placement.ReasonMemory, RetryAfter: memoryRetryAfter}})
		linger(ctx)
	case errors.As(err, &tooLarge):
		rejected.Status, rejected.Reason, rejected.Fault = fasthttp.StatusRequestEntityTooLarge, rejectedBodyBytes, faultBodyLimit
		f.rejectOverDeclared(ctx, rejected)
	case timedOut(ctx):
		rejected.Status, rejected.Reason, rejected.Fault = fasthttp.StatusRequestTimeout, rejectedBodyTimeout, faultSlow
		f.reject(ctx, rejected)
	default:
		f.reject(ctx, rejected)
	}
}
