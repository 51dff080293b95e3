// Package directory decides which entry hosts callers are told to use, from the
// beacons that the hosts send each other. It holds no clock, socket, goroutine
// or lock. Change this package to change whom callers are sent to and how soon
// a lost host is left out.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// mateBeacon is the time between beacons of serving hosts to each other, which
	// carry loads.
	mateBeacon = 100 * time.Millisecond
	// otherBeacon is the time between beacons of serving hosts to all others, and of
	// others to those that serve. News goes at once.
	otherBeacon = time.Second
	// spareBeacon is the time between beacons of hosts that do not serve to each
	// other, which only choose by them who serves next.
	spareBeacon = 4 * time.Second
	// strangerBeacon is the time between beacons to hosts that are not heard.
	strangerBeacon = 2 * time.Second
	// firstBeacon is the time between beacons to strangers while there is news.
	firstBeacon = 500 * time.Millisecond
	// mateTimeout is how long a serving host may be silent until another one that
	// serves leaves it out and tells the others: five beacons.
	mateTimeout = 500 * time.Millisecond
	// otherTimeout is how long a host may be silent that sends a beacon each
	// otherBeacon: three and a half of them.
	otherTimeout = 3500 * time.Millisecond
	// spareTimeout is the same for those that send one each spareBeacon.
	spareTimeout = 14 * time.Second
	// lostFor is how long a beacon names a host that was lost.
	lostFor = 500 * time.Millisecond
	// forgetAfter is how long a silent host is still sent beacons.
	forgetAfter = 10 * time.Minute
	// busyShare is the share of a host's capacity from which another one serves
	// beside it.
	busyShare = 0.6
	// quietShare is the share below which it no longer does.
	quietShare = 0.4
	// manyHosts is the number of hosts from which beacons between spare hosts become
	// rarer, so that the work of a host does not grow with their number.
	manyHosts = 32
	// keep is how long callers may keep an answer: as short as asking is cheap.
	keep = time.Second
	// mostAddresses bounds the addresses in an answer.
	mostAddresses = 64
)

// Event is what the directory reacts to.
//
//sumtype:decl
type Event interface{ event() }

// BeaconHeard brings another host's beacon.
type BeaconHeard struct {
	// Beacon is the beacon.
	Beacon schema.Beacon
}

// AddressesLearnt brings addresses of hosts that may exist.
type AddressesLearnt struct {
	// Addresses are ip:port for beacons.
	Addresses []string
}

// ReadyChanged says whether this host serves calls.
type ReadyChanged struct {
	// Ready says that it does.
	Ready bool
}

// CallsCounted says how many calls a second arrive at this host.
type CallsCounted struct {
	// Calls is their number.
	Calls int
}

// NewsArrived says that this host knows something that the others should hear
// at once.
type NewsArrived struct{}

// Ticked says that time passed.
type Ticked struct{}

func (BeaconHeard) event()     {}
func (AddressesLearnt) event() {}
func (ReadyChanged) event()    {}
func (CallsCounted) event()    {}
func (NewsArrived) event()     {}
func (Ticked) event()          {}

// Action is what the directory wants done.
//
//sumtype:decl
type Action interface{ action() }

// SendBeacon sends this host's beacon.
type SendBeacon struct {
	// Addresses are ip:port of the receivers.
	Addresses []string
	// Loads says that the receivers use what the beacon says of loads.
	Loads bool
}

// ServingChanged says that callers are told other addresses.
type ServingChanged struct {
	// Serving are the hosts that they are told, by data centre and name.
	Serving []schema.Beacon
	// Ahead are the hosts that come before this one in what only a few hosts do:
	// first those that serve, then the others.
	Ahead []string
	// Self says that this host is one of them.
	Self bool
	// Hosts is the number of known hosts.
	Hosts int
}

// PeerLost says that a host is silent or stops.
type PeerLost struct {
	// Name is the host's name.
	Name string
	// Silent is how long it was silent.
	Silent time.Duration
}

