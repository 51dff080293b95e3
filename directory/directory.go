// Package directory selects the serving hosts, which are the entry hosts whose
// addresses callers receive; all others are spare. It takes in the beacons of other
// hosts and this host's readiness and call rate, and returns the beacons to send
// and changes of the selection. It holds no clock, socket, goroutine or lock.
// Change this package to change which hosts callers use and how soon a lost host
// is excluded.
package directory

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// servingBeaconInterval is the time between beacons among serving hosts, which
	// carry load reports.
	servingBeaconInterval = 100 * time.Millisecond
	// minUpdateInterval is the minimum time between beacons with updates to serving
	// hosts. It batches changes that follow each other.
	minUpdateInterval = 50 * time.Millisecond
	// servingSpareBeaconInterval is the time between beacons from serving hosts to
	// spare hosts and the reverse. Losses are announced at once.
	servingSpareBeaconInterval = time.Second
	// spareBeaconInterval is the time between beacons among spare hosts, which use them
	// only to select the next serving host.
	spareBeaconInterval = 4 * time.Second
	// unconfirmedPeerInterval is the time between beacons to an address from which no
	// beacon has arrived.
	unconfirmedPeerInterval = 2 * time.Second
	// firstContactPeriod is how long a new address receives beacons every
	// firstContactInterval: the hosts of a deployment start within 0.3 s of each other,
	// and beacons to a host that has not started are lost.
	firstContactPeriod = time.Second
	// firstContactInterval is the time between these beacons.
	firstContactInterval = 100 * time.Millisecond
	// urgentUnconfirmedPeerInterval is the time between beacons to an unconfirmed peer
	// while an urgent update is due.
	urgentUnconfirmedPeerInterval = 500 * time.Millisecond
	// servingTimeout is how long a serving host may be silent before another serving
	// host excludes it and announces the loss: five beacons.
	servingTimeout = 500 * time.Millisecond
	// servingSpareTimeout is how long a host may be silent that sends a beacon every
	// servingSpareBeaconInterval: three and a half intervals.
	servingSpareTimeout = 3500 * time.Millisecond
	// spareTimeout is how long a host may be silent that sends a beacon every
	// spareBeaconInterval: three and a half intervals.
	spareTimeout = 14 * time.Second
	// lostAnnouncementPeriod is how long beacons name a lost host.
	lostAnnouncementPeriod = 500 * time.Millisecond
	// forgetAfter is how long a silent host still receives beacons.
	forgetAfter = 10 * time.Minute
	// scaleOutUtilisation is the share of a host's capacity above which another host
	// serves beside it.
	scaleOutUtilisation = 0.6
	// scaleInUtilisation is the share of the remaining hosts' capacity below which a
	// further host stops serving.
	scaleInUtilisation = 0.4
	// fullRateHosts is the number of hosts of a data centre above which beacons among
	// its spare hosts become less frequent, so that a host's work does not grow with
	// the number of hosts.
	fullRateHosts = 64
	// AnswerTTL is how long callers may cache an answer. It is short because lookups
	// are cheap.
	AnswerTTL = time.Second
	// maxAnswerAddresses bounds the addresses in an answer.
	maxAnswerAddresses = 64
)

// member is another host from which a beacon has arrived.
type member struct {
	beacon   schema.Beacon
	lastSeen time.Time
	// servingSince is when this host saw the member begin to serve. At that time, the
	// member may have been silent for longer than a serving host may be.
	servingSince time.Time
	lostAt       time.Time
	live         bool
}

// unconfirmedPeer is an address from which no beacon has arrived.
type unconfirmedPeer struct {
	since  time.Time
	sentAt time.Time
}

