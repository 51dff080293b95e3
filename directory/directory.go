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
	// servingBeaconInterval is the time between beacons of serving hosts to each other, which
	// carry loads.
	servingBeaconInterval = 100 * time.Millisecond
	// minUpdateInterval is the least time between beacons with news to serving hosts, so
	// that many changes in a row are told together.
	minUpdateInterval = 50 * time.Millisecond
	// servingSpareBeaconInterval is the time between beacons of serving hosts to all others, and of
	// others to those that serve. Losses are told at once.
	servingSpareBeaconInterval = time.Second
	// spareBeaconInterval is the time between beacons of hosts that do not serve to each
	// other, which only choose by them who serves next.
	spareBeaconInterval = 4 * time.Second
	// unheardPeerInterval is the time between beacons to hosts that are not heard.
	unheardPeerInterval = 2 * time.Second
	// urgentUnheardPeerInterval is the time between beacons to strangers while there is news.
	urgentUnheardPeerInterval = 500 * time.Millisecond
	// servingTimeout is how long a serving host may be silent until another one that
	// serves leaves it out and tells the others: five beacons.
	servingTimeout = 500 * time.Millisecond
	// servingSpareTimeout is how long a host may be silent that sends a beacon each
	// servingSpareBeaconInterval: three and a half of them.
	servingSpareTimeout = 3500 * time.Millisecond
	// spareTimeout is the same for those that send one each spareBeaconInterval.
	spareTimeout = 14 * time.Second
	// lostAnnouncementPeriod is how long a beacon names a host that was lost.
	lostAnnouncementPeriod = 500 * time.Millisecond
	// forgetAfter is how long a silent host is still sent beacons.
	forgetAfter = 10 * time.Minute
	// scaleOutUtilisation is the share of a host's capacity from which another one serves
	// beside it.
	scaleOutUtilisation = 0.6
	// scaleInUtilisation is the share below which it no longer does.
	scaleInUtilisation = 0.4
	// fullRateHosts is the number of hosts from which beacons between spare hosts become
	// rarer, so that the work of a host does not grow with their number.
	fullRateHosts = 32
	// answerTTL is how long callers may keep an answer: as short as asking is cheap.
	answerTTL = time.Second
	// maxAnswerAddresses bounds the addresses in an answer.
	maxAnswerAddresses = 64
)

// member is another host.
type member struct {
	beacon  schema.Beacon
	heardAt time.Time
	// servingSince is when it began to serve; it may have been silent for longer than
	// a serving host may.
	servingSince time.Time
	lostAt       time.Time
	live         bool
}

// unheardPeer is an address that was not heard yet.
type unheardPeer struct {
	since  time.Time
	sentAt time.Time
}

// Directory is one host's view of the entry hosts.
type Directory struct {
	// Self is this host's beacon without its loads.
	Self schema.Beacon

	members      map[string]*member
	unheardPeers map[string]*unheardPeer
	serving      []schema.Beacon
	// servingSince is when this host began to serve.
	servingSince time.Time
	sentAt       [2]time.Time
	newPeers     []string
	// urgent says that all others are to hear something at once, news that those
	// that serve are.
	urgent            bool
	updatePending     bool
	selectionOutdated bool
	knownHosts        int
}

// New returns the view of a host that knows no other and is not ready.
func New(self schema.Beacon) *Directory {
	return &Directory{Self: self, members: map[string]*member{}, unheardPeers: map[string]*unheardPeer{}, selectionOutdated: true}
}

// Step reacts to one event.
func (d *Directory) Step(now time.Time, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case BeaconHeard:
		actions = d.adoptBeacon(now, event.Beacon)
	case AddressesLearnt:
		for _, address := range event.Addresses {
			d.addAddress(now, address)
		}
	case ReadyChanged:
		if d.Self.Ready != event.Ready {
			d.urgent, d.selectionOutdated = true, true
		}
		d.Self.Ready = event.Ready
	case CallsCounted:
		d.selectionOutdated = d.selectionOutdated || d.Self.Calls != event.Calls
		d.Self.Calls = event.Calls
	case UpdateArrived:
		d.updatePending = true
	case ReadsChanged:
		d.urgent = true
	case Ticked:
	}
	actions = append(actions, d.expireSilent(now)...)
	actions = append(actions, d.updateServing(now)...)

	return append(actions, d.dueBeacons(now)...)
}

