package placement

import (
	"time"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/schema"
)

// takeToken takes a token for a call of a tenant, if the tenant has a limit, and
// reports whether the call may be placed. Otherwise it ends the call.
func (p *Placer) takeToken(now time.Time, event CallArrived, route *Route, holder *schema.Tenant) bool {
	if holder == nil {
		return true
	}
	after, taken := p.allotments.Take(now, holder.Name)
	if taken {
		return true
	}
	after = time.Duration(float64(after) * (1 + retryAfterJitter*(2*p.random.Float64()-1)))
	p.emit(Finish{
		Call: event.Call, Outcome: NotRun{Reason: ReasonAllotment, RetryAfter: after}, Route: route.Name,
		Version: p.declared.Declaration.Version, Tenant: holder.Name,
	})

	return false
}

// noteSent records that a call which was not sent yet is sent now.
func (p *Placer) noteSent(now time.Time, c *call) {
	if c.tenant != nil && c.sends == 0 {
		p.allotments.Sent(now, c.tenant.Name)
	}
}

// noteUnsent records that no attempt of a call has left this host, if that is so.
func (p *Placer) noteUnsent(now time.Time, c *call) {
	if c.tenant != nil && c.sends == 0 {
		p.allotments.Unsent(now, c.tenant.Name)
	}
}

// returnToken gives back the token of a call that ends without having been sent.
func (p *Placer) returnToken(now time.Time, c *call) {
	if c.tenant != nil && c.sends == 0 {
		p.allotments.Return(now, c.tenant.Name)
	}
}

// ShareReport returns what this host tells the others about its shares of the quotas.
func (p *Placer) ShareReport(now time.Time) schema.ShareReport {
	return p.allotments.Report(now)
}

// Shares returns what this host has lent and borrowed of the quotas.
func (p *Placer) Shares(now time.Time) []allotment.Share {
	return p.allotments.Shares(now)
}

// names returns the names of the hosts that serve.
func (p Peers) names() []string {
	names := make([]string, 0, len(p.Serving))
	for _, peer := range p.Serving {
		names = append(names, peer.Name)
	}

	return names
}
