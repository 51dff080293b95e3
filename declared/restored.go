package declared

import (
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// restoredRetention is how long orders stay in force that a restored store has lost.
// Operators write them again as soon as the store is back.
const restoredRetention = 3 * time.Second

// retainedOrders are orders that the store has lost and that stay in force at this host.
type retainedOrders struct {
	evacuated []string
	rollouts  []schema.RolloutOrder
	until     time.Time
}

// isEmpty reports whether nothing is retained.
func (o *retainedOrders) isEmpty() bool {
	return len(o.evacuated)+len(o.rollouts) == 0
}

// withdraw ends the retention of what operators have taken back.
func (o *retainedOrders) withdraw(returned, withdrawn []string) {
	o.evacuated = slices.DeleteFunc(o.evacuated, func(name string) bool { return slices.Contains(returned, name) })
	o.rollouts = withoutServices(o.rollouts, withdrawn)
}

// isRestored reports whether a version of a table is of a store that was restored since the
// version in force.
func (r *Replica) isRestored(table Table, at schema.StoreVersion) bool {
	inForce := r.inForceAt(table)

	return !inForce.IsZero() && inForce.Epoch != at.Epoch
}

// setOrders replaces the evacuations and the rollout orders of the store. Those in force
// that a restored store has lost are retained.
func (r *Replica) setOrders(now time.Time, evacuated []string, rollouts []schema.RolloutOrder, at schema.StoreVersion) {
	if r.isRestored(Orders, at) {
		r.retainedOrders = retainedOrders{
			evacuated: slices.Clone(r.Declared.Evacuated), rollouts: slices.Clone(r.Declared.Rollouts), until: now.Add(restoredRetention),
		}
	}
	r.changed = r.changed || !slices.Equal(evacuated, r.evacuated) || !slices.Equal(rollouts, r.rollouts)
	r.evacuated, r.rollouts, r.Declared.OrdersAt = evacuated, rollouts, at
	r.putOrdersInForce()
}

// putOrdersInForce puts the orders of the store and the retained ones in force. An order of
// the store goes before a retained one for the same service.
func (r *Replica) putOrdersInForce() {
	evacuated, rollouts := r.evacuated, r.rollouts
	if !r.retainedOrders.isEmpty() {
		evacuated = slices.Concat(evacuated, r.retainedOrders.evacuated)
		slices.Sort(evacuated)
		evacuated = slices.Compact(evacuated)
		known := make([]string, 0, len(rollouts))
		for _, order := range rollouts {
			known = append(known, order.Service)
		}
		rollouts = slices.Concat(rollouts, withoutServices(r.retainedOrders.rollouts, known))
		slices.SortFunc(rollouts, compareServices)
	}
	if !slices.Equal(evacuated, r.Declared.Evacuated) || !slices.Equal(rollouts, r.Declared.Rollouts) {
		r.Declared.Evacuated, r.Declared.Rollouts, r.changed = evacuated, rollouts, true
	}
}

// dropRetainedOrders ends the retention of orders when its time is over.
func (r *Replica) dropRetainedOrders(now time.Time) {
	if !r.retainedOrders.isEmpty() && !now.Before(r.retainedOrders.until) {
		r.retainedOrders = retainedOrders{}
		r.putOrdersInForce()
	}
}
