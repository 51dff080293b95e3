package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// record holds the state that this host has learnt about another host.
type record struct {
	// host is the newest announcement of the host.
	host schema.Host
	// counter is the highest heartbeat heard, at least the announcement's.
	counter int
	// lastSeen is when the counter last grew.
	lastSeen time.Time
	// dead is true if this or another host declared it dead at this counter.
	dead bool
	// failedAt is the time of the first failed exchange since the last new
	// heartbeat.
	failedAt time.Time
	// retriedAt is the time of the last retry of a suspected host.
	retriedAt time.Time
	// sendCount is the number of digests that carried this record since it
	// changed.
	sendCount int
	// lastSent is the send sequence number when the record was last sent.
	lastSent uint64
	// heartbeatLastSent is the send sequence number when the heartbeat was last
	// sent.
	heartbeatLastSent uint64
}

// newRecord returns the record of a new host or a new incarnation.
func newRecord(now time.Time, host schema.Host) *record {
	return &record{host: host, counter: host.Heartbeat, lastSeen: now, dead: host.State == schema.HostStateDead}
}

// hash returns a 32-bit hash that identifies the host and its incarnation.
func hash(host schema.Host) int {
	return int(xxhash.Sum64String(host.Name+"\x00"+host.Incarnation) & math.MaxUint32)
}

// adoptHeartbeat applies a heartbeat if it is newer. It clears the dead mark
// and the suspicion.
func (r *record) adoptHeartbeat(now time.Time, counter int) {
	if counter <= r.counter {
		return
	}
	if r.dead {
		r.sendCount = 0
	}
	r.counter, r.lastSeen, r.dead, r.failedAt = counter, now, false, time.Time{}
}

// adopt merges a newer announcement of the host. A later incarnation replaces
// the record.
func (r *record) adopt(now time.Time, host schema.Host) {
	switch order := cmp.Compare(host.Incarnation, r.host.Incarnation); {
	case order > 0:
		*r = *newRecord(now, host)

		return
	case order < 0:
		return
	}
	if host.State == schema.HostStateDead {
		if host.Heartbeat >= r.counter && !r.dead {
			r.dead, r.sendCount = true, 0
		}

		return
	}
	if host.Heartbeat > r.host.Heartbeat {
		if host.State != r.host.State {
			r.sendCount = 0
		}
		r.host = host
	}
	r.adoptHeartbeat(now, host.Heartbeat)
}

// announced returns the record as it is sent to other hosts.
func (r *record) announced() schema.Host {
	host := r.host
	if r.dead {
		host.State, host.Heartbeat = schema.HostStateDead, r.counter
	}

	return host
}

// alive reports whether the host is live and was heard within the timeout.
func (r *record) alive(now time.Time, timeout time.Duration) bool {
	return r.host.State == schema.HostStateLive && !r.dead && now.Sub(r.lastSeen) < timeout
}

// sentBits is the number of low bits of a sort key that hold lastSent.
const sentBits = 56

// firstRecords returns up to count records with the smallest keys. Equal keys
// are ordered by name, so that the result does not depend on map order.
func firstRecords(records map[string]*record, count int, key func(r *record) uint64) []*record {
	first := make([]*record, 0, count+1)
	before := func(a, b *record) int {
		return cmp.Or(cmp.Compare(key(a), key(b)), cmp.Compare(a.host.Name, b.host.Name))
	}
	for _, r := range records {
		if len(first) == count && (count == 0 || before(r, first[count-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, r, before)
		first = slices.Insert(first, at, r)
		first = first[:min(len(first), count)]
	}

	return first
}
