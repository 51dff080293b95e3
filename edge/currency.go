package edge

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
	"github.com/baobabdrum/baobabdrum/schema"
)

// currencyInterval is the shortest time between two reports that the declaration was
// confirmed again. It is a small part of the bound after which a declaration that is not
// confirmed counts as outdated.
const currencyInterval = 250 * time.Millisecond

// hasTenants reports whether calls may need the key of a tenant.
func hasTenants(declaration schema.Declaration) bool {
	return len(declaration.Tenants) > 0 || declaration.TenantsIncomplete
}

// publishCurrency tells the calls duty whether this host's declaration is the newest one
// as far as it knows. A host whose declaration has no tenants does nothing here.
func (d *controlDuty) publishCurrency(ctx context.Context, now time.Time) error {
	if !hasTenants(d.replica.Declared.Declaration) {
		return nil
	}
	confirmed := d.replica.OrdersConfirmedAt()
	next := placement.CurrencyChanged{Current: !d.replica.OrdersOutdated(), ConfirmedAt: confirmed, Until: confirmed.Add(d.propagation)}
	if next.Current == d.currency.Current && confirmed.Sub(d.currency.ConfirmedAt) < currencyInterval {
		return nil
	}
	if next.Current != d.currency.Current {
		d.log.Event(eventlog.Info, "currency_changed", "another host announced newer orders, or this host has received them",
			eventlog.Flag("current", next.Current), eventlog.Integer("orders_at", d.replica.Declared.OrdersAt),
			eventlog.Duration("unconfirmed", min(now.Sub(confirmed), maxDeclaredAge)))
	}
	d.currency = next

	return d.changes.Put(ctx, PlacementEvent{Event: next})
}
