package edge

import (
	"fmt"

	"github.com/baobabdrum/baobabdrum/placement"
)

const (
	// maxTenantLabels is the number of tenants with a metric of their own, so that the
	// number of metrics does not grow with that of tenants.
	maxTenantLabels = 50
	// otherTenants is the label of all other tenants. No tenant is named so, because
	// names are not empty.
	otherTenants = ""
)

// tenantLabels assigns metrics to tenants in the order in which they are first
// counted.
type tenantLabels struct {
	names map[string]bool
}

// label returns the label of a tenant.
func (l *tenantLabels) label(tenant string) string {
	if l.names == nil {
		l.names = map[string]bool{}
	}
	if len(l.names) < maxTenantLabels {
		l.names[tenant] = true
	}
	if !l.names[tenant] {
		return otherTenants
	}

	return tenant
}

// countQuota counts a call that was refused because its tenant has used up its quota.
func (d *callsDuty) countQuota(action placement.Finish) {
	if refused, ok := action.Outcome.(placement.NotRun); ok && refused.Reason == placement.ReasonAllotment {
		d.metrics.QuotaRefused(d.tenants.label(action.Tenant))
	}
}

// QuotaRefused counts a call of a tenant that was refused because of its quota.
func (m *Metrics) QuotaRefused(tenant string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`baobabdrum_quota_refusals_total{tenant=%q}`, tenant)).Inc()
}

// Sharers records the number of hosts that share the quotas of tenants.
func (m *Metrics) Sharers(count int) {
	m.set.GetOrCreateGauge("baobabdrum_quota_sharers", nil).Set(float64(count))
}
