package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/callerhttp"
	"github.com/baobabdrum/baobabdrum/ring"
	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// callTries bounds how often a caller tries a call that was not run.
	callTries = 3
	// retryPause is the time before a caller tries again.
	retryPause = 20 * time.Millisecond
)

// kept is an answer to "which host" that is still kept.
type kept struct {
	addresses []string
	until     time.Time
}

// Caller is one caller. It asks which hosts to use, keeps the answer and calls.
type Caller struct {
	settings      schema.LoadSettings
	client        *fasthttp.Client
	number        int
	answers       map[string]kept
	tallies       map[string]*Tally
	ordersUnknown []string
	ordersNotRun  []string
}

// NewCaller returns a caller that knows only the configured addresses.
func NewCaller(settings schema.LoadSettings, client *fasthttp.Client, number int) *Caller {
	caller := &Caller{
		settings: settings, client: client, number: number,
		answers: map[string]kept{}, tallies: map[string]*Tally{},
	}
	for _, service := range settings.Services {
		caller.tallies[service] = NewTally(service)
	}

	return caller
}

// run makes the calls that are due until the context ends.
func (c *Caller) run(ctx context.Context, due *ring.Ring[scheduled]) {
	for {
		call, err := due.Take(ctx)
		if err != nil {
			return
		}
		c.call(call)
	}
}

// call makes one call, with retries if it was not run.
func (c *Caller) call(call scheduled) {
	tally := c.tallies[call.service]
	deadline := call.at.Add(c.settings.Deadline)
	var result exchange
	for try := range callTries {
		result = c.try(call, deadline, try)
		if !result.mayRetry(call.order) || time.Now().After(deadline) {
			break
		}
		delete(c.answers, call.service)
		tally.report.Retried++
		time.Sleep(retryPause)
	}
	switch {
	case result.misdirected:
		tally.report.Misdirected++
	case result.outcome == "answered":
		tally.Answered(time.Since(call.at))
	case result.outcome == "not_run":
		tally.report.NotRun++
		c.ordersNotRun = appendOrder(c.ordersNotRun, call, c.settings.Seed)
	default:
		tally.report.Unknown++
		c.ordersUnknown = appendOrder(c.ordersUnknown, call, c.settings.Seed)
	}
}

// exchange is how one request ended.
type exchange struct {
	outcome     string
	misdirected bool
}

// mayRetry reports whether the call may be made again.
func (e exchange) mayRetry(order bool) bool {
	return e.outcome == "not_run" || !order && e.outcome != "answered"
}

// try makes one request.
func (c *Caller) try(call scheduled, deadline time.Time, try int) exchange {
	addresses := c.addresses(call.service)
	address := addresses[try%len(addresses)]
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	path := "/call/" + call.service + "/item"
	if c.settings.Direct {
		path = "/item"
	}
	request.SetRequestURI("http://" + address + path)
	if call.order {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.Header.Set(HeaderOrder, orderName(call, c.settings.Seed))
	}
	echo := strconv.Itoa(call.number) + "-" + strconv.Itoa(try)
	request.Header.Set(HeaderEcho, echo)
	request.Header.Set(backendhttp.HeaderDeadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	if err := c.client.DoDeadline(request, response, deadline); err != nil {
		return exchange{outcome: "unknown"}
	}
	outcome := string(response.Header.Peek(callerhttp.HeaderOutcome))
	if c.settings.Direct && response.StatusCode() == fasthttp.StatusOK {
		outcome = "answered"
	}

	return exchange{outcome: outcome, misdirected: outcome == "answered" && string(response.Header.Peek(HeaderEcho)) != echo}
}

// addresses returns the hosts to use, from a kept answer or by asking.
func (c *Caller) addresses(service string) []string {
	if c.settings.Direct {
		return []string{c.settings.HostAddresses[c.number%len(c.settings.HostAddresses)]}
	}
	answer, ok := c.answers[service]
	if ok && time.Now().Before(answer.until) {
		return answer.addresses
	}
	for i := range c.settings.HostAddresses {
		address := c.settings.HostAddresses[(c.number+i)%len(c.settings.HostAddresses)]
		status, body, err := c.client.GetTimeout(nil, "http://"+address+"/ask/"+service, time.Second)
		var asked schema.AskAnswer
		if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &asked) != nil {
			continue
		}
		until := time.Now().Add(time.Duration(asked.KeepMs) * time.Millisecond)
		c.answers[service] = kept{addresses: asked.Addresses, until: until}

		return asked.Addresses
	}

	return c.settings.HostAddresses
}

// orderName returns the name of an order, unique in the run and its seed.
func orderName(call scheduled, seed int) string {
	return fmt.Sprintf("order-%d-%d", seed, call.number)
}

// appendOrder adds the call's name if it is an order.
func appendOrder(list []string, call scheduled, seed int) []string {
	if !call.order {
		return list
	}

	return append(list, orderName(call, seed))
}
