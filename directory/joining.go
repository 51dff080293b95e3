package directory

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// secondAskDelay is when a host asks for members again after its start: hosts
	// that start together have heard from each other's first contacts by then.
	secondAskDelay = 250 * time.Millisecond
	// thirdAskDelay is when it asks once more, for hosts that started late.
	thirdAskDelay = 2 * time.Second
	// askInterval is the time between later asks, which correct what beacons missed.
	askInterval = 15 * time.Second
	// unservedAskInterval is the time between asks while a host knows no serving host
	// but itself.
	unservedAskInterval = time.Second
	// askRetryDelay is the wait after an ask that was not answered.
	askRetryDelay = 500 * time.Millisecond
	// aloneTimeout is how long a host waits for the first beacon before it looks for
	// others in the store.
	aloneTimeout = 800 * time.Millisecond
	// earlyAloneTimeout is how long a host that is likely to serve waits for that.
	earlyAloneTimeout = 120 * time.Millisecond
	// isolatedTimeout is how long a host that serves asks those that it knows for other
	// serving hosts before it looks for them in the store.
	isolatedTimeout = 2500 * time.Millisecond
	// rejoinInterval is the time between two looks into the store while a host is
	// alone or isolated: the hosts that it knew may all have been replaced.
	rejoinInterval = 30 * time.Second
	// earlyCapacity is the capacity in calls per second from which a host is likely to
	// serve. After a restart of all hosts, callers wait for such hosts to find each
	// other. Small hosts, of which there may be many, wait to be told.
	earlyCapacity = 100
	// settlePeriod is how long after its start a host waits for what it learns from
	// others before it may choose itself to serve. It is longer than secondAskDelay
	// and the exchange of beacons that follows.
	settlePeriod = 600 * time.Millisecond
	// deputyCount is the number of spare hosts of a data centre that all its hosts
	// know. One of them takes over when the serving hosts are lost.
	deputyCount = 4
)

// joining is what a host knows of the others beyond their beacons.
type joining struct {
	startedAt time.Time
	// book holds the hosts that others named, by their peer address. Not all of them
	// exchange beacons with this host.
	book map[string]bookEntry
	// known is the largest number of hosts that this host or another one knew.
	known     int
	asks      int
	nextAskAt time.Time
	asking    bool
	joinedAt  time.Time
	// registered says that the store has, or soon will have, this host's row.
	registered bool
	// isolatedSince is the time since which this host is isolated, or zero.
	isolatedSince time.Time
	// preferred says that the last answer named no host of this data centre that is
	// preferred to this one.
	preferred bool
}

// bookEntry is a host that another one named.
type bookEntry struct {
	host    schema.KnownHost
	namedAt time.Time
}

// LikelyToServe reports whether a host of some capacity in calls per second is
// likely to serve.
func LikelyToServe(capacity int) bool {
	return capacity >= earlyCapacity
}

// dueJoining returns what this host does to be known and to know others. It asks
// hosts from which it has received beacons, and looks into the store while there are
// none, or while they know no other serving host. A host that serves registers in the
// store, so that others find it there.
func (d *Directory) dueJoining(now time.Time) []Action {
	var actions []Action
	if d.Self.Serves && !d.joining.registered {
		d.joining.registered = true
		actions = append(actions, Register{})
	}
	if !d.isolated() {
		d.joining.isolatedSince = time.Time{}
	} else if d.joining.isolatedSince.IsZero() {
		d.joining.isolatedSince = now
	}
	if since := d.joining.isolatedSince; !since.IsZero() && now.Sub(since) >= isolatedTimeout && d.mayJoin(now) {
		return append(actions, d.joinStore(now)...)
	}
	if d.joining.asking || now.Before(d.joining.nextAskAt) {
		return actions
	}
	if contact, found := d.contact(); found {
		return append(actions, d.ask(now, contact))
	}
	patience := aloneTimeout
	if LikelyToServe(d.Self.Capacity) {
		patience = earlyAloneTimeout
	}
	if now.Sub(d.joining.startedAt) >= patience && d.mayJoin(now) {
		actions = append(actions, d.joinStore(now)...)
	}

	return actions
}

// mayJoin reports whether this host may look into the store again.
func (d *Directory) mayJoin(now time.Time) bool {
	return now.Sub(d.joining.joinedAt) >= rejoinInterval
}

// joinStore returns a look into the store.
func (d *Directory) joinStore(now time.Time) []Action {
	d.joining.joinedAt, d.joining.registered = now, true

	return []Action{JoinStore{}}
}

// ask returns an ask and schedules the next one. Serving hosts need to know all
// hosts, the others only those of their data centre and the serving hosts.
func (d *Directory) ask(now time.Time, contact string) Action {
	d.joining.asking = true
	d.joining.asks++
	switch d.joining.asks {
	case 1:
		d.joining.nextAskAt = d.joining.startedAt.Add(secondAskDelay)
	case 2:
		d.joining.nextAskAt = d.joining.startedAt.Add(thirdAskDelay)
	default:
		d.joining.nextAskAt = now.Add(askInterval)
		if d.isolated() || len(d.serving) == 0 {
			d.joining.nextAskAt = now.Add(unservedAskInterval)
		}
	}
	if d.Self.Serves {
		return AskMembers{Address: contact}
	}

	return AskMembers{Address: contact, DataCentre: d.Self.DataCentre}
}

