package caller

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// maxOrderHops is how often an order may be forwarded between hosts on its way to
// the incarnation that may run it.
const maxOrderHops = 2

// OrderRoute says where an order goes: OrderHere, OrderElsewhere or
// OrderUnreachable.
//
//sumtype:decl
type OrderRoute interface{ orderRoute() }

// OrderHere says that this incarnation alone may run the order.
type OrderHere struct{}

// OrderElsewhere says that a live host may run the order.
type OrderElsewhere struct {
	// Address is that host's ip:port for callers.
	Address string
}

// OrderUnreachable says that the incarnation cannot be reached from here. Only that
// incarnation knows whether the order ran.
type OrderUnreachable struct {
	// Reason says why.
	Reason Reason
}

func (OrderHere) orderRoute()        {}
func (OrderElsewhere) orderRoute()   {}
func (OrderUnreachable) orderRoute() {}

// RouteOrder returns where an order goes that was forwarded as often as hops
// says.
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

// addressOf returns the ip:port for callers of a live or leaving incarnation, or
// nothing.
func (r *Router) addressOf(incarnation string) string {
	matches := func(host schema.Host) bool { return host.Incarnation == incarnation }
	for _, hosts := range [][]schema.Host{r.Routes.Hosts, r.Routes.Leaving} {
		if at := slices.IndexFunc(hosts, matches); at >= 0 {
			return hosts[at].CallerAddress
		}
	}

	return ""
}

// issue returns the text of an order id for the host, or nothing while the
// router has no random source.
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