// Directory is one host's view of the entry hosts.
type Directory struct {
	// Self is this host's beacon without its load reports.
	Self schema.Beacon

	members map[string]*member
	// near is the number of members of this host's data centre.
	near int
	// memberAt holds the name of the member at each peer address.
	memberAt         map[string]string
	unconfirmedPeers map[string]*unconfirmedPeer
	serving          []schema.Beacon
	// servingSince is when this host began to serve.
	servingSince time.Time
	sentAt       [2]time.Time
	newPeers     []string
	// urgent requests a beacon to all hosts at once, updatePending one to the serving
	// hosts within minUpdateInterval.
	urgent bool
	// repeatUrgentAt is when an urgent beacon on which other hosts act is sent once
	// more, because beacons may be lost, or zero.
	repeatUrgentAt time.Time
	// ceased is set from when this host ceases to serve until it has told all hosts.
	ceased        bool
	updatePending bool
	// sparesLoads is set if the last beacon to serving hosts of other data centres had no
	// load reports.
	sparesLoads bool
	// selectionOutdated requests a new selection with the next tick, selectionUrgent
	// one at once.
	selectionOutdated bool
	selectionUrgent   bool
	knownHosts        int
	// sharers is the number of hosts that share the quotas of tenants.
	sharers int
	joining joining
	// deputies are the names of the deputies of this host's data centre.
	deputies map[string]bool
	// servingNames are the names of the serving hosts.
	servingNames map[string]bool
}

// New returns the view of a host that is not ready and knows no other host.
func New(self schema.Beacon) *Directory {
	return &Directory{
		Self: self, members: map[string]*member{}, memberAt: map[string]string{}, unconfirmedPeers: map[string]*unconfirmedPeer{}, selectionUrgent: true,
		servingNames: map[string]bool{}, deputies: map[string]bool{}, joining: joining{book: map[string]bookEntry{}},
	}
}

// Step applies one event and returns the actions that follow from it, including
// the beacons that are due. Silent hosts are excluded, and changes that concern
// only spare hosts are applied, with the next tick: the work of a beacon does not
// grow with the number of hosts.
func (d *Directory) Step(now time.Time, event Event) []Action {
	if d.joining.startedAt.IsZero() {
		d.joining.startedAt = now
	}
	actions := d.handle(now, event)
	actions = append(actions, d.updateServing(now)...)
	switch event.(type) {
	case Ticked:
		actions = append(actions, d.dueJoining(now)...)

		return append(actions, d.dueBeacons(now, true)...)
	case AddressesAdded, MembersAnswered:
		return append(actions, d.dueBeacons(now, true)...)
	case CallsCounted:
		return append(actions, d.dueBeacons(now, false)...) // with the newest load reports
	case BeaconReceived, ReadyChanged, UpdateArrived, ReadsChanged, StoreRestored, AskFailed:
		if d.joining.asks == 0 {
			actions = append(actions, d.dueJoining(now)...)
		}
		if d.urgent || d.updatePending || len(d.newPeers) > 0 {
			return append(actions, d.dueBeacons(now, false)...)
		}
	}

	return actions
}

// handle applies one event.
func (d *Directory) handle(now time.Time, event Event) []Action {
	var actions []Action
	switch event := event.(type) {
	case BeaconReceived:
		actions = d.adoptBeacon(now, event.Beacon)
	case AddressesAdded:
		for _, address := range event.Addresses {
			d.addAddress(now, address)
		}
	case ReadyChanged:
		if d.Self.Ready != event.Ready {
			d.urgent, d.selectionUrgent = true, true
		}
		d.Self.Ready = event.Ready
	case CallsCounted:
		d.selectionOutdated = d.selectionOutdated || d.Self.Calls != event.Calls
		d.Self.Calls, d.Self.Crosses = event.Calls, event.Crosses
	case StoreRestored:
		d.joining.registered = false
	case UpdateArrived:
		d.updatePending = true
	case ReadsChanged:
		d.alertAll(now)
	case Ticked:
		d.repeatAlert(now)
		actions = d.expireSilent(now)
		d.selectionUrgent = d.selectionUrgent || d.selectionOutdated
	case MembersAnswered:
		d.adoptMembers(now, event.Answer)
	case AskFailed:
		d.joining.asking, d.joining.nextAskAt = false, now.Add(askRetryDelay)
	}

	return actions
}

// alertAll requests an urgent beacon, and another one later.
func (d *Directory) alertAll(now time.Time) {
	d.urgent, d.repeatUrgentAt = true, now.Add(minUpdateInterval)
}

// repeatAlert requests the second urgent beacon once it is due.
func (d *Directory) repeatAlert(now time.Time) {
	if !d.repeatUrgentAt.IsZero() && !now.Before(d.repeatUrgentAt) {
		d.urgent, d.repeatUrgentAt = true, time.Time{}
	}
}

