package declared

import (
	"cmp"
	"maps"
	"slices"

	"github.com/baobabdrum/baobabdrum/schema"
)

// rolloutsAfter returns the rollout orders of the store after a read. A read of changes
// leaves the orders that it does not mention.
func (r *Replica) rolloutsAfter(read OrdersRead) []schema.RolloutOrder {
	if !read.Full && len(read.Rollouts)+len(read.Withdrawn) == 0 {
		return r.rollouts
	}
	var others []schema.RolloutOrder
	if !read.Full {
		others = r.rollouts
	}

	return r.replacedRollouts(read.Rollouts, withoutServices(others, read.Withdrawn), read.At)
}

// replacedRollouts returns the rollout orders of the store with changed ones and others that
// stay, as of a version of the store. A known order stays if it is newer than that version,
// or than the order by which it would be replaced: a read in pages may contain rows that are
// newer than the version that it states.
func (r *Replica) replacedRollouts(changed, others []schema.RolloutOrder, at schema.StoreVersion) []schema.RolloutOrder {
	byService := make(map[string]schema.RolloutOrder, len(changed)+len(others))
	for _, order := range slices.Concat(others, changed) {
		byService[order.Service] = order
	}
	for _, known := range r.rollouts {
		next, listed := byService[known.Service]
		if known.OrderVersion.IsNewer(at) || listed && known.OrderVersion.IsNewer(next.OrderVersion) {
			byService[known.Service] = known
		}
	}

	return slices.SortedFunc(maps.Values(byService), compareServices)
}

// compareServices orders rollout orders by service.
func compareServices(a, b schema.RolloutOrder) int { return cmp.Compare(a.Service, b.Service) }

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
