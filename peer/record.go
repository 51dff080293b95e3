package peer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

// record is what is known about another host.
type record struct {
	// host is the newest record that the host announced.
	host schema.Host
	// counter is the newest heartbeat heard, at least that of the record.
	counter int
	// heardAt is when the counter last grew.
	heardAt time.Time
	// dead says that another host found it dead at this counter.
	dead bool
	// failedAt is when the host first did not answer since it was last heard.
	failedAt time.Time
	// retriedAt is when the host was last asked again.
	retriedAt time.Time
	// sendCount counts the digests with this record since it changed.
	sendCount int
	// lastSent orders records by when they were last sent.
	lastSent uint64
	// heartbeatLastSent orders records by when their heartbeat was last sent.
	heartbeatLastSent uint64
}

// newRecord returns the record of a host heard of for the first time.
func newRecord(now time.Time, host schema.Host) *record {
	return &record{host: host, counter: host.Heartbeat, heardAt: now, dead: host.State == schema.HostStateDead}
}

// hash identifies the host and its incarnation in 32 bits.
func hash(host schema.Host) int {
	return int(xxhash.Sum64String(host.Name+"\x00"+host.Incarnation) & math.MaxUint32)
}

// adoptHeartbeat adopts a newer counter.
func (r *record) adoptHeartbeat(now time.Time, counter int) {
	if counter <= r.counter {
		return
	}
	if r.dead {
		r.sendCount = 0
	}
	r.counter, r.heardAt, r.dead, r.failedAt = counter, now, false, time.Time{}
}

// adopt adopts what a newer record of the host says.
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

// announced returns the record as it is passed on.
func (r *record) announced() schema.Host {
	host := r.host
	if r.dead {
		host.State, host.Heartbeat = schema.HostStateDead, r.counter
	}

	return host
}

// alive reports whether the host is live and was heard within the bound.
func (r *record) alive(now time.Time, timeout time.Duration) bool {
	return r.host.State == schema.HostStateLive && !r.dead && now.Sub(r.heardAt) < timeout
}

// sentBits is the number of bits for the order in which records were sent.
const sentBits = 56

// firstRecords returns up to count records with the smallest keys. Names decide
// between equal keys, so that the order does not depend on the map's.
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