// addAddress remembers an address unless its host is known.
func (d *Directory) addAddress(now time.Time, address string) {
	if address == d.Self.PeerAddress || d.unheardPeers[address] != nil {
		return
	}
	for _, other := range d.members {
		if other.beacon.PeerAddress == address {
			return
		}
	}
	d.unheardPeers[address] = &unheardPeer{since: now}
}

// adoptBeacon adopts a beacon unless a newer one was heard.
func (d *Directory) adoptBeacon(now time.Time, beacon schema.Beacon) []Action {
	if beacon.Name == d.Self.Name {
		return nil
	}
	delete(d.unheardPeers, beacon.PeerAddress)
	known, ok := d.members[beacon.Name]
	if !ok {
		known = &member{}
		d.members[beacon.Name] = known
		d.newPeers = append(d.newPeers, beacon.PeerAddress)
	} else if older(beacon, known.beacon) {
		return nil
	}
	lost := beacon.Lost
	beacon.Loads, beacon.Lost = nil, nil
	d.selectionOutdated = d.selectionOutdated || !known.live || selectionInputsOf(beacon) != selectionInputsOf(known.beacon)
	known.beacon, known.heardAt = beacon, now
	var actions []Action
	if d.serves(beacon.Name) {
		actions = d.adoptLost(now, lost)
	}
	if known.live {
		return actions
	}
	known.live = true

	return append(actions, PeerFound{Name: beacon.Name})
}

// adoptLost leaves out hosts that a serving host has lost. One that lives is
// heard again within a second.
func (d *Directory) adoptLost(now time.Time, names []string) []Action {
	var actions []Action
	for _, name := range names {
		other, known := d.members[name]
		if known && other.live && now.Sub(other.heardAt) > servingBeaconInterval {
			other.live, d.selectionOutdated = false, true
			actions = append(actions, PeerLost{Name: name, Silent: now.Sub(other.heardAt)})
		}
	}

	return actions
}

// Lost returns the hosts that this host lost a moment ago.
func (d *Directory) Lost(now time.Time) []string {
	var names []string
	for name, other := range d.members {
		if !other.live && now.Sub(other.lostAt) < lostAnnouncementPeriod {
			names = append(names, name)
		}
	}

	return names
}

// older reports whether a beacon was sent before another one of the same host.
func older(beacon, other schema.Beacon) bool {
	if beacon.StartedMs != other.StartedMs {
		return beacon.StartedMs < other.StartedMs
	}

	return beacon.Sequence <= other.Sequence
}

// expireSilent leaves out the hosts that are silent.
func (d *Directory) expireSilent(now time.Time) []Action {
	var actions []Action
	for name, other := range d.members {
		silent := now.Sub(other.heardAt)
		if other.live && silent > d.timeout(now, name, other) {
			other.live, other.lostAt, d.selectionOutdated = false, now, true
			d.urgent = d.urgent || d.serves(name)
			actions = append(actions, PeerLost{Name: name, Silent: silent})
		}
		if silent > forgetAfter {
			delete(d.members, name)
		}
	}
	for address, other := range d.unheardPeers {
		if now.Sub(other.since) > forgetAfter {
			delete(d.unheardPeers, address)
		}
	}

	return actions
}

// timeout returns how long a host may be silent. Hosts that were just chosen to
// serve get the time to notice it: until then, others tell them as rarely as
// hosts that do not serve.
func (d *Directory) timeout(now time.Time, name string, other *member) time.Duration {
	serving := d.serves(name) && now.Sub(other.servingSince) > servingSpareBeaconInterval
	servingFor := time.Duration(0)
	if d.serves(d.Self.Name) {
		servingFor = now.Sub(d.servingSince)
	}
	switch {
	case servingFor > servingSpareBeaconInterval && serving:
		return servingTimeout
	case servingFor > servingSpareTimeout || serving:
		return servingSpareTimeout
	default:
		return time.Duration(float64(spareTimeout) * d.spareIntervalFactor())
	}
}
