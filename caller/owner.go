package caller

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// Ranker ranks entry hosts per cell by rendezvous hashing: when a host joins or
// leaves, only the cells that it gains or loses change their owner.
type Ranker struct {
	hosts  []schema.Host
	hashes []uint64
}

// NewRanker returns a ranker of the hosts, whose names it hashes once.
func NewRanker(hosts []schema.Host) *Ranker {
	ranker := &Ranker{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, host := range hosts {
		ranker.hashes[i] = xxhash.Sum64String(host.Name)
	}

	return ranker
}

// Rank returns up to count hosts, the preferred owner of the cell first. Hosts
// in the cell's data centre precede all others.
func (r *Ranker) Rank(cell Cell, count int) []schema.Host {
	hash := xxhash.Sum64String(cell.Service + "\x00" + cell.DataCentre)
	best := make([]candidate, 0, count+1)
	for i := range r.hosts {
		best = insert(best, candidate{
			host:  i,
			local: r.hosts[i].DataCentre == cell.DataCentre,
			score: combine(hash, r.hashes[i]),
		}, count)
	}
	ranked := make([]schema.Host, 0, len(best))
	for _, entry := range best {
		ranked = append(ranked, r.hosts[entry.host])
	}

	return ranked
}

// candidate is a host, by its index, with its score for one cell.
type candidate struct {
	host  int
	local bool
	score uint64
}

// before reports whether the candidate ranks before the other one.
func (c candidate) before(other candidate) bool {
	if c.local != other.local {
		return c.local
	}

	return c.score > other.score
}

// insert inserts a candidate into the ranking and truncates it to count
// entries.
func insert(best []candidate, next candidate, count int) []candidate {
	at := len(best)
	for at > 0 && next.before(best[at-1]) {
		at--
	}
	if at == count {
		return best
	}
	best = append(best, candidate{})
	copy(best[at+1:], best[at:])
	best[at] = next

	return best[:min(len(best), count)]
}

// combine returns the score of a host for a cell from their hashes.
func combine(cell, host uint64) uint64 {
	var joined [16]byte
	binary.LittleEndian.PutUint64(joined[:8], cell)
	binary.LittleEndian.PutUint64(joined[8:], host)

	return xxhash.Sum64(joined[:])
}
