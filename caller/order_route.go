package caller

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// maxOrderHops is the maximum number of times that an order is forwarded
// between hosts on its way to the incarnation that may run it.
const maxOrderHops = 2

// OrderRoute is the destination of an order: OrderHere, OrderElsewhere or
// OrderUnreachable.
//
//sumtype:decl
type OrderRoute interface{ orderRoute() }

// OrderHere means that only this incarnation may run the order.
type OrderHere struct{}

// OrderElsewhere means that another live or leaving host may run the order.
type OrderElsewhere struct {
	// Address is the client-visible address of that host.
	Address string
}

// OrderUnreachable means that this host cannot reach the incarnation of the
// order. No other incarnation can determine whether the order ran.
type OrderUnreachable struct {
	// Reason states why the incarnation cannot be reached.
	Reason Reason
}

func (OrderHere) orderRoute()        {}
func (OrderElsewhere) orderRoute()   {}
func (OrderUnreachable) orderRoute() {}

// RouteOrder returns the destination of an order that was forwarded hops times.
func (r *Router) RouteOrder(id OrderID, hops int) OrderRoute {
	if id.Incarnation == r.Incarnation {
		return OrderHere{}
	}
	address := r.addressOf(id.Incarnation)
	switch {
	case address == "":
		return OrderUnreachable{Reason: ReasonIncarnationGone}
	case hops >= maxOrderHops:
		return OrderUnreachable{Reason: ReasonMisdirected}
	default:
		return OrderElsewhere{Address: address}
	}
}

// addressOf returns the client-visible address of a live or leaving
// incarnation, or an empty string.
func (r *Router) addressOf(incarnation string) string {
	matches := func(host schema.Host) bool { return host.Incarnation == incarnation }
	for _, hosts := range [][]schema.Host{r.Routes.Hosts, r.Routes.Leaving} {
		if at := slices.IndexFunc(hosts, matches); at >= 0 {
			return hosts[at].CallerAddress
		}
	}

	return ""
}

// issue returns the text form of a new order id for the host. It is empty if
// the router has no random source or the source fails.
func (r *Router) issue(now time.Time, host schema.Host) string {
	if r.Random == nil {
		return ""
	}
	id, err := NewOrderID(host.Incarnation, now, r.Random)
	if err != nil {
		return ""
	}

	return id.String()
}
