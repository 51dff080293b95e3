package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabdrum/baobabdrum/tenant"
)

const (
	// maxLookUps is the largest number of look-ups of refused calls that are remembered.
	maxLookUps = 256
	// maxLookUpBytes is the largest part of a path that is remembered. No prefix of a route
	// is longer.
	maxLookUpBytes = 200
)

// Refusal says more about a call that ended as NoRoute or Unauthorised, for logs.
type Refusal struct {
	// Withdrawn says that the declaration before the one in force did not lead to this
	// outcome: the route or the key of the call was withdrawn since.
	Withdrawn bool
	// WithdrawnFor is the time since that declaration was replaced, if Withdrawn is set.
	WithdrawnFor time.Duration
	// Routes and Keys are the numbers of routes and keys in force.
	Routes, Keys int
}

// RefusalsOutdated says that a new declaration allows calls that this host has refused.
// Either they were refused by an outdated declaration, or callers were ahead of it.
type RefusalsOutdated struct {
	// Version is the version of the new declaration.
	Version int
	// Routes is the number of calls that ended as NoRoute and have a route now.
	Routes int
	// Keys is the number of calls that ended as Unauthorised with ReasonUnknownKey and
	// whose key is accepted now.
	Keys int
	// Oldest and Newest are the times since the first and the last of them ended.
	Oldest, Newest time.Duration
}

// rules are the parts of a declaration by which calls are refused for good.
type rules struct {
	routes routes
	keys   *tenant.Keys
}

// accepts reports whether calls with a key are not unauthorised on a route that is not
// public.
func (r rules) accepts(digest string) bool {
	_, unknown := r.keys.Identify(digest).(tenant.Unknown)

	return !r.keys.Required() || !unknown
}

// lookUp is what the declaration was asked for a call that was refused: a host name and a
// path, or the digest of a key.
type lookUp struct {
	hostName, path, digest string
	at                     time.Time
}

// allowedBy reports whether rules do not refuse the call.
func (l lookUp) allowedBy(r rules) bool {
	if l.digest != "" {
		return r.accepts(l.digest)
	}

	return r.routes.match(l.hostName, l.path) != nil
}

// refusals compares the refused calls with the declarations before and after. Nothing
// here takes part in a decision about a call.
type refusals struct {
	// before are the rules that were replaced at replacedAt, if there were any.
	before     rules
	replacedAt time.Time
	// recent are the newest look-ups. Once there are maxLookUps, the oldest is at next.
	recent []lookUp
	next   int
}

// remember records a look-up of a refused call.
func (r *refusals) remember(refused lookUp) {
	if len(refused.hostName) > maxLookUpBytes {
		return // no route has such a name
	}
	// Clones, because the texts may be parts of a long head.
	refused.hostName = strings.Clone(refused.hostName)
	refused.path = strings.Clone(refused.path[:min(len(refused.path), maxLookUpBytes)])
	if len(r.recent) < maxLookUps {
		r.recent = append(r.recent, refused)

		return
	}
	r.recent[r.next] = refused
	r.next = (r.next + 1) % maxLookUps
}

// takeAllowed removes and returns the look-ups that rules do not refuse, the oldest first.
func (r *refusals) takeAllowed(by rules) []lookUp {
	var allowed []lookUp
	r.recent, r.next = slices.Concat(r.recent[r.next:], r.recent[:r.next]), 0
	r.recent = slices.DeleteFunc(r.recent, func(refused lookUp) bool {
		if refused.allowedBy(by) {
			allowed = append(allowed, refused)

			return true
		}

		return false
	})

	return allowed
}

// finishUnrouted ends a call without a service: as NoRoute only if the declaration is
// complete and known to be the newest one, because callers do not repeat such a call, and
// as not run otherwise.
func (p *Placer) finishUnrouted(now time.Time, event CallArrived, route *Route) {
	ended := Finish{Call: event.Call, Outcome: NoRoute{}, Version: p.declared.Declaration.Version}
	if route != nil {
		ended.Route = route.Name
	}
	switch {
	case route != nil || p.declared.Declaration.Incomplete:
		ended.Outcome = NotRun{Reason: ReasonUnreadable, RetryAfter: maxRetryAfter}
	case !p.isCurrent(now):
		ended.Outcome = p.notJudged()
	default:
		ended.Refusal = p.refusal(now, lookUp{hostName: event.HostName, path: event.Path, at: now})
	}
	p.emit(ended)
}

// keyRefusal returns the refusal of a call by its key, if the outcome is one.
func (p *Placer) keyRefusal(now time.Time, outcome Outcome, digest string) Refusal {
	unauthorised, ok := outcome.(Unauthorised)
	if !ok {
		return Refusal{}
	}
	if unauthorised.Reason == ReasonUnknownKey {
		return p.refusal(now, lookUp{digest: digest, at: now})
	}
	before := p.refusals.before

	return p.describe(now, before.keys != nil && before.accepts(digest))
}

// refusal remembers the look-up of a refused call and returns its refusal.
func (p *Placer) refusal(now time.Time, refused lookUp) Refusal {
	p.refusals.remember(refused)

	return p.describe(now, p.refusals.before.keys != nil && refused.allowedBy(p.refusals.before))
}

// describe returns the refusal of a call.
func (p *Placer) describe(now time.Time, withdrawn bool) Refusal {
	refusal := Refusal{Withdrawn: withdrawn, Routes: len(p.declared.Declaration.Routes), Keys: p.keys.Count()}
	if withdrawn {
		refusal.WithdrawnFor = now.Sub(p.refusals.replacedAt)
	}

	return refusal
}

// noteReplaced records that the rules in force have replaced earlier ones, and reports the
// refused calls that they would have allowed.
func (p *Placer) noteReplaced(now time.Time, version int, before rules) {
	p.refusals.before, p.refusals.replacedAt = before, now
	allowed := p.refusals.takeAllowed(rules{routes: p.routes, keys: p.keys})
	if len(allowed) == 0 {
		return
	}
	outdated := RefusalsOutdated{Version: version, Oldest: now.Sub(allowed[0].at), Newest: now.Sub(allowed[len(allowed)-1].at)}
	for _, refused := range allowed {
		if refused.digest != "" {
			outdated.Keys++
		} else {
			outdated.Routes++
		}
	}
	p.emit(outdated)
}
