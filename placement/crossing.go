package placement

import "time"

// Leaving the data centre. It answers two loads. In a data centre with enough backend
// servers, one of the many in other data centres seems slightly better for nearly every
// call; the bytes sent there buy nothing. In a data centre with too few, calls that do
// not fit are late or refused although others have free slots. A call therefore leaves
// only if that lowers its risk of a late answer by more than the bytes cost and more
// than estimates differ by chance, and prefers data centres that do not need their
// slots themselves.
const (
	// crossingMargin is the reduction of the risk of a late answer below which a call
	// stays: the estimates for equal backend servers differ by about as much, and the
	// best of many always seems better than the best of few.
	crossingMargin = 0.1
	// busyUtilisation is the share of taken slots from which a data centre is expected
	// to need the others for its own calls.
	busyUtilisation = 0.85
	// busyMargin is the additional reduction of the risk for which a call goes to a
	// busy data centre.
	busyMargin = 0.3
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
	gain := remote.saved - p.crossingCost(c.route) - crossingMargin
	if gain <= 0 {
		return false
	}

	return gain > busyMargin || c.service.usage(now, p.evacuated).byDataCentre[remote.server.DataCentre].utilisation() < busyUtilisation
}

// spreadShare returns a fixed number from 0 to 1 for a host and a backend server.
func spreadShare(host, server string) float64 {
	const steps = 1 << 10

	return float64(pairHash(host, server)%steps) / steps
}
