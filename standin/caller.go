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
	// maxTries is the maximum number of attempts for a call, with the first.
	maxTries = 3
	// retryPause is the back-off between two attempts.
	retryPause = 20 * time.Millisecond
	// hostQueryTimeout is the time-out of an address query to one host.
	hostQueryTimeout = 500 * time.Millisecond
)

// Outcomes of a call, as in header fields and reports.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// Reasons for requests without a response.
const (
	reasonNoConnection = "no_connection"
	reasonNoResponse   = "no_response"
)

// cachedAnswer holds the host addresses for a service until they expire.
type cachedAnswer struct {
	addresses []string
	expiresAt time.Time
}

// Caller is a simulated client. It queries the host addresses of a service,
// caches them and sends its calls to them.
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

// NewCaller returns a caller that knows only the configured addresses. The
// start time of the run is part of its order names, which makes them unique
// among runs.
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

// run makes the calls from the ring until the context ends.
func (c *Caller) run(ctx context.Context, due *ring.Ring[scheduledCall]) {
	for {
		call, err := due.Take(ctx)
		if err != nil {
			return
		}
		c.call(call)
	}
}

// call makes one call with its retries and records the last result.
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

// tryDeadline returns the deadline of an attempt. It divides the remaining time
// evenly among this attempt and those after it.
func tryDeadline(now, deadline time.Time, try int) time.Time {
	return now.Add(deadline.Sub(now) / time.Duration(maxTries-try))
}

// requestResult is the result of one request.
type requestResult struct {
	outcome     string
	reason      string
	misdirected bool
	failed      bool
}

// mayRetry reports whether a retry is needed. Retries are always safe: the call
// did not run, it is idempotent, or its order id or number prevents a second
// run.
func (e requestResult) mayRetry() bool {
	return e.outcome != outcomeAnswered
}

// try sends one request and checks that the answer belongs to it.
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

// encode sets the method and the URI of a request.
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

// failureResult returns the result of a request without a response. The call
// did not run if no connection could be opened; otherwise the outcome is
// unknown.
func failureResult(err error) requestResult {
	var network *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.As(err, &network) && network.Op == "dial" {
		return requestResult{outcome: outcomeNotRun, reason: reasonNoConnection}
	}

	return requestResult{outcome: outcomeUnknown, reason: reasonNoResponse}
}

// addresses returns the host addresses for a service: from the cache, from a
// query or, if no host answers, from the settings.
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

// queryHost queries the host that answered last for the addresses of a service.
func (c *Caller) queryHost(service string) (schema.AskAnswer, bool) {
	address := c.settings.HostAddresses[c.hostIndex%len(c.settings.HostAddresses)]
	status, body, err := c.client.GetTimeout(nil, "http://"+address+"/ask/"+service, hostQueryTimeout)
	var asked schema.AskAnswer
	ok := err == nil && status == fasthttp.StatusOK && json.Unmarshal(body, &asked) == nil && len(asked.Addresses) > 0

	return asked, ok
}

// orderName returns the name of an order, which is unique among all runs, or ""
// if the call is not an order.
func (c *Caller) orderName(call scheduledCall) string {
	if !call.isOrder() {
		return ""
	}

	return fmt.Sprintf("order-%d-%d-%d", c.settings.Seed, c.began.UnixMilli(), call.number)
}
