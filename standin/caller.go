package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// maxTries bounds how often a caller tries a call that was not run.
	maxTries = 3
	// retryPause is the time before a caller tries again.
	retryPause = 20 * time.Millisecond
	// hostQueryTimeout bounds a question to one host.
	hostQueryTimeout = 500 * time.Millisecond
)

// The words for outcomes in header fields and reports.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// The reasons of requests without a response.
const (
	reasonNoConnection = "no_connection"
	reasonNoResponse   = "no_response"
)

// cachedAnswer is an answer to "which host" that is still kept.
type cachedAnswer struct {
	addresses []string
	expiresAt time.Time
}

// Caller is one caller. It asks which hosts to use, keeps the answer and calls.
type Caller struct {
	settings    schema.LoadSettings
	client      *fasthttp.Client
	number      int
	began       time.Time
	answers     map[string]cachedAnswer
	tallies     map[string]*Tally
	phases      map[phase]*Tally
	hostIndex   int
	ordersEnded map[string][]string
	reasons     map[schema.LoadReason]int
}

// NewCaller returns a caller that knows only the configured addresses.
// The time at which the run began tells its orders from those of other runs.
func NewCaller(settings schema.LoadSettings, client *fasthttp.Client, began time.Time, number int) *Caller {
	caller := &Caller{
		settings: settings, client: client, began: began, number: number,
		answers: map[string]cachedAnswer{}, tallies: map[string]*Tally{}, phases: map[phase]*Tally{},
		hostIndex: number, ordersEnded: map[string][]string{}, reasons: map[schema.LoadReason]int{},
	}
	for _, service := range slices.Concat(settings.Services, settings.OrderServices) {
		caller.tallies[service] = NewTally(service)
	}
	for _, phase := range phases {
		caller.phases[phase] = NewTally(string(phase))
	}

	return caller
}

// run makes the calls that are due until the context ends.
func (c *Caller) run(ctx context.Context, due *ring.Ring[scheduledCall]) {
	for {
		call, err := due.Take(ctx)
		if err != nil {
			return
		}
		c.call(call)
	}
}

// call makes one call, with retries if they are safe.
func (c *Caller) call(call scheduledCall) {
	tally := c.tallies[call.service]
	deadline := call.at.Add(c.settings.Deadline)
	identity := orderIdentity{name: c.orderName(call)}
	var result requestResult
	for try := range maxTries {
		result = c.try(call, tryDeadline(time.Now(), deadline, try), try, &identity)
		if !result.mayRetry() || time.Now().After(deadline) {
			break
		}
		delete(c.answers, call.service)
		identity.prepareRetry(result, call.number%2 == 0)
		tally.report.Retried++
		time.Sleep(retryPause)
	}
	took := time.Since(call.at)
	tally.Count(result)
	tally.Record(result, took)
	c.phases[call.phase].Count(result)
	if result.outcome != outcomeAnswered {
		c.reasons[schema.LoadReason{Outcome: result.outcome, Reason: result.reason, Ordered: call.isOrder()}]++
	}
	if call.isOrder() {
		c.ordersEnded[result.outcome] = append(c.ordersEnded[result.outcome], identity.name)
	} else {
		c.phases[call.phase].Record(result, took)
	}
}

// tryDeadline returns when a request must have ended that leaves the later
// tries their share of the time.
func tryDeadline(now, deadline time.Time, try int) time.Time {
	return now.Add(deadline.Sub(now) / time.Duration(maxTries-try))
}

// requestResult is how one request ended.
type requestResult struct {
	outcome     string
	reason      string
	misdirected bool
	failed      bool
}

// mayRetry reports whether the call may be made again: it was not run, or it is
// idempotent, or its order id or number keeps it from running again.
func (e requestResult) mayRetry() bool {
	return e.outcome != outcomeAnswered
}

// try makes one request.
func (c *Caller) try(call scheduledCall, deadline time.Time, try int, identity *orderIdentity) requestResult {
	addresses := c.identify(call, identity)
	if len(addresses) == 0 {
		return requestResult{outcome: outcomeNotRun, reason: reasonNoConnection}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	echo := strconv.Itoa(call.number)
	c.encode(request, call, addresses[try%len(addresses)])
	identity.encode(request)
	request.Header.Set(HeaderEcho, echo)
	request.Header.Set(backendhttp.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	if err := c.client.DoDeadline(request, response, deadline); err != nil {
		return identity.failureResult(err)
	}
	result := requestResult{
		outcome: string(response.Header.Peek(backendhttp.HeaderOutcome)),
		reason:  string(response.Header.Peek(backendhttp.HeaderReason)),
		failed:  response.StatusCode() >= fasthttp.StatusInternalServerError,
	}
	if c.settings.Direct {
		result.outcome = outcomeAnswered
	}
	if result.outcome == outcomeAnswered && response.StatusCode() != fasthttp.StatusGone {
		result.misdirected = string(response.Header.Peek(HeaderEcho)) != echo || !result.failed && !call.isComplete(len(response.Body()))
	}

	return result
}

// encode fills the request.
func (c *Caller) encode(request *fasthttp.Request, call scheduledCall, address string) {
	prefix := "/call/"
	if call.isOrder() {
		prefix = "/order/"
		request.Header.SetMethod(fasthttp.MethodPost)
	}
	prefix += call.service
	if c.settings.Direct {
		prefix = ""
	}
	request.SetRequestURI("http://" + address + prefix + call.path())
}

// failureResult returns how a request without a response ended. A request without a
// connection was not run.
func failureResult(err error) requestResult {
	var network *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &network) && network.Op == "dial" {
		return requestResult{outcome: outcomeNotRun, reason: reasonNoConnection}
	}

	return requestResult{outcome: outcomeUnknown, reason: reasonNoResponse}
}

// addresses returns the hosts to use for a service, from a kept answer or by asking.
func (c *Caller) addresses(service string) []string {
	if c.settings.Direct {
		return []string{c.settings.HostAddresses[c.number%len(c.settings.HostAddresses)]}
	}
	answer, ok := c.answers[service]
	if ok && time.Now().Before(answer.expiresAt) {
		return answer.addresses
	}
	for range c.settings.HostAddresses {
		asked, ok := c.queryHost(service)
		if !ok {
			c.hostIndex++

			continue
		}
		until := time.Now().Add(time.Duration(asked.KeepMs) * time.Millisecond)
		c.answers[service] = cachedAnswer{addresses: asked.Addresses, expiresAt: until}

		return asked.Addresses
	}

	return c.settings.HostAddresses
}

// queryHost asks the host that answered last which hosts to use.
func (c *Caller) queryHost(service string) (schema.AskAnswer, bool) {
	address := c.settings.HostAddresses[c.hostIndex%len(c.settings.HostAddresses)]
	status, body, err := c.client.GetTimeout(nil, "http://"+address+"/ask/"+service, hostQueryTimeout)
	var asked schema.AskAnswer
	ok := err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &asked) == nil && len(asked.Addresses) > 0

	return asked, ok
}

// orderName returns the name of an order, unique among all runs, or nothing.
func (c *Caller) orderName(call scheduledCall) string {
	if !call.isOrder() {
		return ""
	}

	return fmt.Sprintf("order-%d-%d-%d", c.settings.Seed, c.began.UnixMilli(), call.number)
}
