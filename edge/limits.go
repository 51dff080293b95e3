package edge

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tcp"
)

const (
	// maxHeadBytes is the largest request head in bytes: the largest limit that can be
	// declared, plus room for the request line.
	maxHeadBytes = maxDeclaredHeaderBytes + 2<<10
	// maxDeclaredHeaderBytes is the largest limit of header fields in bytes. A larger
	// declared one is lowered to it.
	maxDeclaredHeaderBytes = 16 << 10
	// defaultHeaderTimeout applies if operators declare none.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout applies if operators declare none. It exceeds the time for
	// which callers keep idle connections.
	defaultIdleTimeout = 60 * time.Second
)

// Reasons for which a request is rejected before it becomes a call.
const (
	rejectedHeaderBytes   = "header_bytes"
	rejectedHeaderTimeout = "header_timeout"
	rejectedBodyBytes     = "body_bytes"
	rejectedBodyTimeout   = "body_timeout"
	rejectedMalformed     = "malformed"
)

// callerLimits are the limits on callers' requests in force. The control duty
// replaces them, and the front reads them.
type callerLimits struct {
	inForce atomic.Pointer[schema.CallerLimits]
	// currency says whether their declaration is the newest one. It is nil until that is
	// known.
	currency atomic.Pointer[placement.CurrencyChanged]
}

// newCallerLimits returns the limits that apply without a declaration.
func newCallerLimits() *callerLimits {
	limits := &callerLimits{}
	limits.apply(schema.CallerLimits{})

	return limits
}

// apply puts declared limits in force and reports whether they differ from the
// previous ones. A limit of 0 is not declared; bodies then have none.
func (l *callerLimits) apply(declared schema.CallerLimits) bool {
	next := schema.CallerLimits{
		HeaderBytes:     min(cmp.Or(declared.HeaderBytes, maxDeclaredHeaderBytes), maxDeclaredHeaderBytes),
		BodyBytes:       declared.BodyBytes,
		HeaderTimeoutMs: cmp.Or(declared.HeaderTimeoutMs, int(defaultHeaderTimeout.Milliseconds())),
		IdleTimeoutMs:   cmp.Or(declared.IdleTimeoutMs, int(defaultIdleTimeout.Milliseconds())),
	}
	before := l.inForce.Swap(&next)

	return before == nil || *before != next
}

// isCurrent reports whether the declaration of the limits is known to be the newest one.
func (l *callerLimits) isCurrent(now time.Time) bool {
	currency := l.currency.Load()

	return currency != nil && currency.Current && !now.After(currency.Until)
}

// headerBytes returns the largest size of the header fields of a request.
func (l *callerLimits) headerBytes() int {
	return l.inForce.Load().HeaderBytes
}

// allowsHead reports whether a request head is within the limits. The request line and
// the empty line do not count, because callers count a head with or without them.
func (l *callerLimits) allowsHead(header *fasthttp.RequestHeader) bool {
	return len(header.RawHeaders())-len("\r\n") <= l.headerBytes()
}

// bodyBytes returns the largest size of a request body, or 0 if there is no limit.
func (l *callerLimits) bodyBytes() int {
	return l.inForce.Load().BodyBytes
}

// timeouts returns for how long a connection waits for bytes.
func (l *callerLimits) timeouts() tcp.ConnectionTimeouts {
	limits := l.inForce.Load()

	return tcp.ConnectionTimeouts{
		Header: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond, Idle: time.Duration(limits.IdleTimeoutMs) * time.Millisecond,
	}
}
