package directory

import (
	"time"
)

// beacons sends beacons that are due. Only serving hosts place calls, so only they
// are told loads, and at once what else changed.
func (d *Directory) beacons(now time.Time) []Action {
	others := d.greets
	d.greets = nil
	others = append(others, d.strangersDue(now)...)
	toMates, toOthers := d.due(now)
	if toOthers {
		others = append(others, d.addresses(false)...)
	}
	var actions []Action
	if len(others) > 0 {
		actions = append(actions, SendBeacon{Addresses: others})
	}
	if mates := d.addresses(true); toMates && len(mates) > 0 {
		actions = append(actions, SendBeacon{Addresses: mates, Loads: d.serves(d.Self.Name)})
	}

	return actions
}

// due reports whether beacons to serving hosts and to others are due, and notes
// that they are sent.
func (d *Directory) due(now time.Time) (mates, others bool) {
	mateInterval, otherInterval := otherBeacon, time.Duration(float64(spareBeacon)*d.stretch())
	if d.serves(d.Self.Name) {
		mateInterval, otherInterval = mateBeacon, otherBeacon
	}
	if d.news {
		mateInterval = min(mateInterval, newsBeacon)
	}
	mates = d.urgent || now.Sub(d.sentAt[0]) >= mateInterval
	others = d.urgent || now.Sub(d.sentAt[1]) >= otherInterval
	d.urgent = false
	if mates {
		d.sentAt[0], d.news = now, false
	}
	if others {
		d.sentAt[1] = now
	}

	return mates, others
}

// addresses returns the addresses of the serving hosts or of the others.
func (d *Directory) addresses(serving bool) []string {
	var addresses []string
	for name, other := range d.members {
		if d.serves(name) == serving {
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
