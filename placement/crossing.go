package placement

import (
	"math"
	"time"
)

// Leaving the data centre. It answers two loads. In a data centre with enough backend
// servers, one of the many in other data centres seems slightly better for nearly every
// call; the bytes sent there buy nothing. In a data centre with too few, calls that do
// not fit are late or refused although others have free slots. A call therefore leaves
// only if that lowers its risk of a late answer by more than the bytes cost and more
// than estimates differ by chance, and prefers data centres that do not need their
// slots themselves.
const (
	// crossingMargin is the reduction of the risk of a late answer below which a call
	// stays while its data centre is idle: the estimates for equal backend servers differ
	// by about as much, and the best of many always seems better than the best of few. It
	// falls to 0 with the free slots, because few free ones are soon taken.
	crossingMargin = 0.1
	// busyUtilisation is the share of taken slots from which a data centre is expected
	// to need the others for its own calls.
	busyUtilisation = 0.85
	// busyDifference is the difference of the shares of taken slots from which calls leave
	// for a busy data centre all the same: the own one is busier.
	busyDifference = 0.1
	// busyMargin is the additional reduction of the risk for which a call goes to a
	// busy data centre.
	busyMargin = 0.3
	// crossingMemory is the time in which the weight of a send falls to 37%.
	crossingMemory = time.Second
	// notableCrossing is the share of sends that leave the data centre from which this host
	// depends on load reports from there.
	notableCrossing = 0.03
	// spreadCost is the largest difference in cost by which hosts prefer different
	// backend servers of other data centres, whose load they learn late.
	spreadCost = 0.1
)

// crossingCost returns the risk of a late answer that is accepted to save the bytes of
// a call between data centres.
func (p *Placer) crossingCost(route *Route) float64 {
	return route.Size / kibibyte * p.Options.CrossingCost
}

// crossingPays reports whether a call is sent to the best backend server of another data
// centre rather than to the best one of this data centre.
func (p *Placer) crossingPays(now time.Time, c *call, local, remote *candidate) bool {
	if local == nil {
		remote.saved = 1

		return true
	}
	remote.saved = local.lateness - remote.lateness
	gain := remote.saved - p.crossingCost(c.route)
	if gain <= 0 {
		return false
	}
	usage := c.service.usage(now, p.evacuated).byDataCentre
	here, there := usage[p.Options.DataCentre].utilisation(), usage[remote.server.DataCentre].utilisation()
	gain -= crossingMargin * (1 - here)

	return gain > busyMargin || gain > 0 && (there < busyUtilisation || there < here-busyDifference)
}

// crossingRate counts how many sends leave the data centre. Older ones count less.
type crossingRate struct {
	sends, crossing float64
	countedAt       time.Time
}

// count adds a send.
func (r *crossingRate) count(now time.Time, crosses bool) {
	weight := math.Exp(-float64(now.Sub(r.countedAt)) / float64(crossingMemory))
	r.sends, r.crossing, r.countedAt = r.sends*weight+1, r.crossing*weight, now
	if crosses {
		r.crossing++
	}
}

// Crosses reports whether so many calls of this host leave its data centre that it depends
// on the load reports from there.
func (p *Placer) Crosses(now time.Time) bool {
	return now.Sub(p.crossings.countedAt) < crossingMemory && p.crossings.crossing >= notableCrossing*p.crossings.sends
}

// spreadShare returns a fixed number from 0 to 1 for a host and a backend server.
func spreadShare(host, server string) float64 {
	const steps = 1 << 10

	return float64(pairHash(host, server)%steps) / steps
}
