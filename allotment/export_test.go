package allotment

import "time"

// Used returns the part of the quota of tenant "a" that this host may use, in thousandths of
// the equal share.
func (a *Allotments) Used(now time.Time) int {
	rate, _ := a.parts(now, a.buckets["a"])

	return int(rate*wholeShare + 0.5)
}
