// Package allotment limits the calls of tenants. The quota of a tenant holds for
// all hosts together; each host enforces an equal share of it by itself, with a
// token bucket for each tenant, and needs no message for a call. Hosts lend parts of
// their shares to others that need more (shares.go, loans.go). The package
// holds no clock, socket, goroutine or lock. Change this package to change how a
// quota is divided among the hosts.
//
// With n hosts that share, a bucket is filled at the n-th part of the rate and
// holds the n-th part of the burst and of most of the slack. A token is taken when
// a call arrives and is held until the call is sent. Tokens in a bucket and held
// ones together never exceed the bucket's capacity, so that calls that wait long
// and are then sent at once stay within the quota, too.
package allotment

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Tolerance states by how much the calls of a tenant may exceed its quota: in any
// window, they are at most (rate x window + burst) x (1 + over) + slack.
type Tolerance struct {
	// Window is the time over which calls are counted.
	Window time.Duration
	// Over is the permitted excess relative to the quota.
	Over float64
	// Slack is the permitted excess in calls for each window.
	Slack float64
}

const (
	// splitSlack is the share of the slack that the hosts divide. The rest is for hosts
	// that begin to share, which have the right to some calls before the others have
	// lowered their shares.
	splitSlack = 0.75
	// newcomers divides what is left for hosts that begin to share. Tests show that the
	// bound holds if two begin within one window and the others learn of them within 0.5 s;
	// with half of this number it was exceeded where one host became three.
	newcomers = 4
)

// Allotments are the shares that one host has of the quotas of all tenants.
type Allotments struct {
	// Tolerance is the tolerance of the quotas.
	Tolerance Tolerance

	buckets map[string]*bucket
	sharers int
	serving bool
	// sharing is nil unless this host may lend and borrow.
	sharing *sharing
}

// New returns the allotments of a host that shares with no other and does not
// serve. No tenant has a limit.
func New(tolerance Tolerance) *Allotments {
	return &Allotments{Tolerance: tolerance, buckets: map[string]*bucket{}, sharers: 1}
}

// Apply replaces the tenants. The bucket of a tenant whose limit changes keeps its
// tokens up to the new capacity; that of a new tenant is full.
func (a *Allotments) Apply(now time.Time, tenants []schema.Tenant) {
	before := a.buckets
	a.buckets = map[string]*bucket{}
	for _, tenant := range tenants {
		if tenant.RatePerSecond <= 0 {
			continue
		}
		known, found := before[tenant.Name]
		if !found {
			known = &bucket{filledAt: now, ledger: newLedger(), wanted: map[int]need{}}
		}
		a.fill(now, known)
		known.perSecond, known.burst = tenant.RatePerSecond, tenant.Burst
		a.divide(now, known)
		if !found {
			known.tokens = known.capacity
		}
		a.buckets[tenant.Name] = known
	}
	a.indexTenants()
}

// SetSharers sets the number of hosts that share the quotas, this host included,
// and whether this host serves callers.
func (a *Allotments) SetSharers(now time.Time, count int, serving bool) {
	count = max(count, 1)
	if count == a.sharers && serving == a.serving {
		return
	}
	a.sharers, a.serving = count, serving
	for _, known := range a.buckets {
		a.fill(now, known)
		a.divide(now, known)
	}
}

// divide sets this host's share of a tenant's quota. A host that does not serve
// holds no more than a host may use that begins to share: the others do not
// count it, and when it begins to serve they have not lowered their shares yet.
func (a *Allotments) divide(now time.Time, known *bucket) {
	count := float64(a.sharers)
	// The shares leave this part of the quota's upper limit unused.
	margin := a.Tolerance.Over * a.Tolerance.Window.Seconds() * known.perSecond
	total := known.burst*(1+a.Tolerance.Over) + splitSlack*a.Tolerance.Slack
	if total == 0 {
		total = margin / 2 // otherwise a tenant without a burst would get no calls
	}
	rate, size := a.parts(now, known)
	known.equalSize = total / count
	known.rate, known.capacity = known.perSecond/count*rate, known.equalSize*size
	if !a.serving {
		reserve := (1-splitSlack)*a.Tolerance.Slack + margin/count
		known.capacity = min(known.capacity, reserve/newcomers)
	}
	known.limit()
	known.changesAt = a.nextChange(now, known)
}

// parts returns what this host may use of a tenant's quota, relative to the equal shares
// of the rate and of the size.
func (a *Allotments) parts(now time.Time, known *bucket) (rate, size float64) {
	if a.sharing == nil {
		return 1, 1
	}
	lent, borrowed := known.ledger.sums(now)
	if a.sharers > 1 && now.Before(a.sharing.cautiousUntil) {
		lent = parts{rate: max(lent.rate, maxLent), size: max(lent.size, sizeOf(maxLent))}
	}
	if !a.serving {
		borrowed = parts{}
	}

	return float64(max(wholeShare-lent.rate, 0)+borrowed.rate) / wholeShare, float64(max(wholeShare-lent.size, 0)+borrowed.size) / wholeShare
}

// nextChange returns the first time after an instant at which this host may use another
// part of a tenant's quota, or zero.
func (a *Allotments) nextChange(now time.Time, known *bucket) time.Time {
	next := known.ledger.nextChange(now)
	if a.sharing != nil && a.sharing.cautiousUntil.After(now) && (next.IsZero() || a.sharing.cautiousUntil.Before(next)) {
		next = a.sharing.cautiousUntil
	}

	return next
}

// fill adds the tokens of the time since the last call, at the rates that held then.
func (a *Allotments) fill(now time.Time, known *bucket) {
	for at := known.changesAt; !at.IsZero() && !at.After(now); at = known.changesAt {
		known.fill(at)
		a.divide(at, known)
	}
	known.fill(now)
}

// Frozen states that this process did not run between two instants. Other hosts
// may have begun to share meanwhile, so this host has no right to the tokens of
// that time.
func (a *Allotments) Frozen(from, until time.Time) {
	for _, known := range a.buckets {
		a.fill(from, known)
		known.filledAt = until
	}
	a.dropBorrowed(until)
}

// Take takes a token for a call of a tenant. If there is none, it returns false and
// the time until there will be one for this call. A tenant without a limit always
// receives one.
func (a *Allotments) Take(now time.Time, tenant string) (time.Duration, bool) {
	known, limited := a.buckets[tenant]
	if !limited {
		return 0, true
	}

	a.fill(now, known)

	return known.take(now)
}

// Sent states that a call is sent for which a token was taken.
func (a *Allotments) Sent(now time.Time, tenant string) {
	if known, limited := a.buckets[tenant]; limited {
		a.fill(now, known)
		known.held = max(known.held-1, 0)
	}
}

// Unsent states that a call did not leave this host although Sent was called for
// it.
func (a *Allotments) Unsent(now time.Time, tenant string) {
	if known, limited := a.buckets[tenant]; limited {
		a.fill(now, known)
		known.held++
		known.limit()
	}
}

// Return gives back the token of a call that ended without having been sent.
func (a *Allotments) Return(now time.Time, tenant string) {
	if known, limited := a.buckets[tenant]; limited {
		a.fill(now, known)
		known.held = max(known.held-1, 0)
		known.tokens++
		known.limit()
	}
}
