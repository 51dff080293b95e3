package directory

// countSharers returns the number of hosts that share the quotas of tenants: this
// host, those that serve, and those that stated so in their last beacon and were lost
// since. A lost host may still serve callers on the other side of a network
// partition, so it counts until a beacon of it states that it does not serve, or
// until it has been silent for forgetAfter.
func (d *Directory) countSharers() int {
	count := 1
	for name, other := range d.members {
		if d.serves(name) || other.beacon.Serves {
			count++
		}
	}

	return count
}
