package caller

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Rank returns the hosts in the order in which they should own the cell, by
// rendezvous hashing. Hosts of the cell's data centre come first.
func Rank(cell Cell, hosts []schema.Host) []schema.Host {
	type scored struct {
		host  schema.Host
		local bool
		score uint64
	}
	list := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		list = append(list, scored{
			host:  host,
			local: host.DataCentre == cell.DataCentre,
			score: xxhash.Sum64String(cell.Service + "\x00" + cell.DataCentre + "\x00" + host.Name),
		})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.local != b.local {
			if a.local {
				return -1
			}

			return 1
		}

		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	ranked := make([]schema.Host, 0, len(list))
	for _, entry := range list {
		ranked = append(ranked, entry.host)
	}

	return ranked
}
