package directory

import (
	"time"
)

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
