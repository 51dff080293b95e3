package placement

import "time"

// usageMaxAge is the age up to which counts of the slots of a service are used. It is below
// the interval of ticks, so that each tick decides by a new count.
const usageMaxAge = 5 * time.Millisecond

// slotCount is the number of taken slots and of all slots of some backend servers.
type slotCount struct {
	taken, slots int
}

// utilisation returns the share of taken slots, or 1 if there are none.
func (c slotCount) utilisation() float64 {
	if c.slots == 0 {
		return 1
	}

	return float64(c.taken) / float64(c.slots)
}

// usage is how much of a service's usable, warm backend servers is in use.
type usage struct {
	total        slotCount
	byDataCentre map[string]slotCount
	// workPerSecond is the work, at the usual pace, that they finish in a second.
	workPerSecond float64
	countedAt     time.Time
}

// usage returns the counts of the backend servers outside evacuated data centres. They are
// counted again when they are older than usageMaxAge, so that a call does not cost more the
// more backend servers there are.
func (s *service) usage(now time.Time, evacuated map[string]bool) *usage {
	if s.counted != nil && now.Sub(s.counted.countedAt) < usageMaxAge {
		return s.counted
	}
	s.counted = &usage{byDataCentre: map[string]slotCount{}, countedAt: now}
	for _, server := range s.servers {
		if !server.usable(now) || server.Cold(now) || evacuated[server.DataCentre] {
			continue
		}
		count := s.counted.byDataCentre[server.DataCentre]
		count.slots += server.SlotLimit()
		count.taken += server.TotalInFlight(now)
		s.counted.byDataCentre[server.DataCentre] = count
		s.counted.workPerSecond += float64(server.SlotLimit()) / server.UsualPace
	}
	for _, count := range s.counted.byDataCentre {
		s.counted.total.slots += count.slots
		s.counted.total.taken += count.taken
	}

	return s.counted
}