// PeerFound says that a host is heard that was not before.
type PeerFound struct {
	// Name is the host's name.
	Name string
}

func (SendBeacon) action()     {}
func (ServingChanged) action() {}
func (PeerLost) action()       {}
func (PeerFound) action()      {}

// member is another host.
type member struct {
	beacon  schema.Beacon
	heardAt time.Time
	// electedAt is when it began to serve; it may have been silent for longer than
	// a serving host may.
	electedAt time.Time
	lostAt    time.Time
	live      bool
}

// stranger is an address that was not heard yet.
type stranger struct {
	since  time.Time
	sentAt time.Time
}

// Directory is one host's view of the entry hosts.
type Directory struct {
	// Self is this host's beacon without its loads.
	Self schema.Beacon

	members   map[string]*member
	strangers map[string]*stranger
	serving   []schema.Beacon
	counts    map[string]int
	sentAt    [2]time.Time
	greets    []string
	urgent    bool
	outdated  bool
	known     int
}

// New returns the view of a host that knows no other and is not ready.
func New(self schema.Beacon) *Directory {
	return &Directory{Self: self, members: map[string]*member{}, strangers: map[string]*stranger{}, counts: map[string]int{}, outdated: true}
}

// Step reacts to one event.
func (d *Directory) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case BeaconHeard:
		actions = d.hear(now, event.Beacon)
	case AddressesLearnt:
		for _, address := range event.Addresses {
			d.meet(now, address)
		}
	case ReadyChanged:
		if d.Self.Ready != event.Ready {
			d.urgent, d.outdated = true, true
		}
		d.Self.Ready = event.Ready
	case CallsCounted:
		d.outdated = d.outdated || d.Self.Calls != event.Calls
		d.Self.Calls = event.Calls
	case NewsArrived:
		d.urgent = true
	case Ticked:
	}
	actions = append(actions, d.lose(now)...)
	actions = append(actions, d.elect(now)...)

	return append(actions, d.beacons(now)...)
}

// meet remembers an address unless its host is known.
func (d *Directory) meet(now time.Time, address string) {
	if address == d.Self.PeerAddress || d.strangers[address] != nil {
		return
	}
	for _, other := range d.members {
		if other.beacon.PeerAddress == address {
			return
		}
	}
	d.strangers[address] = &stranger{since: now}
}

// hear adopts a beacon unless a newer one was heard.
func (d *Directory) hear(now time.Time, beacon schema.Beacon) []Action {
	if beacon.Name == d.Self.Name {
		return nil
	}
	delete(d.strangers, beacon.PeerAddress)
	known, ok := d.members[beacon.Name]
	if !ok {
		known = &member{}
		d.members[beacon.Name] = known
		d.greets = append(d.greets, beacon.PeerAddress)
	} else if older(beacon, known.beacon) {
		return nil
	}
	lost := beacon.Lost
	beacon.Loads, beacon.Lost = nil, nil
	d.outdated = d.outdated || !known.live || matters(beacon) != matters(known.beacon)
	known.beacon, known.heardAt = beacon, now
	actions := d.hearLost(now, lost)
	if known.live {
		return actions
	}
	known.live = true

	return append(actions, PeerFound{Name: beacon.Name})
}

// relevance is what of a beacon decides whom callers are told.
type relevance struct {
	started, capacity, calls int
	dataCentre, address      string
	ready                    bool
}

// matters returns what of a beacon decides whom callers are told.
func matters(beacon schema.Beacon) relevance {
	return relevance{
		started: beacon.StartedMs, capacity: beacon.Capacity, calls: beacon.Calls, dataCentre: beacon.DataCentre,
		address: beacon.CallerAddress, ready: beacon.Ready,
	}
}

// hearLost leaves out hosts that a serving host has lost. One that lives is
// heard again within a second.
func (d *Directory) hearLost(now time.Time, names []string) []Action {
	var actions []Action
	for _, name := range names {
		other, known := d.members[name]
		if known && other.live && now.Sub(other.heardAt) > mateBeacon {
			other.live, d.outdated = false, true
			actions = append(actions, PeerLost{Name: name, Silent: now.Sub(other.heardAt)})
		}
	}

	return actions
}

