package directory

import (
	"time"
)

// dueBeacons returns the beacons that are due. Those to unconfirmed peers are due
// only if unconfirmed is set or an update is urgent. Only serving hosts place calls, so
// only they receive load reports and prompt updates.
func (d *Directory) dueBeacons(now time.Time, unconfirmed bool) []Action {
	others := d.newPeers
	d.newPeers = nil
	if unconfirmed || d.urgent {
		others = append(others, d.dueUnconfirmedPeers(now)...)
	}
	toServing, toOthers := d.takeDue(now)
	if toOthers {
		others = append(others, d.spareAddresses()...)
		d.ceased = false
	}
	var actions []Action
	if len(others) > 0 {
		actions = append(actions, SendBeacon{Addresses: others})
	}
	if toServing {
		actions = append(actions, d.servingBeacons()...)
	}

	return actions
}

// servingBeacons returns the beacons to the serving hosts. Those of other data centres
// receive load reports with every second one only, unless they send calls to other data
// centres: the reports are most of what hosts send between data centres.
func (d *Directory) servingBeacons() []Action {
	loads := d.serves(d.Self.Name)
	d.sparesLoads = !d.sparesLoads
	near, far := d.servingAddresses()
	if loads && !d.sparesLoads {
		near, far = append(near, far...), nil
	}
	var actions []Action
	if len(near) > 0 {
		actions = append(actions, SendBeacon{Addresses: near, Loads: loads})
	}
	if len(far) > 0 {
		actions = append(actions, SendBeacon{Addresses: far})
	}

	return actions
}

// takeDue reports whether beacons to serving hosts and to spare hosts are due, and
// records those that are due as sent.
func (d *Directory) takeDue(now time.Time) (serving, others bool) {
	servingInterval, otherInterval := servingSpareBeaconInterval, time.Duration(float64(spareBeaconInterval)*d.spareIntervalFactor())
	if d.serves(d.Self.Name) {
		servingInterval, otherInterval = servingBeaconInterval, servingSpareBeaconInterval
	}
	if d.updatePending {
		servingInterval = min(servingInterval, minUpdateInterval)
	}
	serving = d.urgent || now.Sub(d.sentAt[0]) >= servingInterval
	others = d.urgent || d.updatePending && len(d.serving) == 0 || now.Sub(d.sentAt[1]) >= otherInterval
	d.urgent = false
	if serving {
		d.sentAt[0], d.updatePending = now, false
	}
	if others {
		d.sentAt[1] = now
	}

	return serving, others
}

// servingAddresses returns the peer addresses of the serving hosts that need load reports
// soon, because they are in this host's data centre or send calls to others, and of the
// other ones.
func (d *Directory) servingAddresses() (near, far []string) {
	for name, other := range d.members {
		switch {
		case !d.serves(name):
		case other.beacon.DataCentre == d.Self.DataCentre, other.beacon.Crosses:
			near = append(near, other.beacon.PeerAddress)
		default:
			far = append(far, other.beacon.PeerAddress)
		}
	}

	return near, far
}

// spareAddresses returns the peer addresses of the spare hosts with which this host
// exchanges beacons.
func (d *Directory) spareAddresses() []string {
	var addresses []string
	for name, other := range d.members {
		if !d.serves(name) && d.exchanges(other.beacon) {
			addresses = append(addresses, other.beacon.PeerAddress)
		}
	}

	return addresses
}

// dueUnconfirmedPeers returns the addresses of unconfirmed peers to which a beacon
// is due, and records it as sent.
func (d *Directory) dueUnconfirmedPeers(now time.Time) []string {
	var addresses []string
	for address, other := range d.unconfirmedPeers {
		interval := unconfirmedPeerInterval
		if now.Sub(other.since) < firstContactPeriod {
			interval = firstContactInterval
		}
		if now.Sub(other.sentAt) >= interval || d.urgent && now.Sub(other.sentAt) >= urgentUnconfirmedPeerInterval {
			other.sentAt = now
			addresses = append(addresses, address)
		}
	}

	return addresses
}
