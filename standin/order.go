package standin

import (
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/baobabdrum/baobabdrum/backendhttp"
	"github.com/baobabdrum/baobabdrum/caller"
)

// orderIdentity is what keeps an order from running twice when it is repeated.
type orderIdentity struct {
	// name is the stand-ins' own name of the order, the evidence of its runs.
	name string
	// id is an order id that a host issued, or empty.
	id string
	// number is the caller's own number, or empty.
	number string
	// attempt counts the earlier requests with the id or the number.
	attempt int
	// mayHaveRun says that an earlier request may have run.
	mayHaveRun bool
	// renewed says that a fresh order id replaces the earlier id or number.
	renewed bool
}

// identify gives an order its id or number and returns the addresses to use,
// none if no host could be asked.
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

// requestOrderID asks for an order id and returns the addresses that came with it.
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

// encode adds the identity to a request.
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

// prepareRetry prepares another request. An order that may have run keeps its id or
// number; one that was not run for certain may get a fresh id, and has to if its
// number cannot be claimed.
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

// failureResult returns how a request without a response ended. An order that may have
// run before still may have.
func (i *orderIdentity) failureResult(err error) requestResult {
	ended := failureResult(err)
	if i.mayHaveRun {
		ended.outcome = outcomeUnknown
	}

	return ended
}
