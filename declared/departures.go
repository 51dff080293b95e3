package declared

import (
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

const (
	// departedDoubt is how long a host gives no calls to a backend server that a restored
	// store lists although it had left: more than the three heartbeats after which the store
	// removes the registration of a silent one.
	departedDoubt = 6 * time.Second
	// maxDepartures bounds the departures that a host remembers.
	maxDepartures = 1 << 15
)

// departure is what a host remembers of a backend server that began to drain or left.
type departure struct {
	// startedMs identifies the incarnation by its start in Unix milliseconds.
	startedMs int
	// drained is set if the backend server said that it drains. It accepts no work again.
	drained bool
}

// departures are the backend servers that began to drain or left, as far as this host knows.
// The store counts, except for what a restored one says of the time before.
type departures struct {
	byID map[string]departure
	// doubted are the registrations of a restored store that are older than a departure, with
	// the end of the doubt, or zero if only a newer registration ends it.
	doubted map[string]time.Time
}

// newDepartures returns an empty record.
func newDepartures() departures {
	return departures{byID: map[string]departure{}, doubted: map[string]time.Time{}}
}

// noteRegistered records a registration that was added or changed.
func (d *departures) noteRegistered(registration schema.Registration) {
	delete(d.doubted, registration.ID)
	if registration.Draining {
		d.record(registration)
	} else {
		delete(d.byID, registration.ID)
	}
}

// noteGone records a registration that was removed.
func (d *departures) noteGone(registration schema.Registration) {
	delete(d.doubted, registration.ID)
	d.record(registration)
}

// record remembers a departure. A full record starts afresh.
func (d *departures) record(registration schema.Registration) {
	if len(d.byID) >= maxDepartures {
		d.byID = map[string]departure{}
	}
	d.byID[registration.ID] = departure{startedMs: registration.StartedMs, drained: registration.Draining}
}

// noteRestored compares the registrations of a restored store with what this host knew.
func (d *departures) noteRestored(now time.Time, registered []schema.Registration) {
	clear(d.doubted)
	for _, registration := range registered {
		left, known := d.byID[registration.ID]
		switch {
		case registration.Draining:
			d.record(registration)
		case !known:
		case registration.StartedMs > left.startedMs:
			delete(d.byID, registration.ID)
		case left.drained:
			d.doubted[registration.ID] = time.Time{}
		default:
			d.doubted[registration.ID] = now.Add(departedDoubt)
		}
	}
}

// doubts reports whether a registration is older than the departure of its backend server.
func (d *departures) doubts(id string) bool {
	_, doubted := d.doubted[id]

	return doubted
}

// expire ends doubts, and reports whether there were any to end.
func (d *departures) expire(now time.Time) bool {
	expired := false
	for id, until := range d.doubted {
		if !until.IsZero() && !now.Before(until) {
			delete(d.doubted, id)
			delete(d.byID, id)
			expired = true
		}
	}

	return expired
}

// withDoubts returns registrations in which the doubted ones drain. It leaves the list as it
// is.
func (d *departures) withDoubts(list []schema.Registration) []schema.Registration {
	if len(d.doubted) == 0 {
		return list
	}
	result := make([]schema.Registration, 0, len(list))
	for _, registration := range list {
		if d.doubts(registration.ID) {
			registration.Draining = true
		}
		result = append(result, registration)
	}

	return result
}