// Lost returns the hosts that this host lost a moment ago.
func (d *Directory) Lost(now time.Time) []string {
	var names []string
	for name, other := range d.members {
		if !other.live && now.Sub(other.lostAt) < lostFor {
			names = append(names, name)
		}
	}

	return names
}

// older reports whether a beacon was sent before another one of the same host.
func older(beacon, than schema.Beacon) bool {
	if beacon.StartedMs != than.StartedMs {
		return beacon.StartedMs < than.StartedMs
	}

	return beacon.Sequence <= than.Sequence
}

// lose leaves out the hosts that are silent.
func (d *Directory) lose(now time.Time) []Action {
	var actions []Action
	for name, other := range d.members {
		silent := now.Sub(other.heardAt)
		if other.live && silent > d.timeout(now, name, other) {
			other.live, other.lostAt, d.outdated = false, now, true
			d.urgent = d.urgent || d.serves(name)
			actions = append(actions, PeerLost{Name: name, Silent: silent})
		}
		if silent > forgetAfter {
			delete(d.members, name)
		}
	}
	for address, other := range d.strangers {
		if now.Sub(other.since) > forgetAfter {
			delete(d.strangers, address)
		}
	}

	return actions
}

// timeout returns how long a host may be silent. One that was just chosen to
// serve gets the time to notice it.
func (d *Directory) timeout(now time.Time, name string, other *member) time.Duration {
	self, serving := d.serves(d.Self.Name), d.serves(name) && now.Sub(other.electedAt) > otherBeacon
	switch {
	case self && serving:
		return mateTimeout
	case self || serving:
		return otherTimeout
	default:
		return time.Duration(float64(spareTimeout) * d.stretch())
	}
}

// serves reports whether callers are told a host's address.
func (d *Directory) serves(name string) bool {
	return slices.ContainsFunc(d.serving, func(beacon schema.Beacon) bool { return beacon.Name == name })
}

// elect chooses the hosts that callers are told. Few hosts know the backend
// servers' load better than many, so each data centre has as few as can carry
// its calls. Those that run for longest are chosen, so that a host that
// restarts does not take over at once.
func (d *Directory) elect(now time.Time) []Action {
	if !d.outdated {
		return nil
	}
	d.outdated = false
	all := d.alive()
	serving := d.choose(all)
	hosts := len(d.members) + 1
	same := func(a, b schema.Beacon) bool { return a.Name == b.Name && a.StartedMs == b.StartedMs }
	changed := !slices.EqualFunc(serving, d.serving, same) || hosts != d.known
	for _, beacon := range serving {
		if other, known := d.members[beacon.Name]; known && !d.serves(beacon.Name) {
			other.electedAt = now
		}
	}
	served := d.serves(d.Self.Name)
	d.serving, d.known = serving, hosts
	if !changed {
		return nil
	}
	d.urgent = d.urgent || served != d.serves(d.Self.Name)

	return []Action{ServingChanged{Serving: serving, Ahead: d.ahead(all), Self: d.serves(d.Self.Name), Hosts: hosts}}
}

// alive returns the beacons of all live hosts, the best to serve first.
func (d *Directory) alive() []schema.Beacon {
	all := []schema.Beacon{d.Self}
	for _, other := range d.members {
		if other.live {
			all = append(all, other.beacon)
		}
	}
	slices.SortFunc(all, before)

	return all
}

// choose returns the hosts that serve, by data centre and name.
func (d *Directory) choose(all []schema.Beacon) []schema.Beacon {
	ready := map[string][]schema.Beacon{}
	for _, beacon := range all {
		if beacon.Ready {
			ready[beacon.DataCentre] = append(ready[beacon.DataCentre], beacon)
		}
	}
	serving := make([]schema.Beacon, 0, len(ready))
	for dataCentre, candidates := range ready {
		serving = append(serving, candidates[:d.count(dataCentre, candidates)]...)
	}
	slices.SortFunc(serving, func(a, b schema.Beacon) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})

	return serving
}

