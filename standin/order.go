package standin

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
)

// orderIdentity identifies an order across retries, so that the hosts can
// prevent a second run.
type orderIdentity struct {
	// name is the order's name in the run records of the backend servers, from
	// which the verdict counts its runs.
	name string
	// id is the order id that a host issued, or empty.
	id string
	// number is the order number that the caller chose, or empty.
	number string
	// attempt is the number of earlier requests with the id or the number.
	attempt int
	// mayHaveRun is set once the outcome of a request is unknown.
	mayHaveRun bool
	// renewed is set once the id or number has been discarded for a new order
	// id.
	renewed bool
}

// identify assigns an order its id or number and returns the host addresses. It
// returns none if no host issued an order id.
func (c *Caller) identify(call scheduledCall, identity *orderIdentity) []string {
	switch call.kind.(type) {
	case item, pack:
		return c.addresses(call.service)
	case numberedOrder:
		if !identity.renewed {
			identity.number = identity.name

			return c.addresses(call.service)
		}
	case order:
	}
	if identity.id != "" || c.settings.Direct {
		return c.addresses(call.service)
	}

	return c.requestOrderID(call.service, identity)
}

// requestOrderID requests an order id from the hosts in turn and returns the
// addresses from the same answer, or none if every host failed.
func (c *Caller) requestOrderID(service string, identity *orderIdentity) []string {
	for range c.settings.HostAddresses {
		if asked, ok := c.queryHost(service); ok && asked.OrderID != "" {
			identity.id, identity.attempt = asked.OrderID, 0

			return asked.Addresses
		}
		c.hostIndex++
	}

	return nil
}

// encode adds the identity of an order to the header of a request.
func (i *orderIdentity) encode(request *fasthttp.Request) {
	if i.name == "" {
		return
	}
	request.Header.Set(HeaderOrder, i.name)
	request.Header.Set(backendhttp.HeaderOrderAttempt, strconv.Itoa(i.attempt))
	if i.id != "" {
		request.Header.Set(backendhttp.HeaderOrderID, i.id)
	}
	if i.number != "" {
		request.Header.Set(backendhttp.HeaderOrderNumber, i.number)
	}
}

// prepareRetry prepares the next request. An order that may have run keeps its
// id or number. One that certainly did not run gets a new id if renew is set or
// if its number cannot be claimed because the platform is unavailable.
func (i *orderIdentity) prepareRetry(result requestResult, renew bool) {
	i.attempt++
	if result.outcome == outcomeUnknown {
		i.mayHaveRun = true
	}
	unclaimed := result.reason == string(caller.ReasonPlatformUnavailable)
	if (renew || unclaimed) && !i.mayHaveRun {
		i.id, i.number, i.renewed = "", "", true
	}
}

// failureResult returns the result of a request without a response. The outcome
// stays unknown if an earlier request may have run.
func (i *orderIdentity) failureResult(err error) requestResult {
	ended := failureResult(err)
	if i.mayHaveRun {
		ended.outcome = outcomeUnknown
	}

	return ended
}
