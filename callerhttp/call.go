package callerhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
	"github.com/baobabdrum/baobabdrum/dispatch"
	"github.com/baobabdrum/baobabdrum/ring"
)

const (
	// maxDepth is the maximum nesting depth of calls.
	maxDepth = 16
	// maxHops is the maximum number of forwards that a request may state.
	maxHops = 3
	// replyGrace is how long after its deadline a call's reply is still expected.
	// A later reply is not awaited during a shutdown.
	replyGrace = time.Second
	// maxDeadline is the maximum time that a caller may wait.
	maxDeadline = 10 * time.Minute
)

// call handles /call/SERVICE/PATH: it runs the request and returns the response.
func (f *Front) call(c fiber.Ctx) error {
	began := time.Now()
	call, faults := f.decode(c)
	if len(faults) > 0 {
		f.Metrics.Rejected(string(caller.ReasonInvalid))

		return reject(c, faults)
	}
	reply := ring.New[dispatch.Reply]("reply", 1)
	if err := f.Inputs.Offer(dispatch.Call{Call: call, Request: copyRequest(c), Reply: reply}); err != nil {
		f.Metrics.Rejected(string(caller.ReasonOverloaded))

		return fail(c, caller.NotRun{Reason: caller.ReasonOverloaded}, err.Error())
	}
	switch reply := f.wait(c, call, reply).(type) {
	case dispatch.AnswerBegun:
		return f.stream(c, call, reply.Answer)
	case dispatch.Finished:
		if reply.Answer != nil && !reply.Answer.Forwarded {
			f.Metrics.AddedLatency(time.Since(began) - reply.Answer.Took)
		}

		return finish(c, reply)
	default:
		return fail(c, caller.Unknown{Reason: caller.ReasonStopping}, "the host stopped before the call ended")
	}
}

// decode returns the call that a request describes, and the rejected header
// fields.
func (f *Front) decode(c fiber.Ctx) (caller.Call, []fault) {
	limits := faults{}
	timeout := limits.number(c, backendhttp.HeaderDeadline, f.CallTimeout.Milliseconds(), 1, maxDeadline.Milliseconds())
	depth := limits.number(c, backendhttp.HeaderDepth, 0, 0, maxDepth)
	hops := limits.number(c, backendhttp.HeaderHops, 0, 0, maxHops)
	method := c.Method()

	return caller.Call{
		ID:         dispatch.NextCall(),
		Service:    strings.Clone(c.Params("service")),
		Caller:     c.RequestCtx().RemoteIP().String(),
		Idempotent: method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions,
		Deadline:   time.Now().Add(time.Duration(timeout) * time.Millisecond),
		Depth:      int(depth),
		Hops:       int(hops),
	}, limits.found
}

// copyRequest copies the method, target, end-to-end header fields and body for
// the backend server.
func copyRequest(c fiber.Ctx) *dispatch.Request {
	target := "/" + strings.Clone(c.Params("*"))
	if query := c.RequestCtx().URI().QueryString(); len(query) > 0 {
		target += "?" + string(query)
	}
	copied := &dispatch.Request{
		Method: strings.Clone(c.Method()),
		Target: target,
		Body:   append([]byte(nil), c.Request().Body()...),
	}
	connection := c.Request().Header.Peek(fiber.HeaderConnection)
	for name, value := range c.Request().Header.All() {
		if backendhttp.IsEndToEnd(name, connection) {
			copied.Headers = append(copied.Headers, dispatch.Header{Name: string(name), Value: string(value)})
		}
	}

	return copied
}

// wait returns the reply of the dispatch duty, or nil if the front is shutting
// down and the reply is overdue. Until then, calls in flight continue during a
// shutdown. If the caller closes the connection, wait cancels the call.
func (f *Front) wait(c fiber.Ctx, call caller.Call, reply *ring.Ring[dispatch.Reply]) dispatch.Reply {
	overdue := call.Deadline.Add(replyGrace)
	_ = c.RequestCtx().Conn().SetReadDeadline(time.Time{}) // it fails only on a closed connection, which is detected below
	timer := time.NewTimer(disconnectPollInterval)
	defer timer.Stop()
	cancelled := false
	for {
		select {
		case received := <-reply.Items():
			return received
		case <-timer.C:
			if c.RequestCtx().Err() != nil && time.Now().After(overdue) {
				return nil
			}
			if !cancelled && disconnected(c.RequestCtx().Conn()) {
				cancelled = f.Inputs.Offer(dispatch.Cancel{Call: call.ID}) == nil
			}
			timer.Reset(disconnectPollInterval)
		}
	}
}

// finish writes the response for the outcome of a call.
func finish(c fiber.Ctx, reply dispatch.Finished) error {
	if _, answered := reply.Outcome.(caller.Answered); !answered {
		return fail(c, reply.Outcome, "the call was not answered")
	}
	writeHead(c, reply.Answer)

	return c.Send(reply.Answer.Body)
}

// writeHead writes the status and the header fields of a response.
func writeHead(c fiber.Ctx, answer *dispatch.Answer) {
	c.Status(answer.Status)
	if !answer.Forwarded {
		c.Set(HeaderOutcome, "answered")
	}
	for _, header := range answer.Headers {
		c.Response().Header.Add(header.Name, header.Value)
	}
	if answer.Length >= 0 && c.Method() == http.MethodHead {
		c.Set(fiber.HeaderContentLength, strconv.Itoa(answer.Length))
	}
}
