package directory

// countSharers returns the number of hosts that share the quotas of tenants: this
// host, those that serve, and those that stated so in their last beacon and were lost
// since. A lost host may still serve callers on the other side of a network
// partition, so it counts until a beacon of it states that it does not serve, or
// until it has been silent for forgetAfter. For a host that stops, the others that stop
// count too: if all stop at the same time, none serves, and each still has callers.
func (d *Directory) countSharers() int {
	count := 1
	for name, other := range d.members {
		bothStop := !d.Self.Ready && other.live && !other.beacon.Ready
		if d.serves(name) || other.beacon.Serves || bothStop {
			count++
		}
	}

	return count
}