// addAddress adds an address to the unconfirmed peers unless its host is a member.
func (d *Directory) addAddress(now time.Time, address string) {
	if address == d.Self.PeerAddress || d.unconfirmedPeers[address] != nil {
		return
	}
	if _, known := d.members[d.memberAt[address]]; known {
		return
	}
	d.unconfirmedPeers[address] = &unconfirmedPeer{since: now}
}

// adoptBeacon applies a beacon unless a newer one of the same host has arrived.
func (d *Directory) adoptBeacon(now time.Time, beacon schema.Beacon) []Action {
	if beacon.Name == d.Self.Name {
		return nil
	}
	delete(d.unconfirmedPeers, beacon.PeerAddress)
	d.memberAt[beacon.PeerAddress] = beacon.Name
	known, ok := d.members[beacon.Name]
	if !ok {
		known = &member{}
		d.members[beacon.Name] = known
		if beacon.DataCentre == d.Self.DataCentre {
			d.near++
		}
		d.newPeers = append(d.newPeers, beacon.PeerAddress)
	} else if older(beacon, known.beacon) {
		return nil
	}
	lost := beacon.Lost
	beacon.Loads, beacon.Leaving, beacon.Lost = nil, nil, nil
	if !known.live || selectionInputsOf(beacon) != selectionInputsOf(known.beacon) {
		d.selectionOutdated = true
		d.selectionUrgent = d.selectionUrgent || beacon.Serves || known.beacon.Serves || d.serves(beacon.Name)
	}
	known.beacon, known.lastSeen = beacon, now
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

// adoptLost excludes hosts whose loss a serving host announces. A live host among
// them is heard again within a second.
func (d *Directory) adoptLost(now time.Time, names []string) []Action {
	var actions []Action
	for _, name := range names {
		other, known := d.members[name]
		if known && other.live && now.Sub(other.lastSeen) > servingBeaconInterval {
			other.live, d.selectionUrgent = false, true
			actions = append(actions, PeerLost{Name: name, Silent: now.Sub(other.lastSeen)})
		}
	}

	return actions
}

// Lost returns the hosts that this host lost within lostAnnouncementPeriod.
func (d *Directory) Lost(now time.Time) []string {
	var names []string
	for name, other := range d.members {
		if !other.live && now.Sub(other.lostAt) < lostAnnouncementPeriod {
			names = append(names, name)
		}
	}

	return names
}

// older reports whether a beacon was not sent after another one of the same host.
func older(beacon, other schema.Beacon) bool {
	if beacon.StartedMs != other.StartedMs {
		return beacon.StartedMs < other.StartedMs
	}

	return beacon.Sequence <= other.Sequence
}

// expireSilent excludes hosts that have been silent for longer than their time-out,
// and removes those that have been silent for longer than forgetAfter.
func (d *Directory) expireSilent(now time.Time) []Action {
	var actions []Action
	for name, other := range d.members {
		silent := now.Sub(other.lastSeen)
		if other.live && silent > d.timeout(now, name, other) {
			other.live, other.lostAt, d.selectionOutdated = false, now, true
			d.urgent = d.urgent || d.serves(name)
			if d.serves(name) || d.exchanges(other.beacon) {
				actions = append(actions, PeerLost{Name: name, Silent: silent})
			}
		}
		if silent > forgetAfter {
			d.forget(name, other)
		}
	}
	for address, other := range d.unconfirmedPeers {
		if now.Sub(other.since) > forgetAfter {
			delete(d.unconfirmedPeers, address)
		}
	}

	return actions
}

// forget removes a host. If it served when it was lost, it shares no quotas any more.
func (d *Directory) forget(name string, other *member) {
	delete(d.members, name)
	d.selectionOutdated = d.selectionOutdated || other.beacon.Serves
	if other.beacon.DataCentre == d.Self.DataCentre {
		d.near--
	}
	if d.memberAt[other.beacon.PeerAddress] == name {
		delete(d.memberAt, other.beacon.PeerAddress)
	}
}

// timeout returns how long a host may be silent. Hosts that were selected just now
// get time to notice it: until then, they and the other hosts exchange beacons as
// rarely as spare hosts do.
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