// ahead returns the hosts that come before this one: first those that serve.
func (d *Directory) ahead(all []schema.Beacon) []string {
	var names []string
	for _, beacon := range append(slices.Clone(d.serving), all...) {
		if beacon.Name == d.Self.Name {
			break
		}
		if !slices.Contains(names, beacon.Name) {
			names = append(names, beacon.Name)
		}
	}

	return names
}

// before orders hosts by capacity and then by age.
func before(a, b schema.Beacon) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.Name, b.Name))
}

// count returns how many of the candidates carry a data centre's calls.
func (d *Directory) count(dataCentre string, candidates []schema.Beacon) int {
	calls := 0
	for _, beacon := range candidates {
		calls += beacon.Calls
	}
	needed := func(share float64) int {
		capacity := 0.0
		for i, beacon := range candidates {
			capacity += share * float64(beacon.Capacity)
			if float64(calls) <= capacity {
				return i + 1
			}
		}

		return len(candidates)
	}
	count := min(max(d.counts[dataCentre], needed(busyShare)), needed(quietShare))
	d.counts[dataCentre] = count

	return count
}

// beacons sends beacons that are due.
func (d *Directory) beacons(now time.Time) []Action {
	greets := d.greets
	d.greets = nil
	greets = append(greets, d.strangersDue(now)...)
	mates, others := d.due(now)
	if mates || others {
		greets = append(greets, d.addresses(mates, others)...)
	}
	d.urgent = false
	if len(greets) == 0 {
		return nil
	}

	return []Action{SendBeacon{Addresses: greets, Loads: mates && d.serves(d.Self.Name)}}
}

// due reports whether beacons to serving hosts and to others are due, and notes
// that they are sent.
func (d *Directory) due(now time.Time) (mates, others bool) {
	mateInterval, otherInterval := otherBeacon, time.Duration(float64(spareBeacon)*d.stretch())
	if d.serves(d.Self.Name) {
		mateInterval, otherInterval = mateBeacon, otherBeacon
	}
	mates = d.urgent || now.Sub(d.sentAt[0]) >= mateInterval
	others = d.urgent || now.Sub(d.sentAt[1]) >= otherInterval
	if mates {
		d.sentAt[0] = now
	}
	if others {
		d.sentAt[1] = now
	}

	return mates, others
}

// addresses returns the addresses of the serving hosts, of the others or of both.
func (d *Directory) addresses(mates, others bool) []string {
	var addresses []string
	for name, other := range d.members {
		if serves := d.serves(name); serves && mates || !serves && others {
			addresses = append(addresses, other.beacon.PeerAddress)
		}
	}

	return addresses
}

// strangersDue returns the addresses that were not heard and get a beacon now.
func (d *Directory) strangersDue(now time.Time) []string {
	var addresses []string
	for address, other := range d.strangers {
		if now.Sub(other.sentAt) >= strangerBeacon || d.urgent && now.Sub(other.sentAt) >= firstBeacon {
			other.sentAt = now
			addresses = append(addresses, address)
		}
	}

	return addresses
}

// stretch returns how much rarer beacons between spare hosts are than among few
// hosts.
func (d *Directory) stretch() float64 {
	return max(1, float64(len(d.members))/manyHosts)
}

// Answer returns the addresses for a caller in a data centre and how long it
// may keep them: the hosts of its data centre, or all if there are none.
func (d *Directory) Answer(dataCentre string) ([]string, time.Duration) {
	var local, all []string
	for _, beacon := range d.serving {
		all = append(all, beacon.CallerAddress)
		if beacon.DataCentre == dataCentre {
			local = append(local, beacon.CallerAddress)
		}
	}
	if len(local) > 0 {
		all = local
	}

	return all[:min(len(all), mostAddresses)], keep
}
