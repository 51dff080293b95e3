package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// selectionInputs are the fields of a beacon on which the selection of serving hosts
// depends.
type selectionInputs struct {
	started, capacity, calls int
	dataCentre, address      string
	ready, serves            bool
}

func selectionInputsOf(beacon schema.Beacon) selectionInputs {
	return selectionInputs{
		started: beacon.StartedMs, capacity: beacon.Capacity, calls: beacon.Calls, dataCentre: beacon.DataCentre,
		address: beacon.CallerAddress, ready: beacon.Ready, serves: beacon.Serves,
	}
}

// serves reports whether a host is a serving host.
func (d *Directory) serves(name string) bool {
	return d.servingNames[name]
}

// updateServing selects the serving hosts. Each data centre has as few as can carry
// its calls, because few hosts have more accurate load data of the backend servers
// than many. Among hosts of equal capacity, those with the longest uptime are
// selected, so that a restarted host does not take over at once.
func (d *Directory) updateServing(now time.Time) []Action {
	if !d.selectionUrgent {
		return nil
	}
	d.selectionUrgent, d.selectionOutdated = false, false
	all := d.alive()
	serving := d.selectServing(all)
	hosts := d.countHosts()
	sameIncarnation := func(a, b schema.Beacon) bool { return a.Name == b.Name && a.StartedMs == b.StartedMs }
	changed := !slices.EqualFunc(serving, d.serving, sameIncarnation) || hosts != d.knownHosts
	wasServing := d.serves(d.Self.Name)
	d.knownHosts = hosts
	d.adoptServing(now, serving)
	d.selectDeputies(all)
	d.Self.Serves = d.serves(d.Self.Name)
	sharers := d.countSharers()
	changed, d.sharers = changed || sharers != d.sharers, sharers
	if !wasServing && d.Self.Serves {
		d.servingSince = now
		d.contactAll(now)
	}
	if !changed {
		return nil
	}
	if d.Self.Serves {
		d.joining.nextAskAt = now // the hosts that exchange beacons may be others now
	}
	d.urgent = d.urgent || wasServing != d.Self.Serves
	d.ceased = d.ceased || wasServing && !d.Self.Serves

	return []Action{ServingChanged{Serving: serving, Ahead: d.ahead(all), Self: d.Self.Serves, Hosts: hosts, Sharers: sharers}}
}

// adoptServing replaces the serving hosts.
func (d *Directory) adoptServing(now time.Time, serving []schema.Beacon) {
	for _, beacon := range serving {
		if other, known := d.members[beacon.Name]; known && !d.serves(beacon.Name) {
			other.servingSince = now
		}
	}
	d.serving = serving
	clear(d.servingNames)
	for _, beacon := range serving {
		d.servingNames[beacon.Name] = true
	}
}

// alive returns the beacons of all live hosts in order of preference to serve.
func (d *Directory) alive() []schema.Beacon {
	all := append(make([]schema.Beacon, 0, len(d.members)+1), d.Self)
	for _, other := range d.members {
		if other.live {
			all = append(all, other.beacon)
		}
	}
	slices.SortFunc(all, compareHosts)

	return all
}

// selectServing returns the serving hosts, sorted by data centre and name. Each host
// decides for itself whether it serves, and all others rely on its beacon, because
// hosts do not all see the same numbers at the same time.
func (d *Directory) selectServing(all []schema.Beacon) []schema.Beacon {
	ready := map[string][]schema.Beacon{}
	for _, beacon := range all {
		if beacon.Ready {
			ready[beacon.DataCentre] = append(ready[beacon.DataCentre], beacon)
		}
	}
	serving := make([]schema.Beacon, 0, len(ready))
	for _, candidates := range ready {
		serving = append(serving, d.selectInDataCentre(candidates)...)
	}
	slices.SortFunc(serving, func(a, b schema.Beacon) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})

	return serving
}

// selectInDataCentre returns a data centre's serving hosts, or its first candidate if
// none serves yet.
func (d *Directory) selectInDataCentre(candidates []schema.Beacon) []schema.Beacon {
	needed := servingCount(candidates)
	serving := make([]schema.Beacon, 0, needed)
	for i, beacon := range candidates {
		if self := beacon.Name == d.Self.Name; self && i < needed || !self && beacon.Serves {
			serving = append(serving, beacon)
		}
	}
	if len(serving) == 0 {
		return candidates[:1]
	}

	return serving
}

// ahead returns the names of the hosts that precede this one, serving hosts first.
func (d *Directory) ahead(all []schema.Beacon) []string {
	names := make([]string, 0, len(all))
	for _, beacon := range d.serving {
		if beacon.Name == d.Self.Name {
			return names
		}
		names = append(names, beacon.Name)
	}
	for _, beacon := range all {
		if beacon.Name == d.Self.Name {
			break
		}
		if !d.serves(beacon.Name) {
			names = append(names, beacon.Name)
		}
	}

	return names
}

// servingCount returns how many of the candidates serve to carry a data centre's
// calls. Hosts that serve already continue up to the number for scaleInUtilisation;
// all hosts agree on which of them serve.
func servingCount(candidates []schema.Beacon) int {
	calls, serving := 0, 0
	for i, beacon := range candidates {
		calls += beacon.Calls
		if beacon.Serves {
			serving = i + 1
		}
	}
	return min(max(serving, countForUtilisation(candidates, calls, scaleOutUtilisation)), countForUtilisation(candidates, calls, scaleInUtilisation))
}

// countForUtilisation returns how many of the candidates, the largest first, carry
// calls within a target utilisation, or the number that comes closest to it.
// Callers distribute calls evenly over the addresses they receive, so the smallest
// host bounds the calls for each.
func countForUtilisation(candidates []schema.Beacon, calls int, target float64) int {
	best, lowest := 1, math.Inf(1)
	for i, beacon := range candidates {
		utilisation := float64(calls) / float64((i+1)*max(beacon.Capacity, 1))
		if utilisation <= target {
			return i + 1
		}
		if utilisation < lowest {
			best, lowest = i+1, utilisation
		}
	}

	return best
}

// Answer returns the addresses for a caller in a data centre and how long the caller
// may cache them. They belong to the serving hosts of the data centre, or to all
// serving hosts if it has none.
func (d *Directory) Answer(dataCentre string) ([]string, time.Duration) {
	var local, all []string
	for _, beacon := range d.serving {
		all = append(all, beacon.CallerAddress)
		if beacon.DataCentre == dataCentre {
			local = append(local, beacon.CallerAddress)
		}
	}
	if len(local) > 0 {
		all = local
	}

	return all[:min(len(all), maxAnswerAddresses)], AnswerTTL
}
