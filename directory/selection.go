package directory

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/baobabdrum/baobabdrum/schema"
)

// selectionInputs is what of a beacon decides whom callers are told.
type selectionInputs struct {
	started, capacity, calls int
	dataCentre, address      string
	ready, serves            bool
}

// selectionInputsOf returns what of a beacon decides whom callers are told.
func selectionInputsOf(beacon schema.Beacon) selectionInputs {
	return selectionInputs{
		started: beacon.StartedMs, capacity: beacon.Capacity, calls: beacon.Calls, dataCentre: beacon.DataCentre,
		address: beacon.CallerAddress, ready: beacon.Ready, serves: beacon.Serves,
	}
}

// serves reports whether callers are told a host's address.
func (d *Directory) serves(name string) bool {
	return slices.ContainsFunc(d.serving, func(beacon schema.Beacon) bool { return beacon.Name == name })
}

// updateServing chooses the hosts that callers are told. Few hosts know the backend
// servers' load better than many, so each data centre has as few as can carry
// its calls. Those that run for longest are chosen, so that a host that
// restarts does not take over at once.
func (d *Directory) updateServing(now time.Time) []Action {
	if !d.selectionOutdated {
		return nil
	}
	d.selectionOutdated = false
	all := d.alive()
	serving := d.selectServing(all)
	hosts := len(d.members) + 1
	sameIncarnation := func(a, b schema.Beacon) bool { return a.Name == b.Name && a.StartedMs == b.StartedMs }
	changed := !slices.EqualFunc(serving, d.serving, sameIncarnation) || hosts != d.knownHosts
	for _, beacon := range serving {
		if other, known := d.members[beacon.Name]; known && !d.serves(beacon.Name) {
			other.servingSince = now
		}
	}
	wasServing := d.serves(d.Self.Name)
	d.serving, d.knownHosts = serving, hosts
	d.Self.Serves = d.serves(d.Self.Name)
	if !wasServing && d.Self.Serves {
		d.servingSince = now
	}
	if !changed {
		return nil
	}
	d.urgent = d.urgent || wasServing != d.Self.Serves

	return []Action{ServingChanged{Serving: serving, Ahead: d.ahead(all), Self: d.Self.Serves, Hosts: hosts}}
}

// alive returns the beacons of all live hosts, the best to serve first.
func (d *Directory) alive() []schema.Beacon {
	all := []schema.Beacon{d.Self}
	for _, other := range d.members {
		if other.live {
			all = append(all, other.beacon)
		}
	}
	slices.SortFunc(all, compareHosts)

	return all
}

// selectServing returns the hosts that serve, by data centre and name. Each host decides
// for itself whether it does, and all others go by what it says: they would not
// all see the same numbers at the same time.
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

// selectInDataCentre returns those of a data centre's candidates that serve: the best one
// if none says so yet.
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

// ahead returns the hosts that come before this one: first those that serve.
func (d *Directory) ahead(all []schema.Beacon) []string {
	var names []string
	for _, beacon := range append(slices.Clone(d.serving), all...) {
		if beacon.Name == d.Self.Name {
			break
		}
		if !slices.Contains(names, beacon.Name) {
			names = append(names, beacon.Name)
		}
	}

	return names
}

// compareHosts orders hosts by capacity and then by age.
func compareHosts(a, b schema.Beacon) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.StartedMs, b.StartedMs), cmp.Compare(a.Name, b.Name))
}

// servingCount returns how many of the candidates carry a data centre's calls. Those that
// serve already go on while they are not too many, which all hosts know alike.
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

// countForUtilisation returns how many of the candidates, the largest first, carry calls with a
// share of their capacity, or as many as come closest to that. Callers use all
// that they are told alike, so the smallest one bounds what each may get.
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

// Answer returns the addresses for a caller in a data centre and how long it
// may keep them: the hosts of its data centre, or all if there are none.
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

	return all[:min(len(all), maxAnswerAddresses)], answerTTL
}
