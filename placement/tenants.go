package placement

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
	"github.com/baobabdrum/baobabdrum/tenant"
)

// outdatedRetryAfter is the mean retry delay of calls whose route or key this host cannot
// judge yet. Hosts usually fetch a newer declaration, or have theirs confirmed, in less
// time.
const outdatedRetryAfter = 500 * time.Millisecond

// noteFreeze records that this process did not run for a while, during which keys may
// have been declared or withdrawn and other hosts may have begun to share the quotas.
func (p *Placer) noteFreeze(now time.Time) {
	if !p.steppedAt.IsZero() && now.Sub(p.steppedAt) >= freezeThreshold {
		p.frozenUntil = now
		p.allotments.Frozen(p.steppedAt, now)
	}
}

// isCurrent reports whether the declaration in force is known to be the newest one.
// After a freeze it is not until it has been confirmed again. A confirmation in the
// first moments does not count, because it may have arrived during the freeze.
func (p *Placer) isCurrent(now time.Time) bool {
	confirmed := p.frozenUntil.IsZero() || p.currency.ConfirmedAt.After(p.frozenUntil.Add(staleInputWindow))

	return p.currency.Current && confirmed && !now.After(p.currency.Until)
}

// admit returns the tenant of a call, or nil if it has none, and whether the call may
// be placed. Otherwise it ends the call.
func (p *Placer) admit(now time.Time, event CallArrived, route *Route) (*schema.Tenant, bool) {
	if !p.keys.Required() {
		return nil, true
	}
	holder, outcome := p.judgeKey(now, event.KeyDigest)
	if outcome == nil {
		return holder, true
	}
	if route.Public && (holder == nil || !holder.Unreadable) {
		return nil, true
	}
	p.emit(Finish{
		Call: event.Call, Outcome: outcome, Route: route.Name, Version: p.declared.Declaration.Version, Tenant: tenantName(holder),
		Refusal: p.keyRefusal(now, outcome, event.KeyDigest),
	})

	return nil, false
}

// judgeKey returns the tenant that holds a key, or nil, and the outcome of a call with
// that key on a route that is not public, or nil if the call may be placed. The call is
// unauthorised if the declaration is the newest one and no tenant in it holds the
// key, and is not run if the key may be valid.
func (p *Placer) judgeKey(now time.Time, digest string) (*schema.Tenant, Outcome) {
	current := p.isCurrent(now)
	switch identity := p.keys.Identify(digest).(type) {
	case tenant.Known:
		if identity.Tenant.Unreadable {
			return identity.Tenant, NotRun{Reason: ReasonTenantUnreadable, RetryAfter: maxRetryAfter}
		}
		if !current && p.Options.FailClosed {
			return identity.Tenant, p.notJudged()
		}

		return identity.Tenant, nil
	case tenant.Undecided:
		return nil, NotRun{Reason: ReasonKeyUndecided, RetryAfter: maxRetryAfter}
	case tenant.Unknown:
	}
	switch {
	case !current:
		return nil, p.notJudged()
	case digest == "":
		return nil, Unauthorised{Reason: ReasonNoKey}
	default:
		return nil, Unauthorised{Reason: ReasonUnknownKey}
	}
}

// keyWithdrawn reports whether the declaration in force has tenants and the tenant of a
// call no longer holds its key.
func (p *Placer) keyWithdrawn(c *call) bool {
	if c.tenant == nil || !p.keys.Required() {
		return false
	}
	known, held := p.keys.Identify(c.keyDigest).(tenant.Known)

	return !held || known.Tenant.Name != c.tenant.Name
}

// endWithdrawn ends the calls that wait to be sent although their key was withdrawn. On a
// public route they go on without a tenant. Calls with an attempt in flight get no other.
func (p *Placer) endWithdrawn(now time.Time) {
	for _, c := range slices.Clone(p.openCalls) {
		if c.sends > 0 || !p.keyWithdrawn(c) {
			continue
		}
		if c.route.Public {
			p.returnToken(now, c)
			c.tenant = nil

			continue
		}
		_, outcome := p.judgeKey(now, c.keyDigest)
		if outcome == nil { // another tenant holds the key now
			outcome = p.notJudged()
		}
		p.finish(now, c, outcome)
	}
}

// notJudged returns the outcome of a call whose route or key may be valid by a
// declaration that this host does not have.
func (p *Placer) notJudged() Outcome {
	after := time.Duration(float64(outdatedRetryAfter) * (1 + retryAfterJitter*(2*p.random.Float64()-1)))

	return NotRun{Reason: ReasonOutdated, RetryAfter: after}
}

// rankOf returns the rank of a call. That of its tenant replaces that of its route.
func rankOf(route *Route, holder *schema.Tenant) int {
	if holder != nil && holder.Priority >= 0 {
		return holder.Priority
	}

	return route.Priority
}

// tenantName returns the name of a tenant, or an empty string without one.
func tenantName(holder *schema.Tenant) string {
	if holder == nil {
		return ""
	}

	return holder.Name
}

// withoutDigests returns declared tenants without the digests of their keys, which must
// not leave the hosts.
func withoutDigests(tenants []schema.Tenant) []schema.Tenant {
	named := make([]schema.Tenant, 0, len(tenants))
	for _, declared := range tenants {
		declared.KeyDigests = []string{}
		named = append(named, declared)
	}

	return named
}
