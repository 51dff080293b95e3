package declared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabdrum/baobabdrum/schema"
)

// adoptRollouts applies the rollout orders of a read. A read of changes leaves the orders
// in force that it does not mention.
func (r *Replica) adoptRollouts(read OrdersRead) {
	if read.Full || len(read.Rollouts)+len(read.Withdrawn) > 0 {
		var others []schema.RolloutOrder
		if !read.Full {
			others = r.Declared.Rollouts
		}
		r.replaceRollouts(read.Rollouts, withoutServices(others, read.Withdrawn), read.At)
	}
}

// replaceRollouts replaces the rollout orders in force by changed ones and others that
// stay, as of a version of the store. An order in force stays if it is newer than that
// version, or than the order by which it would be replaced: a read in pages may contain
// rows that are newer than the version that it states.
func (r *Replica) replaceRollouts(changed, others []schema.RolloutOrder, at schema.StoreVersion) {
	byService := make(map[string]schema.RolloutOrder, len(changed)+len(others))
	for _, order := range slices.Concat(others, changed) {
		byService[order.Service] = order
	}
	for _, known := range r.Declared.Rollouts {
		next, listed := byService[known.Service]
		if known.OrderVersion.IsNewer(at) || listed && known.OrderVersion.IsNewer(next.OrderVersion) {
			byService[known.Service] = known
		}
	}
	rollouts := slices.SortedFunc(maps.Values(byService), func(a, b schema.RolloutOrder) int { return cmp.Compare(a.Service, b.Service) })
	if !slices.Equal(rollouts, r.Declared.Rollouts) {
		r.Declared.Rollouts, r.changed = rollouts, true
	}
}

// withoutServices returns the orders that are not for one of the services.
func withoutServices(orders []schema.RolloutOrder, services []string) []schema.RolloutOrder {
	var others []schema.RolloutOrder
	for _, order := range orders {
		if !slices.Contains(services, order.Service) {
			others = append(others, order)
		}
	}

	return others
}
