// Package directory decides which entry hosts callers are told to use, from the
// beacons that the hosts send each other. It holds no clock, socket, goroutine
// or lock. Change this package to change whom callers are sent to and how soon
// a lost host is left out.
package directory

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// mateBeacon is the time between beacons of serving hosts to each other, which
	// carry loads.
	mateBeacon = 100 * time.Millisecond
	// newsBeacon is the least time between beacons with news to serving hosts, so
	// that many changes in a row are told together.
	newsBeacon = 50 * time.Millisecond
	// otherBeacon is the time between beacons of serving hosts to all others, and of
	// others to those that serve. Losses are told at once.
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
	// electedAt is when this host began to serve.
	electedAt time.Time
	sentAt    [2]time.Time
	greets    []string
	// urgent says that all others are to hear something at once, news that those
	// that serve are.
	urgent   bool
	news     bool
	outdated bool
	known    int
}

// New returns the view of a host that knows no other and is not ready.
func New(self schema.Beacon) *Directory {
	return &Directory{Self: self, members: map[string]*member{}, strangers: map[string]*stranger{}, outdated: true}
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
		d.news = true
	case ReadsChanged:
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
	var actions []Action
	if d.serves(beacon.Name) {
		actions = d.hearLost(now, lost)
	}
	if known.live {
		return actions
	}
	known.live = true

	return append(actions, PeerFound{Name: beacon.Name})
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

// timeout returns how long a host may be silent. Hosts that were just chosen to
// serve get the time to notice it: until then, others tell them as rarely as
// hosts that do not serve.
func (d *Directory) timeout(now time.Time, name string, other *member) time.Duration {
	serving := d.serves(name) && now.Sub(other.electedAt) > otherBeacon
	self := time.Duration(0)
	if d.serves(d.Self.Name) {
		self = now.Sub(d.electedAt)
	}
	switch {
	case self > otherBeacon && serving:
		return mateTimeout
	case self > otherTimeout || serving:
		return otherTimeout
	default:
		return time.Duration(float64(spareTimeout) * d.stretch())
	}
}
