package edge

import (
	"time"

	"github.com/baobabdrum/baobabdrum/allotment"
	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/schema"
)

// borrowedShares tracks for which tenants this host borrows.
type borrowedShares struct {
	tenants map[string]bool
	lines   eventlog.Burst
}

// changes returns the tenants for which this host has begun and ceased to borrow.
func (b *borrowedShares) changes(shares []allotment.Share) (begun, ended []string) {
	now := map[string]bool{}
	for _, share := range shares {
		if share.Borrowed == 0 {
			continue
		}
		now[share.Tenant] = true
		if !b.tenants[share.Tenant] {
			begun = append(begun, share.Tenant)
		}
	}
	for name := range b.tenants {
		if !now[name] {
			ended = append(ended, name)
		}
	}
	b.tenants = now

	return begun, ended
}

// noteShares records what this host has lent and borrowed, and logs for which tenants it
// begins and ceases to borrow.
func (d *callsDuty) noteShares(now time.Time, shares []allotment.Share) {
	lent, borrowed := 0, 0
	for _, share := range shares {
		lent += share.Lent
		borrowed += share.Borrowed
	}
	d.metrics.Shares(lent, borrowed)
	begun, ended := d.borrowed.changes(shares)
	for _, tenant := range begun {
		if _, ok := d.borrowed.lines.Next(now); ok {
			d.log.Event(eventlog.Info, "shares_borrowed", "this host borrows parts of other hosts' shares of a quota", eventlog.Text("tenant", tenant))
		}
	}
	for _, tenant := range ended {
		if _, ok := d.borrowed.lines.Next(now); ok {
			d.log.Event(eventlog.Info, "shares_returned", "this host has only its own share of a quota", eventlog.Text("tenant", tenant))
		}
	}
}

// nextShares returns the part of the share report for the next beacon.
func (d *controlDuty) nextShares() schema.ShareReport {
	d.sharesTurn++

	return allotment.Excerpt(d.shares, d.sharesTurn)
}

// Shares records what this host has lent and borrowed of the quotas of all tenants, in
// thousandths of equal shares.
func (m *Metrics) Shares(lent, borrowed int) {
	const whole = 1000
	m.set.GetOrCreateGauge("baobabdrum_quota_shares_lent", nil).Set(float64(lent) / whole)
	m.set.GetOrCreateGauge("baobabdrum_quota_shares_borrowed", nil).Set(float64(borrowed) / whole)
}
