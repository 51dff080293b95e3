package rollout

const (
	// maxCredit bounds the calls to the target that a host may make at once after a time
	// without any.
	maxCredit = 4
	// reservedCredit is kept for routes with few answers of the target, which would otherwise
	// get their share by luck only.
	reservedCredit = 1
	// rareRouteShare bounds the share of the calls of a route that go to the target while
	// there are few answers for it.
	rareRouteShare = 0.5
)

// credits bound the calls to the target. Each call to the service earns the share, so that
// the sum over all hosts stays within the share without messages.
type credits struct {
	credit float64
	routes map[int]routeSends
}

// routeSends counts the calls of one route.
type routeSends struct {
	calls  int
	target int
}

func newCredits() *credits {
	return &credits{routes: map[int]routeSends{}}
}

// TakesTarget reports whether the next call of a route, given by the hash of its name, goes
// to the target first. It changes nothing; Sent counts the call.
func (r *Rollout) TakesTarget(route int) bool {
	share := r.Share()
	if share >= 1 {
		return true
	}
	credit := r.credits.credit + share
	if share <= 0 || credit < 1 {
		return false
	}
	if r.evidence.all[route].Target.All >= enoughAnswers {
		return credit >= 1+reservedCredit
	}
	sends := r.credits.routes[route]

	return float64(sends.target+1) <= rareRouteShare*float64(sends.calls+1)
}

// Sent counts an attempt of a call to the service. First says that it is the first one of
// the call.
func (r *Rollout) Sent(route int, target, first bool) {
	if r.Final() {
		return
	}
	sends := r.credits.routes[route]
	if first {
		sends.calls++
		r.credits.credit = min(r.credits.credit+r.Share(), maxCredit)
	}
	if target {
		sends.target++
		r.credits.credit = max(r.credits.credit-1, 0)
	}
	r.credits.routes[route] = sends
}
