package edge

import (
	"context"
	"time"

	"github.com/baobabdrum/baobabdrum/eventlog"
	"github.com/baobabdrum/baobabdrum/placement"
)

// currencyInterval is the shortest time between two reports that the declaration was
// confirmed again. It is a small part of the bound after which a declaration that is not
// confirmed counts as outdated.
const currencyInterval = 250 * time.Millisecond

// publishCurrency tells the calls duty and the caller front whether this host's declaration is the newest one
// as far as it knows. A request is rejected for good by the declaration only if it is.
func (d *controlDuty) publishCurrency(ctx context.Context, now time.Time) error {
	if d.replica.Declared.Declaration.Version == 0 {
		return nil
	}
	confirmed := d.replica.OrdersConfirmedAt()
	next := placement.CurrencyChanged{Current: !d.replica.OrdersOutdated(), ConfirmedAt: confirmed, Until: confirmed.Add(d.propagation)}
	if next.Current == d.currency.Current && confirmed.Sub(d.currency.ConfirmedAt) < currencyInterval {
		return nil
	}
	if next.Current != d.currency.Current {
		d.log.Event(eventlog.Info, "currency_changed", "another host announced newer orders, or this host has received them",
			eventlog.Flag("current", next.Current), eventlog.Text("orders_at", d.replica.Declared.OrdersAt.String()),
			eventlog.Duration("unconfirmed", min(now.Sub(confirmed), maxDeclaredAge)))
	}
	d.currency = next
	d.limits.currency.Store(&next)

	return d.changes.Put(ctx, PlacementEvent{Event: next})
}