// isolated reports whether this host serves and knows no other serving host although
// there are other data centres, as after the loss of all serving hosts.
func (d *Directory) isolated() bool {
	if !d.Self.Serves || len(d.serving) > 1 {
		return false
	}
	for _, entry := range d.joining.book {
		if entry.host.DataCentre != d.Self.DataCentre {
			return true
		}
	}

	return false
}

// contact returns the peer address of the live host to ask: a serving host of this
// data centre, else any serving host, else one of another data centre, else any.
// Each ask of each host goes to another one.
func (d *Directory) contact() (string, bool) {
	best, bestRank, bestHash := "", 0, uint64(0)
	for name, other := range d.members {
		if !other.live {
			continue
		}
		near := other.beacon.DataCentre == d.Self.DataCentre
		rank := 1
		switch {
		case d.serves(name) && near:
			rank = 4
		case d.serves(name):
			rank = 3
		case !near:
			rank = 2 // one that all hosts know from their settings, most likely
		}
		score := xxhash.Sum64String(d.Self.Name + "\x00" + strconv.Itoa(d.joining.asks) + name)
		if rank > bestRank || rank == bestRank && score > bestHash {
			best, bestRank, bestHash = other.beacon.PeerAddress, rank, score
		}
	}

	return best, best != ""
}

// adoptMembers adds the hosts that another one named, and contacts those with which
// this host exchanges beacons.
func (d *Directory) adoptMembers(now time.Time, answer schema.MembersAnswer) {
	d.joining.asking = false
	d.joining.known = max(d.joining.known, answer.Known)
	for address, entry := range d.joining.book {
		if now.Sub(entry.namedAt) > forgetAfter {
			delete(d.joining.book, address)
		}
	}
	deputies := 0
	first := slices.IndexFunc(answer.Hosts, func(host schema.KnownHost) bool { return host.DataCentre == d.Self.DataCentre })
	d.joining.preferred = first < 0 || answer.Hosts[first].PeerAddress == d.Self.PeerAddress
	for _, host := range answer.Hosts {
		d.joining.book[host.PeerAddress] = bookEntry{host: host, namedAt: now}
		near := host.DataCentre == d.Self.DataCentre && !host.Serves
		if near {
			deputies++
		}
		if host.Serves || d.Self.Serves || near && deputies <= deputyCount {
			d.addAddress(now, host.PeerAddress)
		}
	}
}

// contactAll contacts all hosts that this host knows of, because it serves now.
func (d *Directory) contactAll(now time.Time) {
	for address := range d.joining.book {
		d.addAddress(now, address)
	}
	d.joining.nextAskAt = now
}

// selectDeputies determines the deputies of this host's data centre, out of the
// live hosts in order of preference.
func (d *Directory) selectDeputies(alive []schema.Beacon) {
	clear(d.deputies)
	for _, beacon := range alive {
		if len(d.deputies) < deputyCount && beacon.DataCentre == d.Self.DataCentre && !d.serves(beacon.Name) {
			d.deputies[beacon.Name] = true
		}
	}
}

// exchanges reports whether this host and a spare host exchange beacons. Serving
// hosts do so with all hosts, deputies with all of their data centre, and the others
// with the deputies only. While no host serves, all do so with all that they know.
func (d *Directory) exchanges(other schema.Beacon) bool {
	if d.ceased || d.serves(d.Self.Name) || len(d.serving) == 0 {
		return true
	}

	return other.DataCentre == d.Self.DataCentre && (d.deputies[d.Self.Name] || d.deputies[other.Name])
}

// Settled reports whether this host may choose itself to serve: another host has
// told it that none of its data centre is preferred or that one serves, or it has
// waited for that long enough.
func (d *Directory) Settled(now time.Time) bool {
	if d.joining.preferred || now.Sub(d.joining.startedAt) >= settlePeriod {
		return true
	}

	return slices.ContainsFunc(d.serving, func(beacon schema.Beacon) bool {
		return beacon.DataCentre == d.Self.DataCentre && beacon.Name != d.Self.Name && beacon.Serves
	})
}

// Members returns the live hosts that this host knows, for a host that asks.
func (d *Directory) Members(request schema.MembersRequest) schema.MembersAnswer {
	answer := schema.MembersAnswer{Known: d.countHosts()}
	for _, beacon := range d.alive() {
		if request.DataCentre == "" || beacon.DataCentre == request.DataCentre || d.serves(beacon.Name) {
			answer.Hosts = append(answer.Hosts, schema.KnownHost{
				PeerAddress: beacon.PeerAddress, DataCentre: beacon.DataCentre, Serves: d.serves(beacon.Name),
			})
		}
	}

	return answer
}

// countHosts returns the number of known hosts, alive or not, including this one.
func (d *Directory) countHosts() int {
	d.joining.known = max(d.joining.known, len(d.members)+1, len(d.joining.book))

	return d.joining.known
}

// spareIntervalFactor returns the factor by which the number of hosts of this data
// centre lengthens the interval of beacons among its spare hosts.
func (d *Directory) spareIntervalFactor() float64 {
	return max(1, float64(d.near)/fullRateHosts)
}

// compareHosts orders hosts by preference to serve: by capacity, then those that
// serve already, so that hosts which start together do not take over from each other,
// then by uptime, then by name.
func compareHosts(a, b schema.Beacon) int {
	serving := 0
	if a.Serves != b.Serves {
		serving = 1
		if a.Serves {
			serving = -1
		}
	}

	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), serving, cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.Name, b.Name))
}
